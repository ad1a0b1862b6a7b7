//! The operators' file: checks of its keys.

use std::path::PathBuf;

use rstest::rstest;
use valehatch_config::operators::OperatorConfig;

const FILE: &str = r#"
[[budget]]
name = "BUDGET"
share = 0.5
allowance-per-s = 100

[[front]]
protocol = "PROTOCOL"
listen = "127.0.0.1:5433"

[[front.member]]
name = "s-1"
address = "127.0.0.1:5434"

[[front.contract]]
name = "CONTRACT"
need = "any"
effect = "safe"
aim-ms = 1
deadline-ms = DEADLINE
budget = "BUDGET"
MORE
"#;

/// The faults of a file with these names.
fn faults(protocol: &str, contract: &str, budget: &str, deadline: &str) -> String {
    let more = if protocol == "cassandra" {
        "statements = [\"select\"]"
    } else {
        ""
    };
    let text = FILE
        .replace("PROTOCOL", protocol)
        .replace("CONTRACT", contract)
        .replace("BUDGET", budget);
    let text = text.replace("DEADLINE", deadline).replace("MORE", more);
    let tag = format!("{protocol}-{contract}-{budget}-{deadline}")
        .replace(|c: char| !c.is_alphanumeric(), "_");
    let path: PathBuf =
        std::env::temp_dir().join(format!("valehatch-{}-{tag}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let read = OperatorConfig::load(&path);
    std::fs::remove_file(&path).unwrap();
    read.err()
        .map_or(String::new(), |faults| faults.to_string())
}

/// A request to a PostgreSQL front names its contract in a comment; a Cassandra front finds the
/// contract of a statement by its prefix.
#[rstest]
#[case("postgresql", "read", "acme", "")]
#[case("postgresql", "read,all", "acme", "front.0.contract.0.name")]
#[case("postgresql", "read*/", "acme", "front.0.contract.0.name")]
#[case("postgresql", "read", "ac,me", "front.0.protocol")]
#[case("cassandra", "read,all", "ac,me", "")]
fn unusable_request_name_is_reported(
    #[case] protocol: &str,
    #[case] contract: &str,
    #[case] budget: &str,
    #[case] key: &str,
) {
    let message = faults(protocol, contract, budget, "100");
    assert_eq!(message.is_empty(), key.is_empty(), "{message}");
    assert!(message.contains(key), "{message}");
}

#[rstest]
#[case("10", "")]
#[case("9", "front.0.contract.0.deadline-ms")]
fn too_short_deadline_is_reported(#[case] deadline: &str, #[case] key: &str) {
    let message = faults("postgresql", "read", "acme", deadline);
    assert_eq!(message.is_empty(), key.is_empty(), "{message}");
    assert!(message.contains(key), "{message}");
}
