//! Metrics of final answers and attempts, in the format that is scraped.

use valehatch_request_log::outcome_metrics::text;
use valehatch_request_log::*;

/// Names of the metrics of a class.
const COUNTS: [&str; 4] = ["fulfilled", "throttled", "faulted", "relayed"];

#[test]
fn final_answer_is_in_one_count_and_aborted_request_in_none() {
    let metrics = OutcomeMetrics::new(&["basket".into(), "order".into()]);
    let all = [
        FinalOutcome::InTime,
        FinalOutcome::Late,
        FinalOutcome::Rejected(RejectionReason::TooManyOpen),
        FinalOutcome::Aborted,
    ];
    for outcome in &all {
        metrics.count_final_answer(1, outcome);
    }
    metrics.count_final_answer(1, &FinalOutcome::Failed(FailureReason::Timeout));
    metrics.count_final_answer(7, &FinalOutcome::InTime);
    for _ in 0..3 {
        metrics.count_attempt_sent(0);
    }
    metrics.set_gauges(14, 5, 1);
    let text = metrics.text();
    let expected = "balancer.operations.basket.fulfilled:0|c\nbalancer.operations.basket.throttled:0|c\n\
             balancer.operations.basket.faulted:0|c\nbalancer.operations.basket.relayed:3|c\n\
             balancer.operations.order.fulfilled:2|c\nbalancer.operations.order.throttled:1|c\n\
             balancer.operations.order.faulted:1|c\nbalancer.operations.order.relayed:0|c\n\
             balancer.open_requests:14|g\nbalancer.registry_entries:5|g\nbalancer.out_of_rotation:1|g\n";
    assert_eq!(text, expected);
}

#[test]
fn fronts_are_added_up_by_class_name() {
    let one = OutcomeMetrics::new(&["read".into(), "book".into()]);
    let two = OutcomeMetrics::new(&["stay".into(), "read".into()]);
    one.count_final_answer(0, &FinalOutcome::InTime);
    one.count_attempt_sent(0);
    two.count_final_answer(1, &FinalOutcome::Late);
    two.count_final_answer(0, &FinalOutcome::Rejected(RejectionReason::TooManyOpen));
    one.set_gauges(3, 2, 1);
    two.set_gauges(4, 3, 0);
    let both = text([&one, &two]);
    let expected_lines = [
        "read.fulfilled:2|c",
        "read.relayed:1|c",
        "book.fulfilled:0|c",
        "stay.throttled:1|c",
    ];
    assert!(
        expected_lines
            .iter()
            .all(|expected| both.contains(&format!("balancer.operations.{expected}\n"))),
        "{both}"
    );
    assert_eq!(
        both.matches("operations.read.").count(),
        COUNTS.len(),
        "classes with the same name are one class"
    );
    assert!(both.ends_with(
        "open_requests:7|g\nbalancer.registry_entries:5|g\nbalancer.out_of_rotation:1|g\n"
    ));
    assert_eq!(text([&one]), one.text());
}
