//! `.ci/known-red`, which judges what `cargo test` wrote: just the tests that the list names may fail.
//!
//! The outputs are written by hand in the form of cargo 1.95's; nothing is run here but the script.

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

/// Files of one judgement; the list is no file if there is none, and without an output it is the list that is judged.
fn run(list: Option<&str>, output: Option<(&[&str], i32)>) -> Output {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder: PathBuf =
        std::env::temp_dir().join(format!("valehatch-known-red-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (known, wrote) = (folder.join("KNOWN-RED.txt"), folder.join("output"));
    list.iter()
        .for_each(|list| std::fs::write(&known, list).unwrap());
    let mut script = Command::new(SCRIPT);
    script.arg(&known);
    if let Some((output, status)) = output {
        std::fs::write(&wrote, output.concat()).unwrap();
        script.arg(&wrote).arg(status.to_string());
    }
    let judged = script.output().unwrap();
    std::fs::remove_dir_all(folder).unwrap();
    judged
}

fn judge(list: Option<&str>, output: &[&str], status: i32) -> Output {
    run(list, Some((output, status)))
}

fn said(judged: &Output) -> String {
    String::from_utf8_lossy(&[&judged.stdout[..], &judged.stderr].concat()).into_owned()
}

#[rstest]
#[case::no_file(None)]
#[case::an_empty_file(Some(""))]
#[case::nothing_but_blanks(Some("\n  \n"))]
fn where_nothing_is_listed_cargos_word_is_the_judgement(#[case] list: Option<&str>) {
    let passed = judge(list, &[UNIT, PASSES, DOC], 0);
    assert!(
        passed.status.success() && said(&passed).is_empty(),
        "{}",
        said(&passed)
    );
    // A failure, a crash, and code that cannot be built.
    for output in [&[UNIT, FAILS][..], &[UNIT, CRASHES], &[NO_BUILD]] {
        let failed = judge(list, output, 101);
        assert!(!failed.status.success() && said(&failed).contains("cargo test ended with 101"));
    }
}

#[test]
fn a_listed_test_may_fail_and_is_printed_with_its_cause() {
    let judged = judge(Some(LISTED), &[UNIT, FAILS, DOC, ONE], 101);
    assert!(judged.status.success(), "{}", said(&judged));
    let line = "known red, failed: upgrade::the_new_one::case_1_killed: the old one answers late (#24), \
        seen with: cargo test --test upgrade, seed 7";
    assert!(
        said(&judged).lines().any(|l| l == line),
        "{}",
        said(&judged)
    );
}

#[test]
fn a_listed_test_that_passes_is_said_so() {
    let judged = judge(Some(LISTED), &[UNIT, PASSES, DOC], 0);
    assert!(judged.status.success());
    let line =
        "known red, but passed: upgrade::the_new_one::case_1_killed: to be taken off the list";
    assert!(
        said(&judged).lines().any(|l| l == line),
        "{}",
        said(&judged)
    );
}

#[test]
fn a_listed_test_that_is_not_run_is_said_so() {
    let judged = judge(
        Some("sample::tests::waits | cargo test | an hour | #1"),
        &[UNIT, PASSES, DOC],
        0,
    );
    assert!(
        judged.status.success()
            && said(&judged).contains("known red, not run: sample::tests::waits")
    );
}

#[test]
fn a_doc_test_can_be_listed_too() {
    let list = "sample::src/lib.rs - adds (line 3) | cargo test --doc | the page is ahead of the code | #2";
    let told = "error: 1 target failed:\n    `-p sample --doc`\n";
    let judged = judge(Some(list), &[UNIT, PASSES, DOC_FAILS, told], 101);
    assert!(judged.status.success(), "{}", said(&judged));
    assert!(
        !judge(Some(LISTED), &[UNIT, FAILS, DOC_FAILS, TWO], 101)
            .status
            .success()
    );
}

/// What else fails, by what the script says of it.
#[rstest]
#[case::another_test(&[UNIT, FAILS, FAIL_TOO, DOC, TWO], 101, "failed and not listed: door::shuts")]
#[case::another_test_only(&[UNIT, PASSES, FAIL_TOO, DOC, ONE], 101, "failed and not listed: door::shuts")]
#[case::a_binary_that_crashes(&[UNIT, FAILS, CRASHES, DOC, TWO], 101, "came to no end: door")]
#[case::a_crash_and_no_failure(&[UNIT, PASSES, CRASHES, DOC, ONE], 101, "came to no end: door")]
#[case::the_last_one_crashes(&[UNIT, FAILS, DOC, CRASHES, TWO], 101, "came to no end: door")]
#[case::code_that_cannot_be_built(&[NO_BUILD], 101, "no such test has run: upgrade::the_new_one::case_1_killed")]
#[case::a_run_that_was_cut_off(&[UNIT, FAILS], 101, "0 targets failed, and 1 of them by their tests")]
#[case::a_run_that_was_killed(&[UNIT, FAILS, DOC, ONE], 137, "cargo test ended with 137")]
#[case::a_target_that_fails_without_a_test(&[UNIT, FAILS, DOC, TWO], 101, "2 targets failed, and 1 of them by their tests")]
fn whatever_else_fails_still_fails(
    #[case] output: &[&str],
    #[case] status: i32,
    #[case] what: &str,
) {
    let judged = judge(Some(LISTED), output, status);
    assert!(
        !judged.status.success() && said(&judged).contains(what),
        "{}",
        said(&judged)
    );
}

#[test]
fn a_failure_that_is_counted_but_not_named_fails() {
    let output = FAILS.replace("1 passed; 1 failed", "0 passed; 2 failed");
    let judged = judge(Some(LISTED), &[UNIT, &output, DOC, ONE], 101);
    assert!(
        !judged.status.success() && said(&judged).contains("2 failures are counted, and 1 named")
    );
}

/// Each is found before anything is run: the script is given no output.
#[rstest]
#[case::no_issue("upgrade::keeps_order | cargo test | late\n", FORM)]
#[case::no_command("upgrade::keeps_order | | late | #4\n", FORM)]
#[case::nothing_seen("upgrade::keeps_order | cargo test | | #4\n", FORM)]
#[case::a_fifth_field("upgrade::keeps_order | cargo test | late | #4 | #5\n", FORM)]
#[case::an_issue_without_a_number(
    "upgrade::keeps_order | cargo test | late | later\n",
    "not the number of an issue: later"
)]
#[case::no_target("keeps_order | cargo test | late | #4\n", "not a target and a test")]
fn a_list_that_is_out_of_order_is_an_error(#[case] list: &str, #[case] what: &str) {
    let judged = run(Some(list), None);
    assert!(
        !judged.status.success() && said(&judged).contains(what),
        "{}",
        said(&judged)
    );
    // The same where there is an output to judge, even of a run in which all passed.
    assert!(!judge(Some(list), &[UNIT, PASSES, DOC], 0).status.success());
}

#[test]
fn several_lines_are_in_order_and_spaces_do_not_matter() {
    let list = "\nupgrade::the_new_one::case_1_killed|cargo test|late|#4\n upgrade::keeps_order  |  cargo test  |  late  |  #4  \n\
        sample::tests::adds | cargo test | late | #4\nsample::tests::waits | cargo test | late | #4\n";
    let judged = judge(Some(list), &[UNIT, FAILS, DOC, ONE], 101);
    assert!(judged.status.success(), "{}", said(&judged));
    assert_eq!(
        said(&judged)
            .lines()
            .filter(|l| l.starts_with("known red"))
            .count(),
        4
    );
}

#[rstest]
#[case::no_such_name(
    "upgrade::the_new_one::case_2 | cargo test | late | #4",
    "no such test has run"
)]
#[case::the_name_in_another_target(
    "door::keeps_order | cargo test | late | #4",
    "no such test has run"
)]
fn a_name_that_no_test_has_is_an_error(#[case] list: &str, #[case] what: &str) {
    for (output, status) in [
        (&[UNIT, PASSES, DOC][..], 0),
        (&[UNIT, FAILS, DOC, ONE][..], 101),
    ] {
        let judged = judge(Some(list), output, status);
        assert!(
            !judged.status.success() && said(&judged).contains(what),
            "{}",
            said(&judged)
        );
    }
}

/// Two crates have a file of tests of the same name: which one is meant cannot be told.
#[test]
fn a_name_that_two_tests_have_is_an_error() {
    let judged = judge(Some(LISTED), &[UNIT, PASSES, FAILS, DOC, ONE], 101);
    assert!(!judged.status.success() && said(&judged).contains("more than one test has this name"));
}
