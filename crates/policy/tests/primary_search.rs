//! How the primary of a group is found.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn listed_primary_gets_writes_and_strong_reads() {
    let mut s = Script::group(settings(), 4, 3);
    s.request(1, WRITE);
    s.request(2, FRESH);
    assert_eq!((s.at(1), s.at(2)), (Some(3), Some(3)));
}

#[test]
fn unlisted_primary_lowest_member_gets_writes_and_strong_reads_wait() {
    let mut cfg = settings();
    cfg.listed_role = ListedRole::Ignored;
    let mut s = Script::new(cfg);
    s.list(
        true,
        (1..=3)
            .map(|i| entry(i, i == 3, EndpointState::Ready))
            .collect(),
    );
    s.request(1, WRITE);
    assert_eq!(s.at(1), Some(1));
    s.request(2, FRESH);
    assert_eq!(s.at(2), None);
    s.report(2, 0, true);
    assert_eq!(s.at(2), Some(2));
}

#[test]
fn lost_primary_one_write_searches_and_others_wait() {
    let mut s = Script::group(settings(), 4, 1);
    s.request(1, WRITE);
    s.end(1, Outcome::Misdirected, REPLICA);
    s.request(2, WRITE);
    s.request(3, WRITE);
    let led: Vec<u32> = s.sends[1..].iter().map(|(_, n)| n.0).collect();
    assert_eq!(led, [2], "only one write is out");
    s.end(1, Outcome::Misdirected, REPLICA);
    assert_eq!(s.sends.last().unwrap().1, EndpointId(3));
    let leader = s.sends.last().unwrap().0.0;
    s.end(leader, Outcome::Ok, PRIMARY);
    assert!(
        [1, 2, 3]
            .iter()
            .filter(|id| **id != leader)
            .all(|id| s.at(*id) == Some(3))
    );
}

#[test]
fn every_member_tried_search_pauses() {
    let mut cfg = settings();
    cfg.limits.health_checks = false;
    let mut s = Script::new(cfg);
    s.list(
        true,
        (1..=2)
            .map(|i| entry(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    s.request(1, WRITE);
    s.end(1, Outcome::Misdirected, REPLICA);
    s.end(1, Outcome::Misdirected, REPLICA);
    assert_eq!(s.sends.len(), 2);
    s.run(480);
    assert_eq!(s.sends.len(), 2);
    s.run(40);
    assert_eq!(s.sends.len(), 3);
}

#[test]
fn health_check_finds_primary_search_ends() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, WRITE);
    for _ in 0..2 {
        s.end(1, Outcome::ConnectFailed, None);
        s.probed(1, Outcome::ConnectFailed, None);
        s.run(200);
    }
    for _ in 0..2 {
        s.end(1, Outcome::Misdirected, REPLICA);
    }
    s.run(50);
    assert_eq!(s.sends.len(), 4);
    s.report(2, 0, true);
    assert_eq!(s.at(1), Some(2));
}

#[test]
fn older_report_answered_primary_stays() {
    let mut s = Script::group(settings(), 3, 1);
    s.run(100);
    s.request(1, WRITE);
    s.end(1, Outcome::Ok, PRIMARY);
    s.report(2, 50, true);
    s.report(1, 60, false);
    s.request(2, WRITE);
    assert_eq!(s.at(2), Some(1));
}

#[test]
fn unanswered_leading_write_next_member_is_tried() {
    let mut s = Script::group(settings(), 4, 1);
    s.request(1, WRITE);
    s.request(2, WRITE);
    s.end(1, Outcome::Misdirected, REPLICA);
    s.end(2, Outcome::Misdirected, REPLICA);
    let leader = s.sends.last().unwrap().0;
    assert_eq!(s.sends.last().unwrap().1, EndpointId(2));
    s.run(900);
    assert_eq!(
        s.sends.last().unwrap().1,
        EndpointId(3),
        "a hung member costs the leader its turn"
    );
    assert_ne!(s.sends.last().unwrap().0, leader);
}

#[test]
fn stale_list_answer_outweighs_it() {
    let mut cfg = settings();
    cfg.listed_role = ListedRole::Static;
    let mut s = Script::new(cfg);
    s.list(
        true,
        (1..=3)
            .map(|i| entry(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    s.request(1, WRITE);
    s.end(1, Outcome::Misdirected, REPLICA);
    s.end(1, Outcome::Ok, PRIMARY);
    s.list(false, vec![entry(1, true, EndpointState::Ready)]);
    s.request(2, WRITE);
    assert_eq!(
        s.at(2),
        Some(2),
        "the list's word does not outweigh an answer"
    );
}

#[test]
fn streamed_answer_role_dates_from_its_start() {
    let mut s = Script::group(settings(), 3, 1);
    s.request_with(1, FRESH, 60_000, None);
    s.step(&[PolicyEvent::ResponseStarted(RequestId(1))]);
    s.run(5_000);
    s.report(1, 0, false);
    s.report(2, 0, true);
    s.end(1, Outcome::Ok, PRIMARY);
    s.request(2, WRITE);
    assert_eq!(
        s.at(2),
        Some(2),
        "the other one has told since that it is the primary"
    );
}
