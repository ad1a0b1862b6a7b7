//! Tests of the script `.ci/known-red`, which reads the output of `cargo test`: only the tests that
//! the list names may fail.
//!
//! The outputs are written by hand in the format of cargo 1.95; only the script is run.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

use rstest::rstest;

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");

const UNIT: &str = "     Running unittests src/lib.rs (target/debug/deps/sample-58f7e4a3f1b2c6d0)

running 2 tests
test tests::adds ... ok
test tests::waits ... ignored, takes an hour

test result: ok. 1 passed; 0 failed; 1 ignored; 0 measured; 0 filtered out; finished in 0.00s

";
const PASSES: &str = "     Running tests/upgrade.rs (target/debug/deps/upgrade-0c5cf1d2a4b39e77)

running 2 tests
test keeps_order ... ok
test the_new_one::case_1_killed ... ok

test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.21s

";
const FAILS: &str = "     Running tests/upgrade.rs (target/debug/deps/upgrade-0c5cf1d2a4b39e77)

running 2 tests
test keeps_order ... ok
test the_new_one::case_1_killed ... FAILED

failures:

---- the_new_one::case_1_killed stdout ----
failures:
    it_wrote_this

thread 'the_new_one::case_1_killed' (7) panicked at tests/upgrade.rs:9:5:
assertion failed: false
note: run with `RUST_BACKTRACE=1` environment variable to display a backtrace


failures:
    the_new_one::case_1_killed

test result: FAILED. 1 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.21s

error: test failed, to rerun pass `-p sample --test upgrade`
";
const FAIL_TOO: &str = "     Running tests/door.rs (target/debug/deps/door-77aa01c2d3e4f506)

running 1 test
test shuts ... FAILED

failures:

---- shuts stdout ----

thread 'shuts' (9) panicked at tests/door.rs:3:5:
assertion failed: false


failures:
    shuts

test result: FAILED. 0 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s

error: test failed, to rerun pass `-p sample --test door`
";
const CRASHES: &str = "     Running tests/door.rs (target/debug/deps/door-77aa01c2d3e4f506)

running 1 test
error: test failed, to rerun pass `-p sample --test door`

Caused by:
  process didn't exit successfully: `/sample/target/debug/deps/door-77aa01c2d3e4f506` (signal: 6, SIGABRT: process abort signal)
";
const DOC: &str = "   Doc-tests sample

running 1 test
test src/lib.rs - adds (line 3) ... ok

test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.10s

";
const DOC_FAILS: &str = "   Doc-tests sample

running 1 test
test src/lib.rs - adds (line 3) ... FAILED

failures:

---- src/lib.rs - adds (line 3) stdout ----
Test executable failed (exit status: 101).

failures:
    src/lib.rs - adds (line 3)

test result: FAILED. 0 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.10s

error: doctest failed, to rerun pass `-p sample --doc`
";
const ONE: &str = "error: 1 target failed:
    `-p sample --test upgrade`
";
const TWO: &str = "error: 2 targets failed:
    `-p sample --test upgrade`
    `-p sample --test door`
";
const NO_BUILD: &str = "error[E0425]: cannot find value `x` in this scope
error: could not compile `sample` (test \"door\") due to 1 previous error
";

const LISTED: &str = "upgrade::the_new_one::case_1_killed | cargo test --test upgrade, seed 7 | the old one answers late | #24\n";

const FORM: &str = "not `test-target::test_name | command and seed | what was seen | #issue`";

/// Runs the script on files with this list and this output of cargo with its exit status. No list
/// means no such file; without an output the script checks only the list.
fn run_script(list: Option<&str>, output: Option<(&[&str], i32)>) -> Output {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder: PathBuf =
        std::env::temp_dir().join(format!("valehatch-known-red-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (list_file, output_file) = (folder.join("KNOWN-RED.txt"), folder.join("output"));
    list.iter()
        .for_each(|list| std::fs::write(&list_file, list).unwrap());
    let mut script = Command::new(SCRIPT);
    script.arg(&list_file);
    if let Some((output, status)) = output {
        std::fs::write(&output_file, output.concat()).unwrap();
        script.arg(&output_file).arg(status.to_string());
    }
    let result = script.output().unwrap();
    std::fs::remove_dir_all(folder).unwrap();
    result
}

fn check_output(list: Option<&str>, output: &[&str], status: i32) -> Output {
    run_script(list, Some((output, status)))
}

fn output_text(result: &Output) -> String {
    String::from_utf8_lossy(&[&result.stdout[..], &result.stderr].concat()).into_owned()
}

#[rstest]
#[case::no_file(None)]
#[case::empty_file(Some(""))]
#[case::only_whitespace(Some("\n  \n"))]
fn without_listed_tests_the_result_of_cargo_decides(#[case] list: Option<&str>) {
    let passed = check_output(list, &[UNIT, PASSES, DOC], 0);
    assert!(
        passed.status.success() && output_text(&passed).is_empty(),
        "{}",
        output_text(&passed)
    );
    // A failed test, a crash and a failed build.
    for output in [&[UNIT, FAILS][..], &[UNIT, CRASHES], &[NO_BUILD]] {
        let failed = check_output(list, output, 101);
        assert!(
            !failed.status.success() && output_text(&failed).contains("cargo test ended with 101")
        );
    }
}

#[test]
fn failure_of_a_listed_test_passes_and_is_printed_with_its_cause() {
    let result = check_output(Some(LISTED), &[UNIT, FAILS, DOC, ONE], 101);
    assert!(result.status.success(), "{}", output_text(&result));
    let line = "known red, failed: upgrade::the_new_one::case_1_killed: the old one answers late (#24), \
        seen with: cargo test --test upgrade, seed 7";
    assert!(
        output_text(&result).lines().any(|l| l == line),
        "{}",
        output_text(&result)
    );
}

#[test]
fn listed_test_that_passes_is_reported() {
    let result = check_output(Some(LISTED), &[UNIT, PASSES, DOC], 0);
    assert!(result.status.success());
    let line =
        "known red, but passed: upgrade::the_new_one::case_1_killed: to be taken off the list";
    assert!(
        output_text(&result).lines().any(|l| l == line),
        "{}",
        output_text(&result)
    );
}

#[test]
fn listed_test_that_is_not_run_is_reported() {
    let result = check_output(
        Some("sample::tests::waits | cargo test | an hour | #1"),
        &[UNIT, PASSES, DOC],
        0,
    );
    assert!(
        result.status.success()
            && output_text(&result).contains("known red, not run: sample::tests::waits")
    );
}

#[test]
fn failure_of_a_listed_doc_test_passes() {
    let list = "sample::src/lib.rs - adds (line 3) | cargo test --doc | the page is ahead of the code | #2";
    let summary = "error: 1 target failed:\n    `-p sample --doc`\n";
    let result = check_output(Some(list), &[UNIT, PASSES, DOC_FAILS, summary], 101);
    assert!(result.status.success(), "{}", output_text(&result));
    assert!(
        !check_output(Some(LISTED), &[UNIT, FAILS, DOC_FAILS, TWO], 101)
            .status
            .success()
    );
}

/// `message` is what the script prints about the failure.
#[rstest]
#[case::another_test(&[UNIT, FAILS, FAIL_TOO, DOC, TWO], 101, "failed and not listed: door::shuts")]
#[case::another_test_only(&[UNIT, PASSES, FAIL_TOO, DOC, ONE], 101, "failed and not listed: door::shuts")]
#[case::crash_of_another_target(&[UNIT, FAILS, CRASHES, DOC, TWO], 101, "came to no end: door")]
#[case::crash_without_a_failed_test(&[UNIT, PASSES, CRASHES, DOC, ONE], 101, "came to no end: door")]
#[case::crash_of_the_last_target(&[UNIT, FAILS, DOC, CRASHES, TWO], 101, "came to no end: door")]
#[case::failed_build(&[NO_BUILD], 101, "no such test has run: upgrade::the_new_one::case_1_killed")]
#[case::truncated_output(&[UNIT, FAILS], 101, "0 targets failed, and 1 of them by their tests")]
#[case::killed_run(&[UNIT, FAILS, DOC, ONE], 137, "cargo test ended with 137")]
#[case::failed_target_without_a_failed_test(&[UNIT, FAILS, DOC, TWO], 101, "2 targets failed, and 1 of them by their tests")]
fn any_other_failure_fails(#[case] output: &[&str], #[case] status: i32, #[case] message: &str) {
    let result = check_output(Some(LISTED), output, status);
    assert!(
        !result.status.success() && output_text(&result).contains(message),
        "{}",
        output_text(&result)
    );
}

#[test]
fn failure_that_is_counted_but_not_named_fails() {
    let output = FAILS.replace("1 passed; 1 failed", "0 passed; 2 failed");
    let result = check_output(Some(LISTED), &[UNIT, &output, DOC, ONE], 101);
    assert!(
        !result.status.success()
            && output_text(&result).contains("2 failures are counted, and 1 named")
    );
}

/// The script reports a malformed list without any output to check.
#[rstest]
#[case::no_issue("upgrade::keeps_order | cargo test | late\n", FORM)]
#[case::no_command("upgrade::keeps_order | | late | #4\n", FORM)]
#[case::nothing_seen("upgrade::keeps_order | cargo test | | #4\n", FORM)]
#[case::five_fields("upgrade::keeps_order | cargo test | late | #4 | #5\n", FORM)]
#[case::issue_without_a_number(
    "upgrade::keeps_order | cargo test | late | later\n",
    "not the number of an issue: later"
)]
#[case::no_target("keeps_order | cargo test | late | #4\n", "not a target and a test")]
fn malformed_list_is_an_error(#[case] list: &str, #[case] message: &str) {
    let result = run_script(Some(list), None);
    assert!(
        !result.status.success() && output_text(&result).contains(message),
        "{}",
        output_text(&result)
    );
    // So it does with an output, even of a run in which all tests passed.
    assert!(
        !check_output(Some(list), &[UNIT, PASSES, DOC], 0)
            .status
            .success()
    );
}

#[test]
fn several_listed_tests_and_extra_spaces_are_accepted() {
    let list = "\nupgrade::the_new_one::case_1_killed|cargo test|late|#4\n upgrade::keeps_order  |  cargo test  |  late  |  #4  \n\
        sample::tests::adds | cargo test | late | #4\nsample::tests::waits | cargo test | late | #4\n";
    let result = check_output(Some(list), &[UNIT, FAILS, DOC, ONE], 101);
    assert!(result.status.success(), "{}", output_text(&result));
    assert_eq!(
        output_text(&result)
            .lines()
            .filter(|l| l.starts_with("known red"))
            .count(),
        4
    );
}

#[rstest]
#[case::unknown_test(
    "upgrade::the_new_one::case_2 | cargo test | late | #4",
    "no such test has run"
)]
#[case::test_of_another_target(
    "door::keeps_order | cargo test | late | #4",
    "no such test has run"
)]
fn name_without_a_test_is_an_error(#[case] list: &str, #[case] message: &str) {
    for (output, status) in [
        (&[UNIT, PASSES, DOC][..], 0),
        (&[UNIT, FAILS, DOC, ONE][..], 101),
    ] {
        let result = check_output(Some(list), output, status);
        assert!(
            !result.status.success() && output_text(&result).contains(message),
            "{}",
            output_text(&result)
        );
    }
}

/// With test targets of the same name in two crates, the entry is ambiguous.
#[test]
fn name_of_two_tests_is_an_error() {
    let result = check_output(Some(LISTED), &[UNIT, PASSES, FAILS, DOC, ONE], 101);
    assert!(
        !result.status.success()
            && output_text(&result).contains("more than one test has this name")
    );
}
