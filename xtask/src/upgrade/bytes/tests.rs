//! Tests of what an earlier commit knows are put together from the samples.

use super::SampleModule;
use super::landing;
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
