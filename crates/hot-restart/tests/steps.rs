//! Both sides of an upgrade, event by event, and the limits that they keep together.

use proptest::prelude::*;
use rstest::rstest;
use valehatch_hot_restart::share::{LEAST, of_new, of_old};
use valehatch_hot_restart::words::{HEAD, Word, decode, encode, length};
use valehatch_hot_restart::{Does, Heard, Room, Stage, Steps};

const WHOLE: Room = Room { descriptors: 384, bytes: 48 << 20 };

const fn room(descriptors: usize) -> Room {
    Room { descriptors, bytes: 8 << 20 }
}

fn told(steps: &mut Steps, heard: Heard) -> Vec<Does> {
    let mut out = vec![];
    steps.take(heard, &mut out);
    out
}

fn nearly() -> Does {
    Does::Share { room: of_old(WHOLE, false, false), processes: 2 }
}

fn quarter() -> Does {
    Does::Share { room: WHOLE.half().half(), processes: 2 }
}

fn half() -> Does {
    Does::Share { room: WHOLE.half(), processes: 2 }
}

const fn all() -> Does {
    Does::Share { room: WHOLE, processes: 1 }
}

#[rstest]
#[case::the_usual_way(
    vec![Heard::Asked(1), Heard::Ready(1), Heard::Stop],
    vec![Does::Hand(1), nearly(), half(), Does::Leave, quarter()], Stage::Followed(1))]
#[case::stopped_before_the_new_one_serves(
    vec![Heard::Asked(1), Heard::Stop, Heard::Ready(1)],
    vec![Does::Hand(1), nearly(), quarter(), Does::Leave], Stage::Followed(1))]
#[case::asked_after_a_plain_stop(
    vec![Heard::Stop, Heard::Asked(1), Heard::Ready(1)],
    vec![Does::Hand(1), nearly(), quarter(), Does::Leave], Stage::Followed(1))]
#[case::the_new_one_dies_after_the_stop(
    vec![Heard::Asked(1), Heard::Ready(1), Heard::Stop, Heard::Gone(1), Heard::Asked(2), Heard::Ready(2)],
    vec![Does::Hand(1), nearly(), half(), Does::Leave, quarter(), all(), Does::Own,
        Does::Hand(2), nearly(), quarter(), Does::Leave], Stage::Followed(2))]
#[case::the_new_one_dies_before_it_serves(
    vec![Heard::Asked(1), Heard::Gone(1), Heard::Asked(2)],
    vec![Does::Hand(1), nearly(), all(), Does::Own, Does::Hand(2), nearly()], Stage::Sharing(2))]
#[case::the_new_one_dies_as_it_serves(
    vec![Heard::Asked(1), Heard::Ready(1), Heard::Gone(1)],
    vec![Does::Hand(1), nearly(), half(), all(), Does::Own], Stage::Alone)]
#[case::a_third_one_and_its_end(
    vec![Heard::Asked(1), Heard::Asked(2), Heard::Gone(2), Heard::Ready(2)],
    vec![Does::Hand(1), nearly(), Does::TurnAway(2)], Stage::Sharing(1))]
fn the_old_ones_steps(#[case] heard: Vec<Heard>, #[case] does: Vec<Does>, #[case] stage: Stage) {
    let mut steps = Steps::new(WHOLE, false);
    let out: Vec<Does> = heard.into_iter().flat_map(|h| told(&mut steps, h)).collect();
    assert_eq!((out, steps.stage()), (does, stage));
}

#[test]
fn the_new_one_takes_what_the_old_one_leaves_and_all_when_it_is_gone() {
    let mut steps = Steps::new(WHOLE, true);
    assert_eq!(steps.room(), WHOLE.half(), "nothing is known of the old one");
    assert_eq!(told(&mut steps, Heard::Asked(7)), [Does::TurnAway(7)], "two are enough");
    told(&mut steps, Heard::Old { holds: room(300), grows: true });
    assert_eq!(steps.room().descriptors, 84, "it keeps what it holds beyond half");
    told(&mut steps, Heard::Old { holds: room(50), grows: true });
    assert_eq!(steps.room().descriptors, 192, "it may grow to half");
    told(&mut steps, Heard::Old { holds: room(50), grows: false });
    assert_eq!(steps.room().descriptors, 334);
    assert_eq!(told(&mut steps, Heard::OldGone), [all()]);
    assert_eq!(told(&mut steps, Heard::OldGone), []);
    assert_eq!(told(&mut steps, Heard::Asked(8))[0], Does::Hand(8));
}

#[test]
fn what_is_held_is_told_when_it_changes_and_that_it_will_only_fall() {
    let mut steps = Steps::new(WHOLE, false);
    assert_eq!(told(&mut steps, Heard::Tick(room(9))), []);
    told(&mut steps, Heard::Asked(1));
    let tell = |n, grows| vec![Does::Tell { peer: 1, holds: room(n), grows }];
    assert_eq!(told(&mut steps, Heard::Tick(room(9))), tell(9, true));
    assert_eq!(told(&mut steps, Heard::Tick(room(9))), []);
    told(&mut steps, Heard::Ready(1));
    told(&mut steps, Heard::Stop);
    assert_eq!(told(&mut steps, Heard::Tick(room(9))), tell(9, false));
}

#[rstest]
#[case(Word::Ask("n0".into()))]
#[case(Word::Take(vec![1, 2, 3]))]
#[case(Word::Leaves(room(3)))]
fn words_are_read_as_they_were_said_and_nothing_else_is(#[case] word: Word) {
    let bytes = encode(&word);
    let (head, body) = bytes.split_first_chunk::<HEAD>().unwrap();
    assert_eq!(length(*head), Ok(body.len()));
    assert_eq!(decode(body), Ok(word));
    assert!(decode(&body[..body.len() - 1]).is_err() && decode(&[body, &[0]].concat()).is_err());
    assert!(length([0, 0, 0, 1, 0, 9]).is_err() && length([255, 0, 0, 0, 0, 1]).is_err());
}

proptest! {
    /// Both together stay under the limit, whatever the old one holds, once it holds no more than its share.
    #[test]
    fn two_processes_keep_one_limit(whole in 64_usize..2_000, part in 0.0_f64..1.0, grows: bool) {
        let whole = Room { descriptors: whole, bytes: whole << 18 };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
        let of = |n: usize| (n as f64 * part) as usize;
        let held = Room { descriptors: of(whole.descriptors), bytes: of(whole.bytes) };
        let new = of_new(whole, Some(held), grows);
        let old = if grows { held.descriptors.max(of_old(whole, true, false).descriptors) } else { held.descriptors };
        prop_assert!(old + new.descriptors <= whole.descriptors || new.descriptors == LEAST.descriptors);
        prop_assert!(of_old(whole, false, false).descriptors + LEAST.descriptors <= whole.descriptors.max(2 * LEAST.descriptors));
        prop_assert!(new.descriptors <= whole.descriptors && new.bytes <= whole.bytes);
        prop_assert!(new.descriptors >= LEAST.descriptors);
    }
}
