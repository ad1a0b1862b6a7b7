//! The mechanism and each departure, through the interface.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn writes_and_fresh_reads_go_to_the_listed_primary() {
    let mut s = Script::group(settings(), 4, 3);
    s.request(1, WRITE);
    s.request(2, FRESH);
    assert_eq!((s.at(1), s.at(2)), (Some(3), Some(3)));
}

#[test]
fn without_a_listed_role_the_lowest_member_is_the_seed_but_fresh_reads_wait() {
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
fn one_write_searches_in_sorted_order_while_the_others_wait() {
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
fn after_a_round_of_misses_the_search_pauses() {
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
fn a_write_out_of_attempts_or_time_is_refused_at_once_with_a_retry_after() {
    let mut cfg = settings();
    cfg.limits.max_attempts = 2;
    cfg.limits.health_checks = false;
    let mut s = Script::new(cfg);
    s.list(
        true,
        (1..=4)
            .map(|i| entry(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    s.request(1, WRITE);
    s.end(1, Outcome::Rejected, PRIMARY);
    s.run(1000);
    s.end(1, Outcome::Rejected, PRIMARY);
    assert!(matches!(
        s.answers.get(&RequestId(1)),
        Some(Action::Reject {
            retry_after: Some(_),
            ..
        })
    ));
}

#[test]
fn a_probe_that_finds_the_successor_ends_the_search() {
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
fn an_old_report_does_not_unseat_a_primary_that_answered_since() {
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
fn a_silent_primary_is_not_fed_and_its_writes_are_neither_resent_nor_refused() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, WRITE);
    s.run(900);
    s.request(2, WRITE);
    assert!(s.at(2) != Some(1), "silence is evidence");
    s.report(2, 0, true);
    let write_two = s.at(2);
    assert!(write_two == Some(2) || write_two == Some(3));
    s.run(2200);
    assert!(s.failed(1));
    assert_eq!(s.sends.iter().filter(|(r, _)| r.0 == 1).count(), 1);
}

#[test]
fn a_keyed_write_on_a_silent_primary_is_called_off_and_resent_inside_its_window() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, KEYED);
    s.run(900);
    assert_eq!(s.cancels, [(RequestId(1), 0)]);
    s.report(2, 0, true);
    s.end(1, Outcome::Cancelled, None);
    assert_eq!(
        s.at(1),
        Some(1),
        "the end of its connection is on its way: nothing may overtake it"
    );
    s.run(2 * settings().tick.0 / 1000 + 5);
    assert_eq!(s.at(1), Some(2));
}

#[test]
fn a_keyed_write_is_not_resent_after_its_window() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, KEYED);
    s.run(2100);
    s.end(1, Outcome::Cancelled, None);
    assert!(s.failed(1));
}

#[test]
fn an_unsafe_write_that_may_have_run_fails_and_is_not_refused() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Cancelled] {
        let mut s = Script::group(settings(), 3, 1);
        s.request(1, WRITE);
        s.end(1, outcome, None);
        assert!(s.failed(1), "{outcome:?}");
    }
}

#[test]
fn the_search_goes_on_when_its_leader_leaves_or_hangs() {
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
fn bounded_reads_go_to_replicas_known_to_be_fresh_and_lagging_ones_get_none() {
    let mut s = Script::group(settings(), 3, 1);
    s.run(20);
    s.report(3, 5000, false);
    s.run(400);
    s.report(2, 10, false);
    for id in 1..=5 {
        s.request(id, BOUNDED);
        assert_eq!(s.at(id), Some(2));
        s.end(id, Outcome::Ok, REPLICA);
    }
}

#[test]
fn a_read_with_no_fresh_replica_probes_and_then_takes_the_primary() {
    let mut s = Script::group(settings(), 3, 1);
    s.run(400);
    s.probes.clear();
    s.request(1, BOUNDED);
    assert_eq!(s.at(1), None);
    assert!(!s.probes.is_empty());
    s.run(50);
    assert_eq!(s.at(1), Some(1));
}

#[test]
fn where_replicas_check_a_lag_told_is_taken_to_last_and_a_miss_is_remembered() {
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::Reject;
    let mut s = Script::group(cfg, 2, 1);
    s.run(100);
    s.request_with(1, SESSION, 3000, Some(90));
    assert_eq!(s.at(1), Some(2));
    s.end(1, Outcome::Misdirected, REPLICA);
    assert_eq!(s.at(1), Some(1));
    s.request_with(2, SESSION, 3000, Some(80));
    s.run(20);
    assert_eq!(
        s.at(2),
        Some(1),
        "what was turned away just now is not asked again at once"
    );
}

#[test]
fn a_session_read_needs_its_writes_and_a_session_without_needs_nothing() {
    let mut s = Script::group(settings(), 2, 1);
    s.run(1000);
    s.request_with(1, SESSION, 3000, None);
    assert_eq!(s.at(1), Some(2));
    s.request_with(2, SESSION, 3000, Some(100));
    s.run(50);
    assert_eq!(s.at(2), Some(1));
}

#[test]
fn kept_sessions_are_learned_even_from_a_write_whose_client_left() {
    let mut cfg = settings();
    cfg.sessions = SessionTracking::RouterTracked;
    let mut s = Script::group(cfg, 2, 1);
    s.request(1, WRITE);
    let commit = s.now + ms(20);
    s.run(30);
    let Some(PolicyEvent::AttemptEnded(mut end)) = s.ended(1, Outcome::Ok, PRIMARY, Some(commit))
    else {
        panic!()
    };
    end.closed = true;
    s.step(&[
        PolicyEvent::ClientDisconnected(RequestId(1)),
        PolicyEvent::AttemptEnded(end),
    ]);
    s.run(20);
    s.request(2, SESSION);
    s.run(50);
    assert_eq!(
        s.at(2),
        Some(1),
        "the replica's known position is before the commit"
    );
}

#[test]
fn remembered_sessions_take_bounded_memory_and_stay_safe() {
    let mut cfg = settings();
    cfg.sessions = SessionTracking::RouterTracked;
    cfg.limits.max_open_requests = 3;
    let mut s = Script::group(cfg, 2, 1);
    for id in 1..=9 {
        s.request(id, WRITE);
        let commit = s.now + ms(1);
        s.run(5);
        s.end_at(id, Outcome::Ok, PRIMARY, Some(commit));
    }
    s.run(10);
    s.step(&[PolicyEvent::ClientDisconnected(RequestId(99))]);
    s.request(20, SESSION);
    s.run(50);
    assert_eq!(s.at(20), Some(1));
}

#[test]
fn draining_and_gone_nodes_get_nothing_new() {
    let mut s = Script::group(settings(), 3, 1);
    s.list(
        false,
        vec![
            entry(1, true, EndpointState::Draining),
            entry(2, false, EndpointState::Removed),
        ],
    );
    s.request(1, WRITE);
    s.request(2, ANY);
    assert_eq!((s.at(1), s.at(2)), (Some(3), Some(3)));
}

#[test]
fn a_node_missing_from_a_whole_list_is_gone_unless_removal_does_not_bind() {
    for binds in [true, false] {
        let mut cfg = settings();
        cfg.rules.removal_is_advisory = !binds;
        let mut s = Script::group(cfg, 2, 1);
        s.list(true, vec![entry(1, true, EndpointState::Ready)]);
        s.request(1, ANY);
        assert_eq!(s.at(1), Some(if binds { 1 } else { 2 }));
    }
}

#[test]
fn a_cold_node_gets_little_and_more_as_it_warms() {
    let mut s = Script::group(settings(), 3, 1);
    let mut id = 0;
    let mut load = |s: &mut Script, n: u64| {
        let before = s.sends.len();
        for _ in 0..n {
            id += 1;
            s.request(id, ANY);
            s.run(10);
            if s.at(id).is_some() {
                s.end(id, Outcome::Ok, REPLICA);
            }
        }
        s.sends[before..].iter().filter(|(_, n)| n.0 == 3).count()
    };
    let warm = load(&mut s, 400);
    let mut restarted = entry(3, false, EndpointState::Ready);
    restarted.started = Some(s.now);
    s.list(false, vec![restarted]);
    let cold = load(&mut s, 150);
    let later = load(&mut s, 700);
    assert!(
        warm > 100 && cold * 5 < warm && later > cold,
        "{warm} {cold} {later}"
    );
}

#[test]
fn a_node_back_from_out_of_reach_counts_as_cold_before_the_list_says_so() {
    let mut s = Script::group(settings(), 3, 1);
    for id in 1..=100 {
        s.request(id, ANY);
        s.run(10);
        s.end(id, Outcome::Ok, REPLICA);
    }
    for id in 500..520 {
        s.request(id, ANY);
        s.end(
            id,
            if s.at(id) == Some(3) {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
            None,
        );
        s.probed(3, Outcome::ConnectFailed, None);
    }
    s.report(3, 10, false);
    let before = s.sends.len();
    for id in 101..=200 {
        s.request(id, ANY);
        s.run(10);
        s.end(id, Outcome::Ok, REPLICA);
    }
    let back = s.sends[before..].iter().filter(|(_, n)| n.0 == 3).count();
    assert!(back < 30, "{back} of 100 to a node that just came back");
}

#[test]
fn slow_answers_shrink_what_a_node_has_at_once() {
    let out_at_most = |latency: i64| {
        let mut s = Script::group(settings(), 2, 1);
        for id in 1..=40 {
            s.request(id, ANY);
            s.run(latency);
            if s.at(id).is_some() && !s.answers.contains_key(&RequestId(id)) {
                s.end(id, Outcome::Ok, REPLICA);
            }
        }
        let before = s.sends.len();
        for id in 101..=140 {
            s.request(id, ANY);
        }
        s.sends.len() - before
    };
    assert!(out_at_most(20) > out_at_most(500) && out_at_most(500) >= 1);
}

#[test]
fn when_not_all_fit_the_worthier_goes_first() {
    let mut cfg = settings();
    cfg.classes[ANY.0].priority_weight = 5.0;
    let mut s = Script::group(cfg, 2, 1);
    for id in 1..=60 {
        s.request_with(id, SESSION, 3000, None);
    }
    s.request(100, ANY);
    assert_eq!(s.at(100), None, "no room");
    s.end(1, Outcome::Ok, REPLICA);
    assert_eq!(s.at(100), Some(2));
}

#[test]
fn a_read_given_up_on_is_refused_at_once() {
    let mut s = Script::new(settings());
    s.list(true, vec![]);
    s.request(1, BOUNDED);
    s.run(600);
    assert!(s.refused(1), "its aim has passed, its deadline has not");
}

#[test]
fn a_restarted_router_with_a_stale_list_relearns_by_a_miss() {
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
fn a_list_that_is_asked_for_is_asked_again_with_growing_pauses() {
    let mut cfg = settings();
    cfg.discovery_mode = DiscoveryMode::Poll;
    let mut s = Script::new(cfg);
    s.list(true, vec![entry(1, true, EndpointState::Ready)]);
    assert_eq!(s.subscribes.len(), 1);
    for n in 2..8 {
        s.step(&[PolicyEvent::DiscoveryFailed]);
        s.run(4100);
        assert_eq!(s.subscribes.len(), n, "asked again within rules.ask_within");
    }
}

#[test]
fn odd_but_legal_sequences_are_borne() {
    let mut s = Script::group(settings(), 2, 1);
    s.list(
        true,
        vec![
            entry(1, true, EndpointState::Ready),
            entry(1, false, EndpointState::Ready),
        ],
    );
    s.probed(77, Outcome::Ok, None);
    s.step(&[
        PolicyEvent::ClientDisconnected(RequestId(4)),
        PolicyEvent::ResponseStarted(RequestId(4)),
        PolicyEvent::Timer(9),
    ]);
    let end = AttemptEnd {
        request: RequestId(12),
        attempt: 3,
        endpoint: EndpointId(88),
        outcome: Outcome::Ok,
        closed: true,
        latency: ms(1),
        role: PRIMARY,
        position: None,
        report: None,
    };
    s.step(&[PolicyEvent::AttemptEnded(end)]);
    s.request(1, WRITE);
    assert_eq!(s.at(1), Some(1));
}

#[test]
fn settings_that_cannot_work_are_an_error() {
    let mut cfg = settings();
    cfg.classes.clear();
    assert!(
        Router::new(cfg, 1)
            .unwrap_err()
            .to_string()
            .contains("classes")
    );
}

#[test]
fn a_long_query_is_no_silence() {
    let mut cfg = settings();
    cfg.classes[ANY.0].latency_objective = ms(4000);
    cfg.classes[ANY.0].deadline = ms(6000);
    let mut s = Script::group(cfg, 2, 1);
    for id in 1..=30 {
        s.request(id, WRITE);
        s.run(20);
        s.end(id, Outcome::Ok, PRIMARY);
    }
    s.request(100, ANY);
    s.run(900);
    assert!(s.cancels.is_empty(), "its class takes that long");
    s.request(101, ANY);
    assert_eq!(s.at(101), Some(2));
}

#[test]
fn an_answer_that_is_passed_on_is_no_silence_takes_no_room_and_is_not_called_off() {
    let mut s = Script::group(settings(), 2, 1);
    for id in 1..=60 {
        s.request_with(id, ANY, 60_000, None);
        assert_eq!(s.at(id), Some(2), "none of them is out");
        s.step(&[PolicyEvent::ResponseStarted(RequestId(id))]);
    }
    s.run(20_000);
    assert!(s.cancels.is_empty() && s.answers.is_empty());
    s.request(100, ANY);
    assert_eq!(s.at(100), Some(2));
    s.end(100, Outcome::Ok, REPLICA);
    // One breaks off: nothing is sent again, and nothing is left of it.
    s.abort(1);
    s.end(2, Outcome::Reset, None);
    assert_eq!(s.sends.len(), 61);
    assert!(s.cancels.is_empty());
}

#[test]
fn what_a_primary_says_at_the_end_of_a_long_answer_is_as_old_as_its_beginning() {
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

#[test]
fn long_queries_of_a_group_go_to_one_replica_and_bounded_reads_keep_off_it() {
    // A replica that holds one applies nothing: spread over all of them, they made every replica stale.
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::WaitThenReject(ms(20));
    cfg.classes[ANY.0].latency_objective = ms(4000);
    let mut s = Script::group(cfg.clone(), 5, 1);
    for id in 1..=6 {
        s.request(id, ANY);
        assert_eq!(s.at(id), Some(5), "the same replica at every router");
    }
    for id in 11..=30 {
        s.request(id, BOUNDED);
        assert!(
            s.at(id).is_some_and(|endpoint| (2..=4).contains(&endpoint)),
            "{:?}",
            s.at(id)
        );
        s.end(id, Outcome::Ok, REPLICA);
    }
    s.list(false, vec![entry(5, false, EndpointState::Draining)]);
    s.request(7, ANY);
    assert_eq!(s.at(7), Some(4), "the next one bears them");
    // Where there is one replica only, nothing is kept off the primary.
    let mut s = Script::group(cfg, 2, 1);
    s.request(1, BOUNDED);
    assert_eq!(s.at(1), Some(2));
}

#[test]
fn a_node_whose_answers_are_errors_gets_little_though_it_has_nothing_in_flight() {
    let mut s = Script::group(settings(), 4, 1);
    let mut sent = 0;
    for id in 1..=400 {
        s.request(id, ANY);
        while s.at(id) == Some(2) {
            sent += 1;
            s.end(id, Outcome::Error, REPLICA);
            // It goes out again once its connection's end cannot be overtaken any more.
            s.run(2 * settings().tick.0 / 1000 + 5);
        }
        s.end(id, Outcome::Ok, REPLICA);
    }
    assert!(
        (5..60).contains(&sent),
        "a third of them without the rule: {sent}"
    );
}

#[test]
fn replicas_that_lag_are_asked_again_before_their_lag_has_passed() {
    // A replica that catches up was left out for as long as it had once lagged.
    let mut s = Script::group(settings(), 2, 1);
    s.run(400);
    s.request(50, BOUNDED);
    s.report(2, 4000, false);
    s.probes.clear();
    for id in 1..=20 {
        s.request(id, BOUNDED);
        s.run(100);
        assert_eq!(s.at(id), Some(1));
        s.end(id, Outcome::Ok, PRIMARY);
    }
    assert!(s.probes.contains(&EndpointId(2)), "within 2 s");
}

#[test]
fn groups_that_clients_make_up_are_forgotten() {
    let mut s = Script::group(settings(), 2, 1);
    for group in 100_u16..400 {
        s.request_to(group.into(), GroupId(group), WRITE, 3000, None);
    }
    s.run(4000);
    assert!(s.unfinished().is_empty());
    s.step(&[]);
    assert!(!s.shows("GroupId(250)") && s.shows("GroupId(0)"));
}

/// Sends of many routers to one node in the 1.5 s before and after it started anew, each router with about one
/// request of a class a second.
fn sent_by_many(class: ClassId, endpoint: u32, members: u32, leaving: &[u32]) -> (usize, usize) {
    let (mut before, mut after) = (0, 0);
    for seed in 0..150 {
        let mut cfg = settings();
        cfg.routers = 150;
        let mut s = Script::group_seeded(cfg, members, 1, seed);
        s.run(i64::try_from(seed).unwrap() * 6);
        let mut id = 0;
        let mut second = |s: &mut Script| {
            id += 1;
            s.request(id, class);
            s.run(100);
            if s.at(id).is_some() && !s.answers.contains_key(&RequestId(id)) {
                s.end(
                    id,
                    Outcome::Ok,
                    Some(if s.at(id) == Some(1) {
                        Role::Primary
                    } else {
                        Role::Replica
                    }),
                );
            }
            s.run(900);
        };
        (0..12).for_each(|_| second(&mut s));
        let count = |s: &Script, from: usize| {
            s.sends[from..]
                .iter()
                .filter(|(_, n)| n.0 == endpoint)
                .count()
        };
        let from = s.sends.len();
        (0..2).for_each(|_| second(&mut s));
        before += count(&s, from);
        let mut restarted = entry(endpoint, endpoint == 1, EndpointState::Ready);
        restarted.started = Some(s.now);
        let gone = leaving
            .iter()
            .map(|n| entry(*n, false, EndpointState::Removed));
        s.list(false, gone.chain([restarted]).collect());
        let from = s.sends.len();
        (0..2).for_each(|_| second(&mut s));
        after += count(&s, from);
    }
    (before, after)
}

#[test]
fn what_many_small_routers_send_to_a_cold_replica_stays_under_the_limit_together() {
    let (before, after) = sent_by_many(ANY, 3, 3, &[]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(before > 100 && (after as f64) < limit, "{before} {after}");
}

#[test]
fn the_limit_holds_for_many_small_routers_when_most_of_the_group_leaves_as_well() {
    let (before, after) = sent_by_many(ANY, 6, 6, &[2, 3, 4, 5]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(before > 40 && (after as f64) < limit, "{before} {after}");
}

#[test]
fn what_many_small_routers_write_to_a_cold_primary_stays_under_the_limit_together() {
    let (before, after) = sent_by_many(WRITE, 1, 3, &[]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(
        before > 200 && after > 0 && (after as f64) < limit,
        "{before} {after}"
    );
}

/// Requests that are out at the one member of a group, with as many waiting as there may be.
fn out_at_the_primary(s: &mut Script, from: u64) -> usize {
    let before = s.sends.len();
    (from..from + 60).for_each(|id| s.request(id, WRITE));
    s.sends.len() - before
}

/// Two processes that are one gateway have no more out at a member together than one may: what it had learned, or what
/// it begins with if that is more.
#[rstest::rstest]
#[case::nothing_learned(0, 0)]
#[case::a_quick_member(300, 0)]
#[case::a_slow_member(90, 1_000)]
fn one_router_more_keeps_the_sum_of_the_limits(#[case] answers: u64, #[case] after_ms: i64) {
    let learned = || {
        let mut s = Script::group(settings(), 1, 1);
        for last in (9..=answers).step_by(9) {
            // Nine at a time: a limit grows by what is needed.
            (last - 8..=last).for_each(|id| s.request(id, WRITE));
            s.run(after_ms);
            for id in last - 8..=last {
                let end = s
                    .at(id)
                    .and_then(|_| s.ended(id, Outcome::Ok, PRIMARY, None));
                s.step(&end.into_iter().collect::<Vec<_>>());
            }
            s.run(4_000);
        }
        s
    };
    let alone = out_at_the_primary(&mut learned(), 10_000);
    let start = out_at_the_primary(&mut Script::group(settings(), 1, 1), 10_000);
    let (mut old, mut new) = (learned(), Script::group(settings(), 1, 1));
    old.step(&[PolicyEvent::RouterCount(2 * settings().routers)]);
    new.step(&[PolicyEvent::RouterCount(2 * settings().routers)]);
    let both = out_at_the_primary(&mut old, 10_000) + out_at_the_primary(&mut new, 10_000);
    assert!(
        both <= alone.max(start) && both >= 2,
        "{both} by two, {alone} and {start} by one"
    );
    // Fewer routers raise nothing: what is heard of them may be wrong.
    let mut fewer = learned();
    fewer.step(&[
        PolicyEvent::RouterCount(2 * settings().routers),
        PolicyEvent::RouterCount(settings().routers),
    ]);
    assert!(
        out_at_the_primary(&mut fewer, 10_000) <= alone.div_ceil(2) + 1,
        "a limit grows by answers"
    );
}

#[test]
fn a_limit_that_was_cut_again_and_again_still_lets_a_read_to_the_primary() {
    let mut s = Script::group(settings(), 1, 1);
    (0..20)
        .flat_map(|_| [4, 2])
        .for_each(|n| s.step(&[PolicyEvent::RouterCount(n)]));
    s.request(1, ANY);
    assert_eq!(s.at(1), Some(1));
}

/// Writes that go to a primary which has just started, within the time that pushes it over, from processes that share a
/// gateway's 100 requests a second; the first has served its share for a while.
fn sent_to_a_cold_primary(processes: u32) -> usize {
    let mut cfg = settings();
    (cfg.routers, cfg.tenants) = (1, vec![Tenant { allowance: 100.0 }]);
    let mut sent = 0;
    for n in 0..processes {
        let mut s = Script::group_seeded(cfg.clone(), 4, 1, n.into());
        let mut id = 0;
        let mut one = |s: &mut Script, class, gap| {
            id += 1;
            s.request(id, class);
            s.run(gap);
            for id in 1.max(id.saturating_sub(50))..=id {
                let role = Some(if s.at(id) == Some(1) {
                    Role::Primary
                } else {
                    Role::Replica
                });
                let end = s.at(id).and_then(|_| s.ended(id, Outcome::Ok, role, None));
                s.step(&end.into_iter().collect::<Vec<_>>());
            }
        };
        (0..if n == 0 { 1_500 } else { 0 }).for_each(|_| one(&mut s, ANY, 10));
        s.step(&[PolicyEvent::RouterCount(processes)]);
        let mut restarted = entry(1, true, EndpointState::Ready);
        restarted.started = Some(s.now);
        s.list(false, vec![restarted]);
        let from = s.sends.len();
        let gap = 10 * i64::from(processes);
        (0..settings().rules.overload_duration.0 / 1_000 / gap)
            .for_each(|_| one(&mut s, WRITE, gap));
        sent += s.sends[from..]
            .iter()
            .filter(|(_, endpoint)| endpoint.0 == 1)
            .count();
    }
    sent
}

#[test]
fn two_processes_keep_the_budget_of_a_cold_member_that_one_has() {
    let (one, two) = (sent_to_a_cold_primary(1), sent_to_a_cold_primary(2));
    assert!(
        one > 10 && two <= one + one / 10,
        "{two} by two, {one} by one"
    );
}

/// Routers that have just started meet a primary that has too: 100 writes a second, of the 400 that tenants may ask of
/// four members. What a member can do is taken to be its part of those.
#[rstest::rstest]
#[case(1)]
#[case(3)]
#[case(100)]
fn routers_that_have_seen_nothing_yet_still_write_to_a_cold_primary_within_its_budget(
    #[case] routers: u32,
) {
    let mut cfg = settings();
    cfg.routers = routers;
    cfg.tenants = vec![Tenant { allowance: 300.0 }, Tenant { allowance: 100.0 }];
    let mut sent: Vec<Time> = vec![];
    for seed in 0..routers {
        let mut s = Script::group_seeded(cfg.clone(), 4, 1, seed.into());
        let mut restarted = entry(1, true, EndpointState::Ready);
        restarted.started = Some(s.now);
        s.list(false, vec![restarted]);
        s.run(i64::from(seed) * 10 % 1_000);
        let gap = 10 * i64::from(routers);
        for id in 1..=(3_000 / gap).max(3) as u64 {
            s.request(id, WRITE);
            s.run(gap);
            for id in 1..=id {
                let end = s
                    .at(id)
                    .and_then(|_| s.ended(id, Outcome::Ok, PRIMARY, None));
                s.step(&end.into_iter().collect::<Vec<_>>());
            }
        }
        sent.extend(
            s.all
                .iter()
                .filter(|(_, a)| matches!(a, Action::Send { .. }))
                .map(|(at, _)| *at),
        );
    }
    let rules = settings().rules;
    let first = Time(100_000_000);
    let within = sent
        .iter()
        .filter(|at| **at < first + rules.overload_duration)
        .count();
    // By the end of that time it can do 0.32 of 100 a second.
    let budget = rules.overload_multiple * 0.32 * 100.0 * rules.overload_duration.as_f64() / 1e6;
    assert!(
        within >= 10 && (within as f64) < budget,
        "{within} of {budget}, {} in all",
        sent.len()
    );
}

#[test]
fn many_routers_that_meet_a_slow_member_seldom_each_draw_it_less() {
    let mut cfg = settings();
    cfg.routers = 100;
    let (mut slow, mut all) = (0, 0);
    for seed in 0..100 {
        let mut s = Script::group_seeded(cfg.clone(), 4, 1, seed);
        for id in 1..=12 {
            s.request(id, ANY);
            let at = s.at(id);
            (slow, all) = (
                slow + usize::from(at == Some(3)),
                all + usize::from(at.is_some()),
            );
            s.run(if at == Some(3) { 500 } else { 50 });
            let end = at.and_then(|_| s.ended(id, Outcome::Ok, REPLICA, None));
            s.step(&end.into_iter().collect::<Vec<_>>());
            s.run(500);
        }
    }
    assert!(
        all > 1_000 && slow * 4 < all && slow > 20,
        "{slow} of {all}; a third without the rule"
    );
}

#[rstest::rstest]
#[case::of_many_routers(100, 0.9, 1.0)]
#[case::alone_and_busy(1, 0.1, 0.5)]
fn a_router_that_meets_members_seldom_goes_on_where_its_connection_stands(
    #[case] routers: u32,
    #[case] least: f64,
    #[case] most: f64,
) {
    // Four reads in a row, each long after the one before it was answered but well before a connection is closed as idle.
    let mut cfg = settings();
    cfg.routers = routers;
    let (mut same, mut all) = (0, 0);
    for seed in 0..60 {
        let mut s = Script::group_seeded(cfg.clone(), 6, 1, seed);
        // One alone that meets its members often: what it was answered tells enough of each.
        let before = if routers == 1 { 400 } else { 0 };
        let mut last = None;
        for id in 1..=before + 4 {
            s.request(id, ANY);
            let at = s.at(id);
            if id > before {
                (same, all) = (
                    same + usize::from(last == at),
                    all + usize::from(last.is_some()),
                );
                last = at;
            }
            s.run(10);
            let end = at.and_then(|_| s.ended(id, Outcome::Ok, REPLICA, None));
            s.step(&end.into_iter().collect::<Vec<_>>());
            s.run(if id > before { 2_000 } else { 5 });
        }
    }
    let part = same as f64 / all as f64;
    assert!(
        part >= least && part <= most,
        "{part} of {all} went where the one before did"
    );
}

#[test]
fn a_few_slow_answers_among_quick_ones_refuse_nothing() {
    // One answer in six takes all of its aim, the others a twelfth: the mean is 0.25, over ten of them often beyond 0.4.
    let mut cfg = settings();
    cfg.routers = 300;
    let mut refused = 0;
    for seed in 0..20 {
        let mut s = Script::group_seeded(cfg.clone(), 9, 1, seed);
        for id in 1..=300 {
            s.request(id, ANY);
            refused += usize::from(s.refused(id));
            // Three slow ones one after the other, now and then.
            s.run(if (id + seed * 5) % 18 < 3 { 600 } else { 50 });
            let end = s
                .at(id)
                .and_then(|_| s.ended(id, Outcome::Ok, REPLICA, None));
            s.step(&end.into_iter().collect::<Vec<_>>());
        }
    }
    assert!(refused < 30, "{refused} of 6000");
}

#[test]
fn a_member_out_of_reach_is_asked_ever_more_seldom_until_the_list_says_that_it_started_anew() {
    let mut s = Script::group(settings(), 3, 1);
    for id in 1..=30 {
        s.request(id, ANY);
        if s.at(id) == Some(3) {
            s.end(id, Outcome::ConnectFailed, None);
        }
        let end = s.ended(id, Outcome::Ok, None, None);
        s.step(&end.into_iter().collect::<Vec<_>>());
    }
    (0..3).for_each(|_| s.probed(3, Outcome::ConnectFailed, None));
    s.probes.clear();
    for id in 1_000..1_400 {
        let asked = s.probes.len();
        s.request(id, WRITE);
        s.end(id, Outcome::Ok, PRIMARY);
        if s.probes[asked..].contains(&EndpointId(3)) {
            s.probed(3, Outcome::ConnectFailed, None);
        }
        s.run(100);
    }
    let asked = s.probes.iter().filter(|n| **n == EndpointId(3)).count();
    assert!(
        (5..20).contains(&asked),
        "{asked} times in 40 s; 80 without the rule"
    );
    let mut anew = entry(3, false, EndpointState::Ready);
    anew.started = Some(s.now - ms(10_000));
    s.list(false, vec![anew]);
    (2_000..2_040).for_each(|id| s.request(id, ANY));
    assert!((2_000..2_040).any(|id| s.at(id) == Some(3)));
}

#[test]
fn a_router_with_nothing_waiting_asks_nothing() {
    let mut s = Script::group(settings(), 4, 1);
    s.probed(1, Outcome::ConnectFailed, None);
    s.request(1, KEYED);
    s.run(900);
    s.abort(1);
    s.probes.clear();
    s.run(5000);
    assert!(
        s.probes.is_empty(),
        "the primary is lost, but nobody waits for one: {:?}",
        s.probes
    );
}

#[test]
fn failed_probes_alone_unseat_nobody() {
    let mut s = Script::group(settings(), 3, 1);
    for outcome in [
        Outcome::Timeout,
        Outcome::Error,
        Outcome::ConnectFailed,
        Outcome::Timeout,
    ] {
        s.probed(1, outcome, None);
        s.probed(2, outcome, None);
    }
    s.request(1, WRITE);
    assert_eq!(s.at(1), Some(1));
    (2..40).for_each(|id| s.request(id, ANY));
    assert!((2..40).any(|id| s.at(id) == Some(2)));
}

#[test]
fn a_refused_connection_at_a_node_that_is_well_is_no_death() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, WRITE);
    s.end(1, Outcome::ConnectFailed, None);
    assert_eq!(
        s.probes.last(),
        Some(&EndpointId(1)),
        "a probe tells a death from too few connections"
    );
    s.report(1, 0, true);
    s.run(400);
    assert_eq!(
        s.sends.iter().map(|(_, n)| n.0).collect::<Vec<_>>(),
        [1, 1],
        "the same primary, no search"
    );
}

#[test]
fn refused_connections_and_a_failed_probe_start_a_search() {
    let mut s = Script::group(settings(), 3, 1);
    for _ in 0..2 {
        s.request(1, WRITE);
        s.end(1, Outcome::ConnectFailed, None);
        s.probed(1, Outcome::ConnectFailed, None);
        s.run(400);
    }
    assert_eq!(s.at(1), Some(2));
}

#[test]
fn a_single_break_leaves_a_node_in_use_and_warm() {
    // Shut for a reset and a failed probe, nodes came back as cold and got next to nothing for 17 s.
    let mut s = Script::group(settings(), 2, 1);
    for id in 1..=40 {
        s.request(id, ANY);
        s.end(id, Outcome::Reset, None);
        s.end(id, Outcome::Ok, PRIMARY);
        s.probed(2, Outcome::Reset, None);
        s.probed(2, Outcome::ConnectFailed, None);
        s.request(100 + id, ANY);
        assert_eq!(s.at(100 + id), Some(2), "request {id}");
        s.end(100 + id, Outcome::Ok, REPLICA);
    }
}

#[test]
fn the_time_outs_of_hasty_clients_do_not_shrink_a_node() {
    let mut s = Script::group(settings(), 2, 1);
    for id in 1..=30 {
        s.request_with(id, ANY, 20, None);
        s.run(20);
    }
    (101..=106).for_each(|id| s.request(id, ANY));
    assert!(
        (101..=106).all(|id| s.at(id) == Some(2)),
        "six at once, of the eight that it may have at first"
    );
}

#[test]
fn when_answers_take_too_much_of_their_aim_part_of_what_comes_in_is_refused_at_once() {
    let refused = |latency: i64| {
        let mut cfg = settings();
        cfg.routers = 300;
        cfg.classes[BOUNDED.0].consistency = Consistency::Eventual;
        cfg.classes[BOUNDED.0].priority_weight = 4.0;
        let mut s = Script::group(cfg, 9, 1);
        let mut at_once = [0, 0];
        for id in 1..=400 {
            let dear = usize::from(id % 2 == 0);
            s.request(id, if dear == 1 { BOUNDED } else { ANY });
            at_once[dear] += usize::from(s.refused(id));
            s.run(latency);
            if s.at(id).is_some() && !s.answers.contains_key(&RequestId(id)) {
                s.end(id, Outcome::Ok, REPLICA);
            }
        }
        at_once
    };
    assert_eq!(refused(50), [0, 0]);
    let [cheap, dear] = refused(520);
    assert!(cheap > 60 && dear * 2 < cheap, "{cheap} {dear}");
}

#[test]
fn a_replica_that_turned_a_read_away_is_asked_again_after_a_while_without_a_probe() {
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::Reject;
    cfg.limits.health_checks = false;
    let mut s = Script::new(cfg);
    s.list(
        true,
        (1..=2)
            .map(|i| entry(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    s.request(1, BOUNDED);
    assert_eq!(s.at(1), Some(2), "a lag not told is none");
    s.end(1, Outcome::Misdirected, REPLICA);
    s.run(50);
    s.end(1, Outcome::Ok, PRIMARY);
    s.request(2, BOUNDED);
    s.run(50);
    assert_eq!(s.at(2), Some(1));
    s.end(2, Outcome::Ok, PRIMARY);
    s.run(9000);
    s.request(3, BOUNDED);
    assert_eq!(s.at(3), Some(2));
}

#[test]
fn a_node_that_is_gone_and_comes_back_under_its_number_is_taken_up_again() {
    let mut s = Script::group(settings(), 2, 1);
    s.request(1, ANY);
    assert_eq!(s.at(1), Some(2));
    s.list(
        false,
        vec![
            entry(2, false, EndpointState::Removed),
            entry(9, false, EndpointState::Removed),
        ],
    );
    s.end(1, Outcome::Reset, None);
    s.run(20);
    assert_eq!(s.at(1), Some(1));
    s.list(false, vec![entry(2, false, EndpointState::Ready)]);
    s.request(2, ANY);
    assert_eq!(s.at(2), Some(2));
    s.list(true, vec![]);
    s.request(3, ANY);
    s.run(700);
    assert!(s.at(3).is_none() && s.refused(3));
}

#[test]
fn a_write_never_sent_for_want_of_a_primary_is_refused_at_half_its_time() {
    // Held to its end, it would cost its client the time in which to come back.
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
    s.request_with(2, KEYED, 2000, None);
    s.run(900);
    assert!(!s.refused(2), "held while there is hope");
    // The first leads the next round of the search: what it was told is kept, so it goes on.
    s.run(150);
    assert!(s.refused(2) && !s.refused(1));
}
