//! The test bed's executable: a seed reproduces its run, no invariant is violated, and errors name
//! what is wrong in a file.

use std::process::{Command, Output};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn testbed(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_valehatch-testbed"))
        .current_dir(ROOT)
        .args(args)
        .output()
        .unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn replay_of_seed_repeats_steps_without_violation() {
    let replay = || {
        testbed(&[
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
    assert!(stdout(&first).lines().count() > 400);
    assert_eq!(stdout(&first), stdout(&second));
}

#[test]
fn fair_admission_on_opening_day_serves_tenants_their_due() {
    let output = testbed(&[
        "replay",
        "experiments/opening-day.toml",
        "--seed",
        "5",
        "--door",
        "fair",
    ]);
    let table = stdout(&output);
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
fn invalid_experiment_or_seeds_are_rejected_with_key_name() {
    let path = std::env::temp_dir().join(format!("valehatch-testbed-{}.toml", std::process::id()));
    let text = std::fs::read_to_string(format!("{ROOT}/experiments/opening-day.toml")).unwrap();
    for (good, bad, wanted) in [
        ("members = 6", "members = 0", "members"),
        ("part = 0.55", "port = 0.55", "port"),
        ("heeds = \"nothing\"", "heeds = \"all\"", "heeds"),
    ] {
        std::fs::write(&path, text.replace(good, bad)).unwrap();
        let output = testbed(&["run", path.to_str().unwrap(), "--seeds", "1"]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(2) && stderr.contains(wanted),
            "{stderr}"
        );
    }
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        testbed(&["run", "experiments/opening-day.toml", "--seeds", "9..2"])
            .status
            .code(),
        Some(2)
    );
    assert!(stdout(&testbed(&["list"])).lines().count() >= 4);
}
