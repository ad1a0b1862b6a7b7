//! End-to-end tests of the command line and of the checks of the configuration file, whose errors
//! name key and line.

mod support;

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;
use support::temp_folder;

const DEPLOYED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/gateway.toml");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_valehatch"))
        .args(args)
        .env_remove("BALANCER_CONFIG")
        .output()
        .unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write_config(text: &str) -> PathBuf {
    let path = temp_folder().join("gateway.toml");
    std::fs::write(&path, text).unwrap();
    path
}

#[rstest]
#[case(
    "sockets = 1024",
    "sockets = \"many\"",
    "gateway.sockets is \"many\", not a whole number"
)]
#[case("sockets = 1024", "sockets = 3", "gateway.sockets is 3, not from 64")]
#[case(
    "level = \"info\"",
    "level = \"loud\"",
    "log.level is \"loud\", not one of error, warn, info, debug"
)]
#[case("dir = \"valehatch-state\"", "dir = \"\"", "state.dir is empty")]
#[case(
    "sync-ms = 200",
    "sinc-ms = 200",
    "state.sinc-ms is not known; is sync-ms meant?"
)]
#[case(
    "share = 0.48",
    "share = 48",
    "budget.0.share is 48, not above 0 and at most 1"
)]
#[case(
    "name = \"skovbakken\"",
    "name = \"strandlejren\"",
    "budget.1.name is \"strandlejren\", as another budget's"
)]
#[case(
    "protocol = \"postgresql\"",
    "protocol = \"mysql\"",
    "front.0.protocol is \"mysql\", not one of"
)]
#[case(
    "listen = \"127.0.0.1:9042\"",
    "listen = \"127.0.0.1\"",
    "front.1.listen is \"127.0.0.1\", not an address"
)]
#[case(
    "need = \"bounded\"",
    "need = \"some\"",
    "front.0.contract.0.need is \"some\""
)]
#[case(
    "deadline-ms = 1200",
    "deadline-ms = 12",
    "front.0.contract.0.deadline-ms is 12, below aim-ms"
)]
#[case(
    "window-ms = 5000",
    "window-ms = 0",
    "front.0.contract.1.window-ms is 0, not above 0 and at most"
)]
#[case(
    "budget = \"skovbakken\"",
    "budget = \"aaengen\"",
    "front.1.contract.1.budget is \"aaengen\""
)]
#[case(
    "statements = [\"SELECT\"]",
    "statements = [7]",
    "front.1.contract.0.statements holds something that is no text"
)]
#[case(
    "state = \"active\"",
    "state = \"gone\"",
    "front.0.member.0.state is \"gone\""
)]
#[case(
    "view = \"bookings\"",
    "view = \"booking\"",
    "snmp.community.0.view is \"booking\", which no view is named"
)]
#[case(
    "from = [\"127.0.0.0/8\", \"::1/128\"]",
    "from = [\"everywhere\"]",
    "snmp.community.0.from holds \"everywhere\""
)]
#[case(
    "[gateway]",
    "mgmt = { listen = \"here\" }\n[gateway]",
    "mgmt.listen is \"here\", not an address"
)]
#[case(
    "[gateway]",
    "mgmt = { listen = \"127.0.0.1:0\" }\n[gateway]",
    "mgmt.listen needs a port"
)]
#[case(
    "[gateway]",
    "mgmt = { listen = \"127.0.0.1:9042\" }\n[gateway]",
    "mgmt.listen is 127.0.0.1:9042, as front stays's"
)]
#[case(
    "[gateway]",
    "mgmt = { listn = \"127.0.0.1:9001\" }\n[gateway]",
    "mgmt.listn is not known; is listen meant?"
)]
#[case("# [mgmt]", "[mgmt]\n# ", "mgmt.listen is missing")]
#[case(
    "exclude = [\"1.3",
    "exclude = [\"a.b\", \"1.3",
    "snmp.view.0.exclude holds \"a.b\""
)]
#[case(
    "refusals-falling-per-s = 2",
    "refusals-falling-per-s = 20",
    "snmp.notify.refusals-falling-per-s must be below"
)]
#[case(
    "# [[snmp.receiver]]",
    "[[snmp.receiver]]\naddress = \"127.0.0.1:1162\"\n# ",
    "snmp.receiver.0.community or user"
)]
fn invalid_setting_is_reported_with_key_and_line(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] expected: &str,
) {
    let text = std::fs::read_to_string(DEPLOYED).unwrap();
    assert!(text.contains(valid), "{valid}");
    let line = 1 + text[..text.find(valid).unwrap()].matches('\n').count();
    let text = text.replacen(valid, invalid, 1);
    let path = write_config(&text);
    let output = run(&["check", path.to_str().unwrap()]);
    let stderr = stderr(&output);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
    let location = format!("line {line}: {}", expected.split(' ').next().unwrap());
    assert!(stderr.contains(&location), "{location} in {stderr}");
}

#[test]
fn contract_name_that_statistics_cannot_hold_is_rejected_only_with_mgmt() {
    let text = std::fs::read_to_string(DEPLOYED)
        .unwrap()
        .replace("\"stay-read\"", "\"stay:read\"");
    assert!(
        run(&["check", write_config(&text).to_str().unwrap()])
            .status
            .success()
    );
    let with_mgmt = text.replace("# [mgmt]", "[mgmt]\nlisten = \"127.0.0.1:9001\"\n#");
    let stderr = stderr(&run(&["check", write_config(&with_mgmt).to_str().unwrap()]));
    assert!(
        stderr.contains("front.1.contract.0.name is \"stay:read\": with [mgmt]"),
        "{stderr}"
    );
}

#[test]
fn all_errors_of_a_file_are_reported_together() {
    let text = std::fs::read_to_string(DEPLOYED).unwrap();
    let text = text
        .replace("sockets = 1024", "sockets = 3")
        .replace("share = 0.29", "share = 9")
        .replace("[log]", "[lag]");
    let output = run(&["check", write_config(&text).to_str().unwrap()]);
    let stderr = stderr(&output);
    assert_eq!(stderr.lines().count(), 3, "{stderr}");
    assert!(
        stderr.contains("gateway.sockets")
            && stderr.contains("budget.1.share")
            && stderr.contains("lag is not known; is log")
    );
}

#[rstest]
#[case("[gateway", "is no TOML")]
#[case("", "front is missing")]
#[case(
    "[[front]]\nprotocol = \"cassandra\"\nlisten = \"127.0.0.1:1\"\n",
    "front.0.member is missing"
)]
fn malformed_or_incomplete_file_is_reported(#[case] text: &str, #[case] expected: &str) {
    let output = run(&["check", write_config(text).to_str().unwrap()]);
    assert!(
        output.status.code() == Some(2) && stderr(&output).contains(expected),
        "{}",
        stderr(&output)
    );
}

#[test]
fn snmp_users_need_a_state_folder_and_localized_keys() {
    let key = |args: &[&str], passwords: &str| {
        use std::io::Write;
        let mut child = Command::new(env!("CARGO_BIN_EXE_valehatch"))
            .args(["snmp", "key"])
            .args(args)
            .stdin(std::process::Stdio::piped())
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .spawn()
            .unwrap();
        child
            .stdin
            .take()
            .unwrap()
            .write_all(passwords.as_bytes())
            .unwrap();
        child.wait_with_output().unwrap()
    };
    let created = key(&["--gateway", "gateway-1"], "maplesyrup\nmaplesyrup\n");
    let keys = String::from_utf8(created.stdout).unwrap();
    let from_file = key(&["--file", DEPLOYED], "maplesyrup\nmaplesyrup\n");
    assert_eq!(
        String::from_utf8(from_file.stdout).unwrap(),
        keys,
        "the file names the same gateway"
    );
    // RFC 3414, appendix A.3, with SHA-256.
    let known = key(&["--engine-id", "000000000000000000000002"], "maplesyrup\n");
    let known = String::from_utf8(known.stdout).unwrap();
    assert_eq!(
        known,
        "auth-key = \"8982e0e549e866db361a6b625d84cccc11162d453ee8ce3a6445c2d6776f0f8b\"\n"
    );
    assert_eq!(key(&["--gateway", "x"], "short\n").status.code(), Some(2));
    let text = std::fs::read_to_string(DEPLOYED).unwrap();
    let user = format!("[[snmp.user]]\nname = \"facilities\"\n{keys}");
    let with = text.replace("# [[snmp.user]]", &user);
    assert!(
        run(&["check", write_config(&with).to_str().unwrap()])
            .status
            .success()
    );
    let without = with
        .replace("[state] ", "# ")
        .replace("dir = \"valehatch-state\"", "");
    let errors = stderr(&run(&[
        "check",
        write_config(
            &without
                .replace("sync-ms", "# ")
                .replace("checkpoint-ms", "# ")
                .replace("segment", "# ")
                .replace("queue", "#"),
        )
        .to_str()
        .unwrap(),
    ]));
    assert!(
        errors.contains("snmp.user.0.name needs [state] dir"),
        "{errors}"
    );
    let short = with.replace(&keys[..30], "auth-key = \"8982");
    assert!(
        stderr(&run(&["check", write_config(&short).to_str().unwrap()]))
            .contains("snmp.user.0.auth-key is not a localized key")
    );
}

#[test]
fn printed_configuration_is_printed_unchanged_when_loaded() {
    let first = run(&["config", DEPLOYED]);
    let shown = String::from_utf8(first.stdout).unwrap();
    for default in [
        "max-attempts = 6",
        "cold-ms = 17000.0",
        "max-size = 1400",
        "storm = 20",
        "checks = \"bounce\"",
    ] {
        assert!(shown.contains(default), "{default} in {shown}");
    }
    let again = run(&["config", write_config(&shown).to_str().unwrap()]);
    let stderr = stderr(&again);
    assert_eq!(String::from_utf8(again.stdout).unwrap(), shown, "{stderr}");
}

#[test]
fn every_command_has_help_and_missing_command_requires_balancer_config() {
    for args in [
        &["--help"][..],
        &["serve", "--help"],
        &["check", "--help"],
        &["config", "--help"],
        &["snmp", "key", "--help"],
    ] {
        assert!(run(args).status.success(), "{args:?}");
    }
    assert!(
        String::from_utf8(run(&["--version"]).stdout)
            .unwrap()
            .starts_with("valehatch 0.")
    );
    let output = run(&[]);
    assert!(
        output.status.code() == Some(2)
            && stderr(&output).contains("BALANCER_CONFIG names no configuration")
    );
    assert!(
        !run(&["--cassandra", "x"]).status.success(),
        "the option was removed"
    );
}

#[test]
fn mib_file_matches_the_mib_of_the_agent() {
    let printed = String::from_utf8(run(&["snmp", "mib"]).stdout).unwrap();
    let kept = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../mibs/VALEHATCH-MIB.txt"
    ));
    assert_eq!(
        kept.unwrap(),
        printed,
        "to update it: valehatch snmp mib > mibs/VALEHATCH-MIB.txt"
    );
}

/// Checks the rules of SMIv2 that the types of the MIB tables do not enforce: RFC 2578, sections
/// 3.1, 7 and 8; RFC 2580, section 3.
#[test]
fn mib_file_follows_the_rules_of_smiv2() {
    let text = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../mibs/VALEHATCH-MIB.txt"
    ))
    .unwrap();
    let words: Vec<&str> = text.split_whitespace().collect();
    let mut names = std::collections::BTreeSet::new();
    let mut oids = std::collections::BTreeSet::new();
    let mut readable = vec![];
    for (n, word) in words.iter().enumerate() {
        let defines = [
            "OBJECT-TYPE",
            "NOTIFICATION-TYPE",
            "OBJECT-GROUP",
            "NOTIFICATION-GROUP",
            "MODULE-COMPLIANCE",
        ];
        if defines.contains(word) && !words[n - 1].ends_with(',') && words[n - 1] != "IMPORTS" {
            let name = words[n - 1];
            assert!(
                name.len() <= 64 && name.starts_with(|c: char| c.is_ascii_lowercase()),
                "{name}"
            );
            assert!(name.chars().all(|c| c.is_ascii_alphanumeric()), "{name}");
            assert!(names.insert(name), "{name} is defined twice");
            let rest = &words[n..];
            let end = rest.iter().position(|w| *w == "::=").unwrap();
            assert!(
                rest[..end].contains(&"STATUS") && rest[..end].contains(&"DESCRIPTION"),
                "{name}"
            );
            let oid = (rest[end + 2], rest[end + 3]);
            assert!(oids.insert(oid), "{name} has the OID of another: {oid:?}");
            if rest[..end].contains(&"read-only") || rest[..end].contains(&"accessible-for-notify")
            {
                readable.push(name);
            }
        }
    }
    let group = &text[text.find("vhObjectGroup OBJECT-GROUP").unwrap()..];
    let group = &group[..group.find('}').unwrap()];
    assert!(readable.len() > 100, "{}", readable.len());
    for name in &readable {
        assert!(group.contains(name), "{name} is in no group");
    }
    assert!(text.is_ascii() && text.trim_end().ends_with("END"));
}
