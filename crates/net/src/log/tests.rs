//! Tests of the limit on log lines.

use super::{LineDecision, LineLimit};

#[test]
fn limit_applies_to_each_second() {
    let limit = LineLimit::new(2);
    let decisions: Vec<_> = [1, 1, 1, 1, 2, 2, 2]
        .into_iter()
        .map(|second| limit.decide(second))
        .collect();
    let expected = [
        LineDecision::WriteFirst,
        LineDecision::Write,
        LineDecision::Suppress,
        LineDecision::Suppress,
        LineDecision::WriteFirst,
        LineDecision::Write,
        LineDecision::Suppress,
    ];
    assert_eq!(decisions, expected);
}
