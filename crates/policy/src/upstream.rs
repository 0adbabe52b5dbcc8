//! State that this VM keeps for each upstream: load, health and token interval.

mod circuit;
mod load;
mod table;
mod token_interval;

pub(crate) use circuit::CircuitBreaker;
pub use circuit::CircuitState;
pub use load::LoadReport;
pub(crate) use table::Upstream;
pub(crate) use table::UpstreamTable;
