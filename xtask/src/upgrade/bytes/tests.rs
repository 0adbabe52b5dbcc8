//! Tests of what an earlier commit knows are put together from the samples.

use super::PRESENT_TESTS;
use super::SampleModule;
use super::landing;
use super::lines;
use super::sample_functions;
use super::test_text;
use super::without_other_modules;

const HASH: &str = "4be04b687788008f6b425cb4a2b5989f1cb51a68";

fn module() -> SampleModule {
    let text = format!(
        "//! Messages since {HASH}.\n\npub(crate) fn sender() -> PeerAddress {{\n}}\n\
         pub(crate) fn messages() -> Vec<Sample> {{\n}}\npub(crate) fn rows() -> Vec<Sample> {{\n}}\n"
    );
    SampleModule { name: "first".to_owned(), text }
}

#[test]
fn landings_are_named_in_the_first_line() {
    assert_eq!(landing(&module().text), Some(HASH));
    assert_eq!(landing("//! Messages of the next landing.\n"), None);
    assert_eq!(landing(&format!("//! Messages.\n//! Since {HASH}.\n")), None);
}

#[test]
fn only_known_samples_are_used() {
    let all = "pub(crate) mod builds;\npub(crate) mod first;\n\nuse std::fmt::Debug;\n";
    let kept = without_other_modules(all, &[module()]);
    assert_eq!(kept, "pub(crate) mod first;\n\nuse std::fmt::Debug;\n");
    assert!(sample_functions(&module().text).eq(["messages", "rows"]));
    let test = test_text(&[module()], HASH);
    for part in ["landed::first::messages(),", "landed::first::rows(),", "4be04b6"] {
        assert!(test.contains(part), "{test}");
    }
}

#[test]
fn modules_of_a_program_are_declared_beside_lines() {
    let module = SampleModule { name: "origins".to_owned(), text: String::new() };
    let test = lines::test_text(&[module], HASH, &["store"]);
    for part in ["mod origins;", "mod store;", "origins::lines(),", "4be04b6"] {
        assert!(test.contains(part), "{test}");
    }
    assert!(!test.contains("store::lines()"), "{test}");
}

#[test]
fn tests_of_the_present_build_exist() {
    let files = [
        include_str!("../../../../crates/coordination/tests/landed_bytes.rs"),
        include_str!("../../../../crates/adapters/tests/landed_bytes.rs"),
        include_str!("../../../../platform/src/store/tests/landed_rows.rs"),
    ];
    let present = [&PRESENT_TESTS, &lines::ALL[0].present, &lines::ALL[1].present];
    for (file, tests) in files.iter().zip(present) {
        for test in [tests.writing, tests.reading] {
            let name = test.rsplit("::").next().unwrap_or(test);
            assert!(file.contains(&format!("fn {name}()")), "{test}");
        }
    }
}
