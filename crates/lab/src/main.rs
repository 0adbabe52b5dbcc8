//! Demonstration, benchmarks and experiments.

fn main() {}
