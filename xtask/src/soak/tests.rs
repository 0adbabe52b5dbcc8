//! Flags of the soak are checked, and passed on as variables.

use gumdrop::Options;

use super::Flags;
use super::variables;

fn parse(arguments: &[&str]) -> Result<Vec<(&'static str, String)>, String> {
    let flags = Flags::parse_args_default(arguments).map_err(|it| it.to_string())?;
    variables(&flags).map_err(|it| it.to_string())
}

#[test]
fn passes_flags_on() {
    assert_eq!(parse(&[]), Ok(Vec::new()));
    let expected =
        [("SEED", "7"), ("SEEDS", "50"), ("MINUTES", "3"), ("VMS", "64"), ("BY_HAND", "1")];
    let expected =
        expected.map(|(name, value)| (format!("CRANBERRYVALVE_SOAK_{name}"), value.to_owned()));
    let arguments = ["--seed", "7", "--seeds", "50", "--minutes", "3", "--vms", "64", "--by-hand"];
    let passed = parse(&arguments)
        .map(|it| it.into_iter().map(|(name, value)| (name.to_owned(), value)).collect::<Vec<_>>());
    assert_eq!(passed, Ok(expected.to_vec()));
}

#[test]
fn rejects_bad_flags() {
    assert_eq!(parse(&["--vms", "0"]), Err("--vms: from 1 to 64".to_owned()));
    assert_eq!(parse(&["--vms", "65"]), Err("--vms: from 1 to 64".to_owned()));
    assert_eq!(parse(&["--seeds", "0"]), Err("--seeds: at least 1".to_owned()));
    assert!(parse(&["--seed", "x"]).is_err());
    let both = parse(&["--by-hand", "--plan", "plan.json"]);
    assert_eq!(both, Err("--by-hand: not together with --plan".to_owned()));
    let missing = parse(&["--plan", "no-such-plan.json"]);
    assert_eq!(missing, Err("--plan: `no-such-plan.json` does not exist".to_owned()));
}
