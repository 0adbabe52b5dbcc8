//! Placeholder.

use eyre::Result;
use gumdrop::Options;

use crate::Held;

#[derive(Debug, Options)]
pub(crate) struct BenchOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
}

pub(crate) fn run(_options: &BenchOptions) -> Result<Held> {
    Ok(Held::Yes)
}
