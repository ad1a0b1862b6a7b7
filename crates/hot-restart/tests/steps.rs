//! Both sides of an upgrade, event by event, and the limits that they keep together.

use proptest::prelude::*;
use rstest::rstest;
use valehatch_hot_restart::share::{LEAST, of_new, of_old};
use valehatch_hot_restart::words::{HEAD, HandoffMessage, decode, encode, length};
use valehatch_hot_restart::{
    HandoffAction, HandoffEvent, HandoffStage, HandoffStateMachine, ProcessLimits,
};

const WHOLE: ProcessLimits = ProcessLimits {
    descriptors: 384,
    bytes: 48 << 20,
};

const fn room(descriptors: usize) -> ProcessLimits {
    ProcessLimits {
        descriptors,
        bytes: 8 << 20,
    }
}

fn told(steps: &mut HandoffStateMachine, heard: HandoffEvent) -> Vec<HandoffAction> {
    let mut out = vec![];
    steps.take(heard, &mut out);
    out
}

fn nearly() -> HandoffAction {
    HandoffAction::Share {
        room: of_old(WHOLE, false, false),
        processes: 2,
    }
}

fn quarter() -> HandoffAction {
    HandoffAction::Share {
        room: WHOLE.half().half(),
        processes: 2,
    }
}

fn half() -> HandoffAction {
    HandoffAction::Share {
        room: WHOLE.half(),
        processes: 2,
    }
}

const fn all() -> HandoffAction {
    HandoffAction::Share {
        room: WHOLE,
        processes: 1,
    }
}

#[rstest]
#[case::the_usual_way(
    vec![HandoffEvent::Asked(1), HandoffEvent::Ready(1), HandoffEvent::Stop],
    vec![HandoffAction::Hand(1), nearly(), half(), HandoffAction::Leave, quarter()], HandoffStage::Followed(1))]
#[case::stopped_before_the_new_one_serves(
    vec![HandoffEvent::Asked(1), HandoffEvent::Stop, HandoffEvent::Ready(1)],
    vec![HandoffAction::Hand(1), nearly(), quarter(), HandoffAction::Leave], HandoffStage::Followed(1))]
#[case::asked_after_a_plain_stop(
    vec![HandoffEvent::Stop, HandoffEvent::Asked(1), HandoffEvent::Ready(1)],
    vec![HandoffAction::Hand(1), nearly(), quarter(), HandoffAction::Leave], HandoffStage::Followed(1))]
#[case::the_new_one_dies_after_the_stop(
    vec![HandoffEvent::Asked(1), HandoffEvent::Ready(1), HandoffEvent::Stop, HandoffEvent::Gone(1), HandoffEvent::Asked(2), HandoffEvent::Ready(2)],
    vec![HandoffAction::Hand(1), nearly(), half(), HandoffAction::Leave, quarter(), all(), HandoffAction::Own,
        HandoffAction::Hand(2), nearly(), quarter(), HandoffAction::Leave], HandoffStage::Followed(2))]
#[case::the_new_one_dies_before_it_serves(
    vec![HandoffEvent::Asked(1), HandoffEvent::Gone(1), HandoffEvent::Asked(2)],
    vec![HandoffAction::Hand(1), nearly(), all(), HandoffAction::Own, HandoffAction::Hand(2), nearly()], HandoffStage::Sharing(2))]
#[case::the_new_one_dies_as_it_serves(
    vec![HandoffEvent::Asked(1), HandoffEvent::Ready(1), HandoffEvent::Gone(1)],
    vec![HandoffAction::Hand(1), nearly(), half(), all(), HandoffAction::Own], HandoffStage::Alone)]
#[case::a_third_one_and_its_end(
    vec![HandoffEvent::Asked(1), HandoffEvent::Asked(2), HandoffEvent::Gone(2), HandoffEvent::Ready(2)],
    vec![HandoffAction::Hand(1), nearly(), HandoffAction::TurnAway(2)], HandoffStage::Sharing(1))]
fn the_old_ones_steps(
    #[case] heard: Vec<HandoffEvent>,
    #[case] does: Vec<HandoffAction>,
    #[case] stage: HandoffStage,
) {
    let mut steps = HandoffStateMachine::new(WHOLE, false);
    let out: Vec<HandoffAction> = heard
        .into_iter()
        .flat_map(|h| told(&mut steps, h))
        .collect();
    assert_eq!((out, steps.stage()), (does, stage));
}

#[test]
fn the_new_one_takes_what_the_old_one_leaves_and_all_when_it_is_gone() {
    let mut steps = HandoffStateMachine::new(WHOLE, true);
    assert_eq!(
        steps.room(),
        WHOLE.half(),
        "nothing is known of the old one"
    );
    assert_eq!(
        told(&mut steps, HandoffEvent::Asked(7)),
        [HandoffAction::TurnAway(7)],
        "two are enough"
    );
    told(
        &mut steps,
        HandoffEvent::Old {
            holds: room(300),
            grows: true,
        },
    );
    assert_eq!(
        steps.room().descriptors,
        84,
        "it keeps what it holds beyond half"
    );
    told(
        &mut steps,
        HandoffEvent::Old {
            holds: room(50),
            grows: true,
        },
    );
    assert_eq!(steps.room().descriptors, 192, "it may grow to half");
    told(
        &mut steps,
        HandoffEvent::Old {
            holds: room(50),
            grows: false,
        },
    );
    assert_eq!(steps.room().descriptors, 334);
    assert_eq!(told(&mut steps, HandoffEvent::OldGone), [all()]);
    assert_eq!(told(&mut steps, HandoffEvent::OldGone), []);
    assert_eq!(
        told(&mut steps, HandoffEvent::Asked(8))[0],
        HandoffAction::Hand(8)
    );
}

#[test]
fn what_is_held_is_told_when_it_changes_and_that_it_will_only_fall() {
    let mut steps = HandoffStateMachine::new(WHOLE, false);
    assert_eq!(told(&mut steps, HandoffEvent::Tick(room(9))), []);
    told(&mut steps, HandoffEvent::Asked(1));
    let tell = |n, grows| {
        vec![HandoffAction::Tell {
            peer: 1,
            holds: room(n),
            grows,
        }]
    };
    assert_eq!(told(&mut steps, HandoffEvent::Tick(room(9))), tell(9, true));
    assert_eq!(told(&mut steps, HandoffEvent::Tick(room(9))), []);
    told(&mut steps, HandoffEvent::Ready(1));
    told(&mut steps, HandoffEvent::Stop);
    assert_eq!(
        told(&mut steps, HandoffEvent::Tick(room(9))),
        tell(9, false)
    );
}

#[rstest]
#[case(HandoffMessage::Ask("n0".into()))]
#[case(HandoffMessage::Take(vec![1, 2, 3]))]
#[case(HandoffMessage::Leaves(room(3)))]
fn words_are_read_as_they_were_said_and_nothing_else_is(#[case] word: HandoffMessage) {
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
        let whole = ProcessLimits { descriptors: whole, bytes: whole << 18 };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
        let of = |n: usize| (n as f64 * part) as usize;
        let held = ProcessLimits { descriptors: of(whole.descriptors), bytes: of(whole.bytes) };
        let new = of_new(whole, Some(held), grows);
        let old = if grows { held.descriptors.max(of_old(whole, true, false).descriptors) } else { held.descriptors };
        prop_assert!(old + new.descriptors <= whole.descriptors || new.descriptors == LEAST.descriptors);
        prop_assert!(of_old(whole, false, false).descriptors + LEAST.descriptors <= whole.descriptors.max(2 * LEAST.descriptors));
        prop_assert!(new.descriptors <= whole.descriptors && new.bytes <= whole.bytes);
        prop_assert!(new.descriptors >= LEAST.descriptors);
    }
}
