use proptest::prelude::*;
use rstest::rstest;

use super::*;

const LIMITS: Limits = Limits {
    most: 64,
    extra: 8,
    members: 32,
    asking: usize::MAX,
    settles: ANSWER_SETTLE_TIME,
};

fn ms(n: i64) -> Time {
    Time(n * 1000)
}

/// Connections from 1 on, all of which have done `doing` since 0.
fn held(doing: ConnectionActivity, count: u64) -> ConnectionLimiter {
    let mut places = ConnectionLimiter::new(LIMITS);
    for id in 1..=count {
        places.enter(ms(0), id);
        places.turn(id, doing, ms(0));
    }
    places
}

/// All that make way at a time.
fn ended(places: &mut ConnectionLimiter, now: Time) -> Vec<(u64, ConnectionActivity)> {
    std::iter::from_fn(|| places.make_way(now)).collect()
}

#[rstest]
// Of 64 places 8 are kept free at the cost of those that never asked, 2 at that of others; 2 are members'.
#[case::silence_before_others_and_at_once(ConnectionActivity::Unasked, 57, 50, 3)]
#[case::what_it_asks_may_be_on_its_way(ConnectionActivity::Unasked, 57, 49, 0)]
#[case::places_are_free(ConnectionActivity::Unasked, 54, 9_000, 0)]
#[case::an_answer_settles_first(ConnectionActivity::Once, 62, 249, 0)]
#[case::then_its_place_goes(ConnectionActivity::Once, 62, 250, 2)]
#[case::few_are_kept_free_of_it(ConnectionActivity::Once, 60, 9_000, 0)]
#[case::one_that_came_back(ConnectionActivity::Kept, 62, 250, 2)]
#[case::halves_beyond_half_of_all(ConnectionActivity::Half, 62, 250, 2)]
#[case::what_is_open_stays(ConnectionActivity::Open, 62, 9_000, 0)]
fn who_makes_way(
    #[case] doing: ConnectionActivity,
    #[case] count: u64,
    #[case] at: i64,
    #[case] goes: usize,
) {
    let mut places = held(doing, count);
    let gone = ended(&mut places, ms(at));
    assert_eq!(
        gone,
        (1..=goes as u64).map(|id| (id, doing)).collect::<Vec<_>>(),
        "the longest first"
    );
    places.check().unwrap();
}

#[rstest]
// Of 32 connections to ask on 8 are to be free.
#[case::enough_are_free(ConnectionActivity::Once, 24, 9_000, 0)]
#[case::one_too_many(ConnectionActivity::Once, 25, 9_000, 1)]
#[case::far_too_many(ConnectionActivity::Once, 40, 9_000, 16)]
#[case::an_answer_settles_first(ConnectionActivity::Once, 40, 249, 0)]
#[case::who_comes_back_uses_its_own(ConnectionActivity::Kept, 40, 9_000, 0)]
#[case::what_is_open_stays(ConnectionActivity::Open, 40, 9_000, 0)]
#[case::silence_takes_none(ConnectionActivity::Unasked, 40, 9_000, 0)]
fn who_asked_once_makes_way_for_others_to_ask(
    #[case] doing: ConnectionActivity,
    #[case] count: u64,
    #[case] at: i64,
    #[case] goes: usize,
) {
    let mut places = held(doing, count);
    places.resize(Limits {
        asking: 32,
        ..LIMITS
    });
    let gone = ended(&mut places, ms(at));
    assert_eq!(
        gone,
        (1..=goes as u64).map(|id| (id, doing)).collect::<Vec<_>>(),
        "the longest first"
    );
    places.check().unwrap();
}

#[test]
fn a_half_keeps_its_place_while_others_are_the_most() {
    let mut places = held(ConnectionActivity::Half, 32);
    (33..=62).for_each(|id| places.enter(ms(0), id));
    let gone = ended(&mut places, ms(9_000));
    assert!(
        gone.len() == 8
            && gone
                .iter()
                .all(|(id, doing)| *id > 32 && *doing == ConnectionActivity::Unasked),
        "{gone:?}"
    );
}

#[test]
fn those_that_came_back_to_ask_again_go_behind_those_that_asked_once() {
    let mut places = held(ConnectionActivity::Kept, 61);
    places.enter(ms(0), 62);
    places.turn(62, ConnectionActivity::Once, ms(5_000));
    assert_eq!(
        places.make_way(ms(9_000)),
        Some((62, ConnectionActivity::Once)),
        "though it has idled for less"
    );
}

#[test]
fn one_that_could_not_be_ended_is_left_in_peace_anew() {
    let mut places = held(ConnectionActivity::Once, 62);
    assert_eq!(
        places.make_way(ms(1_000)),
        Some((1, ConnectionActivity::Once))
    );
    places.turn(1, ConnectionActivity::Half, ms(1_000));
    assert_eq!(
        ended(&mut places, ms(1_000)).first(),
        Some(&(2, ConnectionActivity::Once))
    );
}

#[test]
fn no_place_makes_those_who_come_wait_and_then_a_few_more_are_let_in() {
    let mut places = held(ConnectionActivity::Half, 61);
    assert!(places.may_enter(ms(0)));
    places.enter(ms(0), 62);
    assert!(!places.may_enter(ms(0)) && !places.may_enter(ms(49)));
    assert!(places.may_enter(ms(50)), "a few more");
    (63..=66).for_each(|id| places.enter(ms(50), id));
    assert!(!places.may_enter(ms(60)), "no more than that");
    (1..=10).for_each(|id| places.leave(id));
    assert!(places.may_enter(ms(60)));
    (11..=20).for_each(|id| places.enter(ms(60), 100 + id));
    assert!(!places.may_enter(ms(60)), "the wait begins anew");
}

#[rstest]
#[case::requests_hold_all(30, 10, AdmissionDecision::Reject)]
#[case::half_messages_hold_all_and_members_are_idle(10, 50, AdmissionDecision::Serve)]
#[case::there_is_room(20, 10, AdmissionDecision::Serve)]
fn what_is_asked(#[case] open: u64, #[case] half: u64, #[case] verdict: AdmissionDecision) {
    let mut places = held(ConnectionActivity::Half, half);
    for id in 100..100 + open {
        places.enter(ms(0), id);
        places.turn(id, ConnectionActivity::Open, ms(0));
    }
    assert_eq!(places.ask(), verdict);
}

#[test]
fn members_take_what_they_need_and_nothing_is_set_aside_for_them() {
    let mut places = ConnectionLimiter::new(LIMITS);
    let mut clients = 0;
    while places.may_enter(ms(0)) {
        clients += 1;
        places.enter(ms(0), clients);
    }
    assert_eq!(clients, 62, "all but what is ready");
    (0..10).for_each(|_| assert!(places.member_enters()));
    assert!(
        !places.member_enters(),
        "never beyond what may be held at need"
    );
    assert_eq!(
        ended(&mut places, ms(1_000)).len(),
        18,
        "those that idle make way for them"
    );
    places.member_leaves();
    assert_eq!(places.held(), (62, 9));
}

#[test]
fn smaller_limits_make_those_go_that_idle() {
    let mut places = held(ConnectionActivity::Once, 60);
    places.resize(Limits {
        most: 32,
        members: 16,
        ..LIMITS
    });
    assert!(!places.may_enter(ms(250)));
    assert_eq!(ended(&mut places, ms(250)).len(), 30);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Come,
    Does(u64, ConnectionActivity),
    Leave(u64),
    Member(bool),
    Room,
    Wait(i64),
}

fn step() -> impl Strategy<Value = Step> {
    use ConnectionActivity::{Half, Kept, Once, Open, Unasked};
    let doing = prop::sample::select(vec![Unasked, Half, Open, Once, Kept]);
    prop_oneof![
        6 => Just(Step::Come),
        6 => (0..400_u64, doing).prop_map(|(id, doing)| Step::Does(id, doing)),
        2 => (0..400_u64).prop_map(Step::Leave),
        2 => any::<bool>().prop_map(Step::Member),
        3 => Just(Step::Room),
        2 => (0..200_i64).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn whatever_comes_the_limits_hold_and_nobody_is_ended_under_a_request(steps in prop::collection::vec(step(), 1..400)) {
        let mut places = ConnectionLimiter::new(LIMITS);
        let (mut now, mut next, mut members) = (ms(0), 0, 0_usize);
        for step in steps {
            match step {
                Step::Come => if places.may_enter(now) {
                    places.enter(now, next);
                    next += 1;
                },
                Step::Does(id, doing) => places.turn(id, doing, now),
                Step::Leave(id) => places.leave(id),
                Step::Member(true) => members += usize::from(members < LIMITS.members && places.member_enters()),
                Step::Member(false) => if members > 0 {
                    places.member_leaves();
                    members -= 1;
                },
                Step::Room => while let Some((id, doing)) = places.make_way(now) {
                    prop_assert!(!matches!(doing, ConnectionActivity::Open | ConnectionActivity::Parting), "{id} {doing:?}");
                },
                Step::Wait(n) => now = now + Span::from_millis(n),
            }
            let (lines, kept) = places.held();
            prop_assert!(lines + kept <= LIMITS.most + LIMITS.extra && kept == members);
            prop_assert_eq!(places.check(), Ok(()));
        }
    }
}
