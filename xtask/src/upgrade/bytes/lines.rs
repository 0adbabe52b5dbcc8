//! Checks of rows and tokens that only the code of one package writes and reads.

use std::fs;
use std::path::Path;

use eyre::Result;
use eyre::bail;

use super::EARLIER_FILE;
use super::PLACED_TEST;
use super::PRESENT_FILE;
use super::PresentTests;
use super::SampleModule;
use super::empty_folder;
use super::known_modules;
use super::report;
use super::run_placed;
use crate::checks::print_line;

/// Functions that write and read files of lines.
const LINE_FILE: &str = "crates/adapters/tests/support/landed_line.rs";

/// Name of the test file that is placed into the worktree, and of the folder beside it.
const TEST: &str = "lines_of_later_build";

/// Declaration of a module's tests, which are not copied with it.
const TESTS_DECLARATION: &str = "#[cfg(test)]\nmod tests;\n";

/// Lines of one package.
pub(super) struct Lines {
    package: &'static str,
    /// Folder of the package's tests, in the worktree.
    tests: &'static str,
    /// Folder of the modules of lines.
    samples: &'static str,
    /// Folder and names of modules of the package's program, which its tests cannot import.
    program: (&'static str, &'static [&'static str]),
    pub(super) present: PresentTests,
}

/// Authenticated messages and resume tokens, and rows that the relay writes to the store.
pub(super) const ALL: [Lines; 2] = [
    Lines {
        package: "cranberryvalve-adapters",
        tests: "crates/adapters/tests",
        samples: "crates/adapters/tests/support/landed",
        program: ("crates/adapters/src", &[]),
        present: PresentTests {
            target: &["--package", "cranberryvalve-adapters", "--test", "landed_bytes"],
            writing: "print_landed_lines",
            reading: "reads_lines_of_an_earlier_build",
        },
    },
    Lines {
        package: "cranberryvalve-platform",
        tests: "platform/tests",
        samples: "platform/tests/support/landed",
        program: ("platform/src", &["dialect", "store"]),
        present: PresentTests {
            target: &["--package", "cranberryvalve-platform", "--bin", "cranberryvalve-node"],
            writing: "store::tests::landed_rows::print_landed_rows",
            reading: "store::tests::landed_rows::reads_rows_of_an_earlier_build",
        },
    },
];

/// Checks that the build in a worktree and the present one read the lines of the other one.
pub(super) fn check(worktree: &Path, hash: &str) -> Result<()> {
    ALL.iter().try_for_each(|it| check_package(worktree, hash, it))
}

fn check_package(worktree: &Path, hash: &str, lines: &Lines) -> Result<()> {
    let modules = known_modules(worktree, hash, lines.samples)?;
    if modules.is_empty() {
        bail!("no module of {} names {hash} or a landing before it", lines.samples);
    }
    let (program, program_modules) = lines.program;
    let tests = worktree.join(lines.tests);
    let folder = empty_folder(&tests.join(TEST))?;
    for module in &modules {
        fs::write(folder.join(format!("{}.rs", module.name)), &module.text)?;
    }
    for name in program_modules {
        let text = fs::read_to_string(worktree.join(program).join(format!("{name}.rs")))?;
        fs::write(folder.join(format!("{name}.rs")), text.replace(TESTS_DECLARATION, ""))?;
    }
    fs::copy(LINE_FILE, folder.join("landed_line.rs"))?;
    fs::write(tests.join(format!("{TEST}.rs")), test_text(&modules, hash, program_modules))?;
    lines.present.write(&folder.join(PRESENT_FILE))?;
    print_line(&format!("reading rows and tokens of the present build by {hash}"));
    run_placed(worktree, hash, lines.package, TEST)?;
    lines.present.read(&folder.join(EARLIER_FILE))?;
    report(&folder, hash, lines.package, "")
}

/// Returns the test that reads and writes lines.
pub(super) fn test_text(modules: &[SampleModule], hash: &str, program_modules: &[&str]) -> String {
    let names = modules.iter().map(|it| &*it.name).chain(program_modules.iter().copied());
    let declarations = names.map(|it| format!("#[path = \"{TEST}/{it}.rs\"]\nmod {it};\n\n"));
    let declarations: String = declarations.collect();
    let calls: String =
        modules.iter().map(|it| format!("        {}::lines(),\n", it.name)).collect();
    format!(
        "//! Written by `cargo xtask upgrade`.\n\n\
         #![allow(dead_code)]\n\n\
         {declarations}\
         #[path = \"{TEST}/landed_line.rs\"]\nmod landed_line;\n\n\
         #[test]\nfn {PLACED_TEST}() {{\n    \
         let lines: Vec<_> = [\n{calls}    ].into_iter().flatten().collect();\n    \
         let written = landed_line::to_file(&lines);\n    \
         std::fs::write(\"tests/{TEST}/{EARLIER_FILE}\", written).expect(\"a writable folder\");\n    \
         let misread = landed_line::misread(include_str!(\"{TEST}/{PRESENT_FILE}\"), &lines);\n    \
         assert!(misread.is_empty(), \"{hash} misreads {{misread:?}}\");\n}}\n"
    )
}
