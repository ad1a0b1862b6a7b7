//! Events and resulting actions of both processes of a hot restart, and their combined limits.

use proptest::prelude::*;
use rstest::rstest;
use valehatch_hot_restart::limits::{
    MIN_PROCESS_LIMITS, OldProcessPhase, OldProcessStep, new_process_limits, old_process_limits,
};
use valehatch_hot_restart::messages::{
    HEADER_BYTES, HandoffMessage, decode, decode_length, encode,
};
use valehatch_hot_restart::{
    HandoffAction, HandoffEvent, HandoffStage, HandoffStateMachine, ProcessLimits, ProcessStart,
};

const TOTAL: ProcessLimits = ProcessLimits {
    descriptors: 384,
    bytes: 48 << 20,
};

const fn usage(descriptors: usize) -> ProcessLimits {
    ProcessLimits {
        descriptors,
        bytes: 8 << 20,
    }
}

fn handle(machine: &mut HandoffStateMachine, event: HandoffEvent) -> Vec<HandoffAction> {
    let mut actions = vec![];
    machine.handle(event, &mut actions);
    actions
}

fn limits_while_handing_over() -> HandoffAction {
    HandoffAction::ApplyLimits {
        limits: old_process_limits(TOTAL, OldProcessStep::HandingOver),
        processes: 2,
    }
}

fn limits_while_draining() -> HandoffAction {
    HandoffAction::ApplyLimits {
        limits: TOTAL.half().half(),
        processes: 2,
    }
}

fn limits_while_serving() -> HandoffAction {
    HandoffAction::ApplyLimits {
        limits: TOTAL.half(),
        processes: 2,
    }
}

const fn all_limits() -> HandoffAction {
    HandoffAction::ApplyLimits {
        limits: TOTAL,
        processes: 1,
    }
}

/// The old process hands its state to a new one. A shutdown request may arrive at any step, and the
/// new process may die at any step, after which the old process is the only one again. A third
/// process is rejected.
#[rstest]
#[case::usual_order(
    vec![HandoffEvent::HandoffRequested(1), HandoffEvent::NewProcessReady(1), HandoffEvent::ShutdownRequested],
    vec![HandoffAction::HandOver(1), limits_while_handing_over(), limits_while_serving(), HandoffAction::StopAccepting, limits_while_draining()], HandoffStage::Superseded(1))]
#[case::shutdown_before_new_process_serves(
    vec![HandoffEvent::HandoffRequested(1), HandoffEvent::ShutdownRequested, HandoffEvent::NewProcessReady(1)],
    vec![HandoffAction::HandOver(1), limits_while_handing_over(), limits_while_draining(), HandoffAction::StopAccepting], HandoffStage::Superseded(1))]
#[case::request_after_shutdown(
    vec![HandoffEvent::ShutdownRequested, HandoffEvent::HandoffRequested(1), HandoffEvent::NewProcessReady(1)],
    vec![HandoffAction::HandOver(1), limits_while_handing_over(), limits_while_draining(), HandoffAction::StopAccepting], HandoffStage::Superseded(1))]
#[case::new_process_dies_after_shutdown(
    vec![HandoffEvent::HandoffRequested(1), HandoffEvent::NewProcessReady(1), HandoffEvent::ShutdownRequested, HandoffEvent::NewProcessGone(1), HandoffEvent::HandoffRequested(2), HandoffEvent::NewProcessReady(2)],
    vec![HandoffAction::HandOver(1), limits_while_handing_over(), limits_while_serving(), HandoffAction::StopAccepting, limits_while_draining(), all_limits(), HandoffAction::ListenForSuccessor,
        HandoffAction::HandOver(2), limits_while_handing_over(), limits_while_draining(), HandoffAction::StopAccepting], HandoffStage::Superseded(2))]
#[case::new_process_dies_before_serving(
    vec![HandoffEvent::HandoffRequested(1), HandoffEvent::NewProcessGone(1), HandoffEvent::HandoffRequested(2)],
    vec![HandoffAction::HandOver(1), limits_while_handing_over(), all_limits(), HandoffAction::ListenForSuccessor, HandoffAction::HandOver(2), limits_while_handing_over()], HandoffStage::HandingOver(2))]
#[case::new_process_dies_while_serving(
    vec![HandoffEvent::HandoffRequested(1), HandoffEvent::NewProcessReady(1), HandoffEvent::NewProcessGone(1)],
    vec![HandoffAction::HandOver(1), limits_while_handing_over(), limits_while_serving(), all_limits(), HandoffAction::ListenForSuccessor], HandoffStage::Sole)]
#[case::third_process_is_rejected(
    vec![HandoffEvent::HandoffRequested(1), HandoffEvent::HandoffRequested(2), HandoffEvent::NewProcessGone(2), HandoffEvent::NewProcessReady(2)],
    vec![HandoffAction::HandOver(1), limits_while_handing_over(), HandoffAction::RejectBusy(2)], HandoffStage::HandingOver(1))]
fn old_process_events_give_expected_actions(
    #[case] events: Vec<HandoffEvent>,
    #[case] expected: Vec<HandoffAction>,
    #[case] stage: HandoffStage,
) {
    let mut machine = HandoffStateMachine::new(TOTAL, ProcessStart::Sole);
    let actions: Vec<HandoffAction> = events
        .into_iter()
        .flat_map(|event| handle(&mut machine, event))
        .collect();
    assert_eq!((actions, machine.stage()), (expected, stage));
}

/// The new process gets what the old one does not use, and everything once the old one has ended.
#[test]
fn new_process_gets_the_rest_then_everything() {
    let mut machine = HandoffStateMachine::new(TOTAL, ProcessStart::Successor);
    assert_eq!(
        machine.limits(),
        TOTAL.half(),
        "no usage report from the old process yet"
    );
    assert_eq!(
        handle(&mut machine, HandoffEvent::HandoffRequested(7)),
        [HandoffAction::RejectBusy(7)],
        "at most two processes"
    );
    handle(
        &mut machine,
        HandoffEvent::OldProcessReported {
            usage: usage(300),
            phase: OldProcessPhase::Serving,
        },
    );
    assert_eq!(
        machine.limits().descriptors,
        84,
        "the old process uses more than half"
    );
    handle(
        &mut machine,
        HandoffEvent::OldProcessReported {
            usage: usage(50),
            phase: OldProcessPhase::Serving,
        },
    );
    assert_eq!(
        machine.limits().descriptors,
        192,
        "the old process may grow to half"
    );
    handle(
        &mut machine,
        HandoffEvent::OldProcessReported {
            usage: usage(50),
            phase: OldProcessPhase::Draining,
        },
    );
    assert_eq!(machine.limits().descriptors, 334);
    assert_eq!(
        handle(&mut machine, HandoffEvent::OldProcessGone),
        [all_limits()]
    );
    assert_eq!(handle(&mut machine, HandoffEvent::OldProcessGone), []);
    assert_eq!(
        handle(&mut machine, HandoffEvent::HandoffRequested(8))[0],
        HandoffAction::HandOver(8)
    );
}

#[test]
fn changed_usage_or_phase_is_reported_once() {
    let mut machine = HandoffStateMachine::new(TOTAL, ProcessStart::Sole);
    assert_eq!(
        handle(&mut machine, HandoffEvent::UsageSampled(usage(9))),
        []
    );
    handle(&mut machine, HandoffEvent::HandoffRequested(1));
    let report = |n, phase| {
        vec![HandoffAction::ReportUsage {
            peer: 1,
            usage: usage(n),
            phase,
        }]
    };
    assert_eq!(
        handle(&mut machine, HandoffEvent::UsageSampled(usage(9))),
        report(9, OldProcessPhase::Serving)
    );
    assert_eq!(
        handle(&mut machine, HandoffEvent::UsageSampled(usage(9))),
        []
    );
    handle(&mut machine, HandoffEvent::NewProcessReady(1));
    handle(&mut machine, HandoffEvent::ShutdownRequested);
    assert_eq!(
        handle(&mut machine, HandoffEvent::UsageSampled(usage(9))),
        report(9, OldProcessPhase::Draining)
    );
}

#[rstest]
#[case(HandoffMessage::Request("n0".into()))]
#[case(HandoffMessage::State(vec![1, 2, 3]))]
#[case(HandoffMessage::DrainingUsage(usage(3)))]
fn messages_round_trip_and_damaged_bytes_are_rejected(#[case] message: HandoffMessage) {
    let bytes = encode(&message);
    let (header, body) = bytes.split_first_chunk::<HEADER_BYTES>().unwrap();
    assert_eq!(decode_length(*header), Ok(body.len()));
    assert_eq!(decode(body), Ok(message));
    assert!(decode(&body[..body.len() - 1]).is_err() && decode(&[body, &[0]].concat()).is_err());
    assert!(
        decode_length([0, 0, 0, 1, 0, 9]).is_err() && decode_length([255, 0, 0, 0, 0, 1]).is_err()
    );
}

proptest! {
    /// Both processes together stay under the limit of one gateway for any usage of the old process
    /// within its own limit.
    #[test]
    fn two_processes_stay_under_one_limit(total in 64_usize..2_000, used_fraction in 0.0_f64..1.0, is_serving: bool) {
        let total = ProcessLimits { descriptors: total, bytes: total << 18 };
        let fraction = |n: usize| (n as f64 * used_fraction) as usize;
        let old_usage = ProcessLimits { descriptors: fraction(total.descriptors), bytes: fraction(total.bytes) };
        let phase = if is_serving { OldProcessPhase::Serving } else { OldProcessPhase::Draining };
        let new = new_process_limits(total, Some(old_usage), phase);
        let old = if is_serving { old_usage.descriptors.max(old_process_limits(total, OldProcessStep::Superseded(OldProcessPhase::Serving)).descriptors) } else { old_usage.descriptors };
        prop_assert!(old + new.descriptors <= total.descriptors || new.descriptors == MIN_PROCESS_LIMITS.descriptors);
        prop_assert!(old_process_limits(total, OldProcessStep::HandingOver).descriptors + MIN_PROCESS_LIMITS.descriptors <= total.descriptors.max(2 * MIN_PROCESS_LIMITS.descriptors));
        prop_assert!(new.descriptors <= total.descriptors && new.bytes <= total.bytes);
        prop_assert!(new.descriptors >= MIN_PROCESS_LIMITS.descriptors);
    }
}
