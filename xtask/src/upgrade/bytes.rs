//! Checks that the build of an earlier commit and the present one read what the other one writes.
//!
//! The samples of the tests compile against the landing that they are named after, so a test made of
//! those that the commit knows is placed into its worktree. It reads the bytes of the present build,
//! and writes its own for the tests of the present build to read.

mod lines;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

use super::git;
use crate::checks::print_line;
use crate::command::run_with;

/// Folder of the samples, and the file in it that declares their modules.
const SAMPLES: &str = "crates/coordination/tests/support/landed";
const ROOT_FILE: &str = "all.rs";

/// Functions that read files of bytes.
const FILE_READER: &str = "crates/coordination/tests/support/landed_file.rs";

/// Tests of the present build that write the bytes of the samples and read those of another build.
const PRESENT_TESTS: PresentTests = PresentTests {
    target: &["--package", "cranberryvalve-coordination", "--test", "landed_bytes"],
    writing: "print_landed_bytes",
    reading: "reads_bytes_of_an_earlier_build",
};

/// Variable that names the file that such a test writes or reads.
const FILE_VARIABLE: &str = "CRANBERRYVALVE_LANDED_FILE";

/// Files that the present build writes and the other one reads, and the other way round, in the folder
/// of the placed test.
const PRESENT_FILE: &str = "bytes.txt";
const EARLIER_FILE: &str = "written.txt";

/// Start of each value in a file of bytes.
const VALUE_PREFIX: &str = "name: ";

/// Package whose tests may use all that the samples need, in each landing, and its tests.
const PACKAGE: &str = "cranberryvalve-adapters";
const TESTS: &str = "crates/adapters/tests";

/// Name of the test file that is placed into the worktree, and of the folder beside it.
const TEST: &str = "bytes_of_later_build";

/// Name of the test in each such file.
const PLACED_TEST: &str = "reads_what_a_later_build_writes";

/// Number of digits of a full hash.
const HASH_DIGITS: usize = 40;

/// A module of samples.
struct SampleModule {
    name: String,
    text: String,
}

/// Ignored tests of the present build, in the test program that the arguments of Cargo select.
struct PresentTests {
    target: &'static [&'static str],
    writing: &'static str,
    reading: &'static str,
}

impl PresentTests {
    /// Writes what the present build writes to a file.
    fn write(&self, file: &Path) -> Result<()> {
        self.run(self.writing, file)
    }

    /// Checks that the present build reads a file of another build.
    fn read(&self, file: &Path) -> Result<()> {
        self.run(self.reading, file)
    }

    fn run(&self, test: &str, file: &Path) -> Result<()> {
        // The test runs in the folder of its package.
        let file: PathBuf = std::env::current_dir()?.join(file);
        let mut command = vec!["test", "--quiet"];
        command.extend(self.target);
        command.extend(["--", "--ignored", "--exact", test]);
        run_with("cargo", &command, &[(FILE_VARIABLE, &file.display().to_string())])
    }
}

/// Checks that the build in a worktree and the present one read what the other one writes: messages,
/// rows, and resume tokens.
pub(super) fn check(worktree: &Path, hash: &str) -> Result<()> {
    check_samples(worktree, hash)?;
    lines::check(worktree, hash)
}

/// Checks that the build in a worktree reads the bytes of the present build to the same values, and
/// takes none that it does not know for a message; and that the present build reads its bytes.
fn check_samples(worktree: &Path, hash: &str) -> Result<()> {
    let modules = known_modules(worktree, hash, SAMPLES)?;
    if modules.is_empty() {
        bail!("the tests have no bytes of {hash}, which is older than the first landing with some");
    }
    let tests = worktree.join(TESTS);
    let folder = empty_folder(&tests.join(TEST))?;
    let all = fs::read_to_string(Path::new(SAMPLES).join(ROOT_FILE))?;
    fs::write(folder.join(ROOT_FILE), without_other_modules(&all, &modules))?;
    for module in &modules {
        fs::write(folder.join(format!("{}.rs", module.name)), &module.text)?;
    }
    fs::copy(FILE_READER, folder.join("landed_file.rs"))?;
    fs::write(tests.join(format!("{TEST}.rs")), test_text(&modules, hash))?;
    PRESENT_TESTS.write(&folder.join(PRESENT_FILE))?;
    run_placed(worktree, hash, PACKAGE, TEST)?;
    PRESENT_TESTS.read(&folder.join(EARLIER_FILE))?;
    report(&folder, hash, PACKAGE, VALUE_PREFIX)
}

/// Makes an empty folder, so that no file of an earlier run is read.
fn empty_folder(folder: &Path) -> Result<PathBuf> {
    if folder.exists() {
        fs::remove_dir_all(folder).wrap_err("cannot write to the worktree")?;
    }
    fs::create_dir_all(folder).wrap_err("cannot write to the worktree")?;
    Ok(folder.to_owned())
}

/// Runs the test that was placed into a worktree.
fn run_placed(worktree: &Path, hash: &str, package: &str, test: &str) -> Result<()> {
    let manifest = worktree.join("Cargo.toml").display().to_string();
    let target = worktree.join("target").display().to_string();
    let command = [
        "test",
        "--quiet",
        "--manifest-path",
        &manifest,
        "--target-dir",
        &target,
        "--package",
        package,
        "--test",
        test,
        "--",
        "--exact",
        PLACED_TEST,
    ];
    run_with("cargo", &command, &[])
        .wrap_err_with(|| format!("{hash} does not read what the present build writes"))
}

/// Prints how many of the values in the files of a folder were read: all that the earlier build has.
fn report(folder: &Path, hash: &str, package: &str, prefix: &str) -> Result<()> {
    let count = |file| -> Result<usize> {
        let text = fs::read_to_string(folder.join(file))?;
        Ok(text.lines().filter(|it| it.starts_with(prefix)).count())
    };
    let (present, earlier) = (count(PRESENT_FILE)?, count(EARLIER_FILE)?);
    print_line(&format!(
        "{hash} reads {earlier} of {present} values of the present build, and the present build \
         its {earlier} ({package})"
    ));
    Ok(())
}

/// Returns the samples of what a commit knows: its own, and those of landings up to it.
fn known_modules(worktree: &Path, hash: &str, samples: &str) -> Result<Vec<SampleModule>> {
    let mut modules = Vec::new();
    for entry in fs::read_dir(samples).wrap_err("cannot read the samples")? {
        let path = entry?.path();
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let own = worktree.join(&path);
        let text = fs::read_to_string(&path)?;
        if path.ends_with(ROOT_FILE) {
            continue;
        }
        if own.exists() {
            modules.push(SampleModule { name, text: fs::read_to_string(own)? });
        } else if is_known(worktree, landing(&text), hash)? {
            modules.push(SampleModule { name, text });
        }
    }
    modules.sort_by(|one, other| one.name.cmp(&other.name));
    Ok(modules)
}

/// Returns whether a landing is this commit or an ancestor of it.
fn is_known(worktree: &Path, landing: Option<&str>, hash: &str) -> Result<bool> {
    let Some(landing) = landing else { return Ok(false) };
    Ok(git(worktree, &["merge-base", "--is-ancestor", landing, hash])?.is_some())
}

/// Returns the landing that the first line of a module names.
fn landing(module: &str) -> Option<&str> {
    let mut words = module.lines().next()?.split(|it: char| !it.is_ascii_alphanumeric());
    words.find(|it| it.len() == HASH_DIGITS && it.bytes().all(|it| it.is_ascii_hexdigit()))
}

/// Returns the text of [`ROOT_FILE`] without the declarations of other modules.
fn without_other_modules(text: &str, modules: &[SampleModule]) -> String {
    let is_kept = |line: &&str| {
        let name = line.strip_prefix("pub(crate) mod ").and_then(|it| it.strip_suffix(';'));
        name.is_none_or(|name| modules.iter().any(|it| it.name == name))
    };
    text.lines().filter(is_kept).map(|it| format!("{it}\n")).collect()
}

/// Returns the names of the functions of a module that return samples.
fn sample_functions(module: &str) -> impl Iterator<Item = &str> {
    let functions = module.lines().filter_map(|it| it.strip_prefix("pub(crate) fn "));
    functions.filter_map(|it| it.strip_suffix("() -> Vec<Sample> {"))
}

/// Returns the test that reads the bytes.
fn test_text(modules: &[SampleModule], hash: &str) -> String {
    let calls = modules.iter().flat_map(|module| {
        let functions = sample_functions(&module.text);
        functions.map(|it| format!("        landed::{}::{it}(),\n", module.name))
    });
    let calls: String = calls.collect();
    format!(
        "//! Written by `cargo xtask upgrade`.\n\n\
         #![allow(dead_code)]\n\n\
         #[path = \"{TEST}/{ROOT_FILE}\"]\nmod landed;\n\n\
         #[path = \"{TEST}/landed_file.rs\"]\nmod landed_file;\n\n\
         #[test]\nfn {PLACED_TEST}() {{\n    \
         let samples: Vec<_> = [\n{calls}    ].into_iter().flatten().collect();\n    \
         let written = landed_file::to_file(&samples);\n    \
         std::fs::write(\"tests/{TEST}/{EARLIER_FILE}\", written).expect(\"a writable folder\");\n    \
         let misread = landed_file::misread(include_str!(\"{TEST}/{PRESENT_FILE}\"), &samples);\n    \
         assert!(misread.is_empty(), \"{hash} misreads {{misread:?}}\");\n}}\n"
    )
}

#[cfg(test)]
mod tests;
