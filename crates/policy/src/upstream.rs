//! What this VM knows of each upstream.

mod circuit;
mod load;
mod pace;
mod table;

pub(crate) use circuit::Circuit;
pub use circuit::CircuitState;
pub use load::LoadReport;
pub(crate) use table::Upstream;
pub(crate) use table::UpstreamTable;
