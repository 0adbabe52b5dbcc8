//! Installs build dependencies that Cargo does not manage.

use eyre::Result;
use eyre::bail;

use crate::checks::print_line;
use crate::command::is_installed;
use crate::command::run_with;

/// Installs `cmake` if it is missing; it builds the C library that the `nng` crate wraps.
pub(crate) fn install_cmake() -> Result<()> {
    if is_installed("cmake") {
        return Ok(());
    }
    if !is_installed("apt-get") {
        bail!(
            "`cmake` is missing and is needed to build `nng`; install it with the system package manager"
        );
    }
    print_line("installing cmake, which is needed to build `nng`");
    let variables = [("DEBIAN_FRONTEND", "noninteractive")];
    run_with("apt-get", &["update", "-qq"], &variables)?;
    run_with("apt-get", &["install", "-y", "-qq", "cmake"], &variables)
}
