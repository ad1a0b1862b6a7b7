//! How the primary of a group is found.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn listed_primary_gets_writes_and_strong_reads() {
    let mut script = Script::group(settings(), 4, 3);
    script.request(1, WRITE);
    script.request(2, STRONG);
    assert_eq!((script.sent_to(1), script.sent_to(2)), (Some(3), Some(3)));
}

#[test]
fn unknown_primary_sends_writes_to_lowest_endpoint_and_strong_reads_wait() {
    let mut cfg = settings();
    cfg.listed_role = ListedRole::Ignored;
    let mut script = Script::new(cfg);
    script.list(
        true,
        (1..=3)
            .map(|i| record(i, i == 3, EndpointState::Ready))
            .collect(),
    );
    script.request(1, WRITE);
    assert_eq!(script.sent_to(1), Some(1));
    script.request(2, STRONG);
    assert_eq!(script.sent_to(2), None);
    script.report(2, 0, true);
    assert_eq!(script.sent_to(2), Some(2));
}

#[test]
fn lost_primary_lets_one_write_search_while_others_wait() {
    let mut script = Script::group(settings(), 4, 1);
    script.request(1, WRITE);
    script.end(1, Outcome::Misdirected, REPLICA);
    script.request(2, WRITE);
    script.request(3, WRITE);
    let tried: Vec<u32> = script.sends[1..].iter().map(|(_, n)| n.0).collect();
    assert_eq!(tried, [2], "only one write is in flight");
    script.end(1, Outcome::Misdirected, REPLICA);
    assert_eq!(script.sends.last().unwrap().1, EndpointId(3));
    let leader = script.sends.last().unwrap().0.0;
    script.end(leader, Outcome::Ok, PRIMARY);
    assert!(
        [1, 2, 3]
            .iter()
            .filter(|id| **id != leader)
            .all(|id| script.sent_to(*id) == Some(3))
    );
}

#[test]
fn search_that_tried_every_endpoint_pauses() {
    let mut cfg = settings();
    cfg.limits.health_checks = false;
    let mut script = Script::new(cfg);
    script.list(
        true,
        (1..=2)
            .map(|i| record(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    script.request(1, WRITE);
    script.end(1, Outcome::Misdirected, REPLICA);
    script.end(1, Outcome::Misdirected, REPLICA);
    assert_eq!(script.sends.len(), 2);
    script.advance(480);
    assert_eq!(script.sends.len(), 2);
    script.advance(40);
    assert_eq!(script.sends.len(), 3);
}

#[test]
fn primary_found_by_health_check_ends_the_search() {
    let mut script = Script::group(settings(), 3, 1);
    script.request(1, WRITE);
    for _ in 0..2 {
        script.end(1, Outcome::ConnectFailed, None);
        script.health_check_ended(1, Outcome::ConnectFailed, None);
        script.advance(200);
    }
    for _ in 0..2 {
        script.end(1, Outcome::Misdirected, REPLICA);
    }
    script.advance(50);
    assert_eq!(script.sends.len(), 4);
    script.report(2, 0, true);
    assert_eq!(script.sent_to(1), Some(2));
}

#[test]
fn older_report_does_not_replace_answered_primary() {
    let mut script = Script::group(settings(), 3, 1);
    script.advance(100);
    script.request(1, WRITE);
    script.end(1, Outcome::Ok, PRIMARY);
    script.report(2, 50, true);
    script.report(1, 60, false);
    script.request(2, WRITE);
    assert_eq!(script.sent_to(2), Some(1));
}

#[test]
fn unanswered_leading_write_lets_next_endpoint_be_tried() {
    let mut script = Script::group(settings(), 4, 1);
    script.request(1, WRITE);
    script.request(2, WRITE);
    script.end(1, Outcome::Misdirected, REPLICA);
    script.end(2, Outcome::Misdirected, REPLICA);
    let leader = script.sends.last().unwrap().0;
    assert_eq!(script.sends.last().unwrap().1, EndpointId(2));
    script.advance(900);
    assert_eq!(
        script.sends.last().unwrap().1,
        EndpointId(3),
        "the leading write is at a hung endpoint, so another write leads the search"
    );
    assert_ne!(script.sends.last().unwrap().0, leader);
}

#[test]
fn stale_list_does_not_outweigh_an_answer() {
    let mut cfg = settings();
    cfg.listed_role = ListedRole::Static;
    let mut script = Script::new(cfg);
    script.list(
        true,
        (1..=3)
            .map(|i| record(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    script.request(1, WRITE);
    script.end(1, Outcome::Misdirected, REPLICA);
    script.end(1, Outcome::Ok, PRIMARY);
    script.list(false, vec![record(1, true, EndpointState::Ready)]);
    script.request(2, WRITE);
    assert_eq!(
        script.sent_to(2),
        Some(2),
        "the list does not outweigh an answer"
    );
}

#[test]
fn role_in_streamed_answer_dates_from_its_start() {
    let mut script = Script::group(settings(), 3, 1);
    script.request_with(1, STRONG, 60_000, None);
    script.step(&[PolicyEvent::ResponseStarted(RequestId(1))]);
    script.advance(5_000);
    script.report(1, 0, false);
    script.report(2, 0, true);
    script.end(1, Outcome::Ok, PRIMARY);
    script.request(2, WRITE);
    assert_eq!(
        script.sent_to(2),
        Some(2),
        "endpoint 2 has reported since that it is the primary"
    );
}
