//! Paths of the programs that experiments start.

use std::path::PathBuf;

use eyre::Result;
use eyre::bail;

/// Returns the path of the daemon, which is built into the same directory as this program.
pub(crate) fn daemon() -> Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("cranberryvalved");
    if !program.exists() {
        bail!("{} is missing; run this through `cargo xtask`", program.display());
    }
    Ok(program)
}
