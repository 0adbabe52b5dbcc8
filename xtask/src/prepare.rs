//! What a fresh machine needs.

use eyre::Result;
use eyre::bail;

use crate::checks::say;
use crate::command::is_installed;
use crate::command::run_with;

/// Installs `cmake`, which builds the C library behind `nng`.
pub(crate) fn install_cmake() -> Result<()> {
    if is_installed("cmake") {
        return Ok(());
    }
    if !is_installed("apt-get") {
        bail!("`cmake` is needed to build `nng`; install it with the system's package manager");
    }
    say("installing cmake, which builds `nng`");
    let quiet = [("DEBIAN_FRONTEND", "noninteractive")];
    run_with("apt-get", &["update", "-qq"], &quiet)?;
    run_with("apt-get", &["install", "-y", "-qq", "cmake"], &quiet)
}
