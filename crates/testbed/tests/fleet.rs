//! Memberships of a fleet under a virtual clock and faults: which members each gateway considers
//! live, and how soon.

use rstest::rstest;
use valehatch_membership::wire::MemberState;
use valehatch_membership::{Load, MembershipEvent};
use valehatch_policy::Span;
use valehatch_testbed::fleet::{Fleet, Network, address};

const PERIOD: Span = Span::from_millis(500);
const BYTES: u32 = 8192;

fn s(seconds: i64) -> Span {
    Span::from_millis(seconds * 1000)
}

fn network(lost: f64) -> Network {
    Network {
        lost,
        duplicated: lost / 2.0,
        delay: (Span(200), Span::from_millis(20)),
    }
}

fn fleet(size: usize, lost: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, 3.min(size), PERIOD, BYTES, network(lost), seed);
    (0..size).for_each(|n| fleet.start(n, 0).unwrap());
    fleet
}

fn agree(fleet: &mut Fleet, within: Span, what: &str) {
    let agreed = fleet
        .run(within, Fleet::agreed)
        .unwrap_or_else(|b| panic!("{what}: {}", b.0));
    let alive: Vec<usize> = fleet
        .running()
        .map(|(_, h)| h.live_members().count())
        .collect();
    assert!(
        agreed,
        "{what}: not agreed after {} s: {alive:?}",
        within.0 / 1_000_000
    );
}

fn noted(fleet: &Fleet, wanted: impl Fn(usize, MembershipEvent) -> bool) -> usize {
    fleet.notes.iter().filter(|n| wanted(n.by, n.note)).count()
}

#[rstest]
fn gateways_started_together_discover_each_other(
    #[values((1, 0.0), (2, 0.5), (3, 0.5), (12, 0.5), (12, 0.0), (100, 0.0), (100, 0.1))] drawn: (
        usize,
        f64,
    ),
) {
    let (size, lost) = drawn;
    let mut fleet = fleet(size, lost, 7);
    agree(&mut fleet, s(60), "a start of all");
    let synced = |f: &Fleet| {
        f.running()
            .all(|(_, h)| h.synced() && h.quota_divisor(Load::Normal) as usize == size)
    };
    assert!(
        fleet.run(s(60), synced).unwrap(),
        "each reports that it is synchronized"
    );
}

#[rstest]
#[case::half_the_datagrams(0.5, 11)]
#[case::none_lost(0.0, 3)]
fn killed_gateway_is_marked_dead_and_rejoins_with_new_incarnation(
    #[case] lost: f64,
    #[case] seed: u64,
) {
    let mut fleet = fleet(12, lost, seed);
    agree(&mut fleet, s(60), "at first");
    let before = fleet.membership(5).unwrap().incarnation();
    fleet.kill(5);
    agree(&mut fleet, s(120), "after the kill");
    // Without saved state and with its wall clock an hour back, its new incarnation still has to be
    // higher.
    fleet.start(5, -3_600_000).unwrap();
    agree(&mut fleet, s(60), "after the start");
    let now = fleet.membership(5).unwrap().incarnation();
    assert!(
        now > before && now.nonce != before.nonce,
        "{before:?} {now:?}"
    );
    let peer = fleet
        .membership(2)
        .unwrap()
        .peers()
        .find(|(a, _)| **a == address(5))
        .unwrap()
        .1
        .clone();
    assert_eq!(peer.incarnation.nonce, now.nonce);
}

#[test]
fn immediate_restart_is_recognized_as_new_incarnation_without_failure_detection() {
    let mut fleet = fleet(8, 0.0, 5);
    agree(&mut fleet, s(60), "at first");
    fleet.notes.clear();
    fleet.kill(3);
    fleet.start(3, -60_000).unwrap();
    fleet.run(s(10), |_| false).unwrap();
    agree(&mut fleet, s(10), "after the restart");
    let who: Vec<usize> = (0..8).filter(|n| *n != 3).collect();
    let reports = |n: &usize| {
        noted(&fleet, |by, note| {
            by == *n && note == MembershipEvent::Restarted(address(3))
        }) + noted(&fleet, |by, note| {
            by == *n && note == MembershipEvent::Joined(address(3))
        })
    };
    assert!(
        who.iter().all(|n| reports(n) >= 1),
        "each gateway reports the restart: {:?}",
        fleet.notes
    );
}

#[test]
fn planned_leave_spreads_fast_and_is_not_reported_as_failure() {
    let mut fleet = fleet(40, 0.01, 9);
    agree(&mut fleet, s(60), "at first");
    fleet.notes.clear();
    fleet.leave(7).unwrap();
    let gone = |f: &Fleet| {
        f.running().all(|(_, h)| {
            h.peers()
                .any(|(a, p)| *a == address(7) && p.state == MemberState::Left)
        })
    };
    assert!(fleet.run(s(4), gone).unwrap(), "within eight periods");
    assert_eq!(
        noted(&fleet, |_, note| note
            == MembershipEvent::Failed(address(7))),
        0
    );
}

#[rstest]
#[case::both_ways(false)]
#[case::one_way(true)]
fn partitioned_halves_merge_after_healing(#[case] one_way: bool) {
    let mut fleet = fleet(30, 0.01, 13);
    agree(&mut fleet, s(60), "at first");
    fleet.partition((0..30).map(|n| n % 2).collect(), one_way);
    fleet.run(s(40), |_| false).unwrap();
    fleet.heal();
    agree(&mut fleet, s(30), "after the cut");
}

#[test]
fn paused_gateway_reports_pause_first_and_suspects_nobody() {
    let mut fleet = fleet(20, 0.0, 21);
    agree(&mut fleet, s(60), "at first");
    fleet.notes.clear();
    fleet.pause(4, s(30));
    fleet.run(s(40), |_| false).unwrap();
    agree(&mut fleet, s(20), "after the sleep");
    let first = fleet.notes.iter().find(|n| n.by == 4).unwrap();
    assert!(
        matches!(first.note, MembershipEvent::ProcessPaused(gap) if gap >= s(29)),
        "{first:?}"
    );
    let blamed = |by, note| {
        by == 4
            && matches!(
                note,
                MembershipEvent::Suspected(_) | MembershipEvent::Failed(_)
            )
    };
    assert_eq!(
        noted(&fleet, blamed),
        0,
        "the paused gateway blamed others for its own silence"
    );
}

#[test]
fn ten_percent_loss_causes_no_false_failure() {
    let mut fleet = fleet(60, 0.1, 17);
    agree(&mut fleet, s(60), "at first");
    fleet.notes.clear();
    fleet.run(s(120), |_| false).unwrap();
    assert_eq!(
        noted(&fleet, |_, note| matches!(note, MembershipEvent::Failed(_))),
        0
    );
}

#[test]
fn crash_loop_does_not_grow_member_tables() {
    let mut fleet = fleet(10, 0.0, 23);
    agree(&mut fleet, s(60), "at first");
    for _ in 0..20 {
        fleet.kill(9);
        fleet.run(Span::from_millis(700), |_| false).unwrap();
        fleet.start(9, 0).unwrap();
        fleet.run(Span::from_millis(700), |_| false).unwrap();
    }
    agree(&mut fleet, s(30), "after the loop");
    assert!(fleet.running().all(|(_, h)| h.peers().count() == 9));
}

#[test]
fn same_seed_gives_same_steps() {
    let steps = |seed| {
        let mut fleet = fleet(15, 0.2, seed);
        fleet.run(s(30), |_| false).unwrap();
        (
            fleet.steps,
            fleet
                .notes
                .iter()
                .map(|n| format!("{n:?}"))
                .collect::<Vec<_>>(),
        )
    };
    assert_eq!(steps(4), steps(4));
    assert_ne!(steps(4).1, steps(5).1, "another seed gives other steps");
}
