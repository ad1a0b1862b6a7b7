//! The lab as a process: a seed gives the same again, no rule is broken, and bad files are named.

use std::process::{Command, Output};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_valehatch-testbed"))
        .current_dir(ROOT)
        .args(args)
        .output()
        .unwrap()
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_seed_gives_the_same_steps_again_and_no_rule_is_broken() {
    let replay = || {
        lab(&[
            "replay",
            "experiments/lost-primary.toml",
            "--seed",
            "3",
            "--door",
            "fair",
            "--steps",
            "400",
        ])
    };
    let (first, second) = (replay(), replay());
    assert!(
        first.status.success(),
        "{}",
        String::from_utf8_lossy(&first.stderr)
    );
    assert!(out(&first).lines().count() > 400);
    assert_eq!(out(&first), out(&second));
}

#[test]
fn on_opening_day_the_door_gives_each_its_due() {
    let output = lab(&[
        "replay",
        "experiments/opening-day.toml",
        "--seed",
        "5",
        "--door",
        "fair",
    ]);
    let table = out(&output);
    for tenant in ["aaengen", "skovbakken"] {
        let line = table
            .lines()
            .find(|l| l.contains(tenant))
            .unwrap_or_else(|| panic!("{table}"));
        let due: f64 = line.split_whitespace().nth(6).unwrap().parse().unwrap();
        assert!(due > 0.95, "{line}");
    }
}

#[test]
fn what_is_wrong_is_named() {
    let path = std::env::temp_dir().join(format!("valehatch-testbed-{}.toml", std::process::id()));
    let text = std::fs::read_to_string(format!("{ROOT}/experiments/opening-day.toml")).unwrap();
    for (good, bad, wanted) in [
        ("members = 6", "members = 0", "members"),
        ("part = 0.55", "port = 0.55", "port"),
        ("heeds = \"nothing\"", "heeds = \"all\"", "heeds"),
    ] {
        std::fs::write(&path, text.replace(good, bad)).unwrap();
        let output = lab(&["run", path.to_str().unwrap(), "--seeds", "1"]);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(2) && said.contains(wanted),
            "{said}"
        );
    }
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        lab(&["run", "experiments/opening-day.toml", "--seeds", "9..2"])
            .status
            .code(),
        Some(2)
    );
    assert!(out(&lab(&["list"])).lines().count() >= 4);
}
