//! State transitions of a shutdown, and the process stage in each phase.

use rstest::rstest;
use valehatch_core::permission::ProcessStage;
use valehatch_core::shutdown::{
    ShutdownCause::{self, Handoff, Requested, RequestedAndHandoff},
    ShutdownEvent,
    ShutdownPhase::{self, Closing, Draining, Rejecting, RejectingAndClosing},
    ShutdownState,
};

const CAUSES: [ShutdownCause; 3] = [Requested, Handoff, RequestedAndHandoff];
const PHASES: [ShutdownPhase; 4] = [Draining, Closing, Rejecting, RejectingAndClosing];

const fn shutting_down(cause: ShutdownCause, phase: ShutdownPhase) -> ShutdownState {
    ShutdownState::ShuttingDown { cause, phase }
}

#[rstest]
#[case::requested(ShutdownEvent::Requested, shutting_down(Requested, Draining))]
#[case::handoff(ShutdownEvent::HandoffStarted, shutting_down(Handoff, Draining))]
#[case::close_clients(ShutdownEvent::CloseClients, ShutdownState::Serving)]
#[case::reject_requests(ShutdownEvent::RejectRequests, ShutdownState::Serving)]
fn serving_state_starts_to_drain_only_for_a_cause(
    #[case] event: ShutdownEvent,
    #[case] expected: ShutdownState,
) {
    assert_eq!(ShutdownState::default().after(event), expected);
}

#[rstest]
#[case::requested_again(Requested, ShutdownEvent::Requested, Requested)]
#[case::request_after_handoff(Handoff, ShutdownEvent::Requested, RequestedAndHandoff)]
#[case::request_after_both(RequestedAndHandoff, ShutdownEvent::Requested, RequestedAndHandoff)]
#[case::handoff_after_request(Requested, ShutdownEvent::HandoffStarted, RequestedAndHandoff)]
#[case::handoff_again(Handoff, ShutdownEvent::HandoffStarted, Handoff)]
#[case::handoff_after_both(
    RequestedAndHandoff,
    ShutdownEvent::HandoffStarted,
    RequestedAndHandoff
)]
fn further_cause_is_added_and_phase_is_kept(
    #[case] before: ShutdownCause,
    #[case] event: ShutdownEvent,
    #[case] expected: ShutdownCause,
) {
    for phase in PHASES {
        let after = shutting_down(before, phase).after(event);
        assert_eq!(after, shutting_down(expected, phase));
    }
}

#[rstest]
#[case::draining_closes(Draining, ShutdownEvent::CloseClients, Closing)]
#[case::closing_closes(Closing, ShutdownEvent::CloseClients, Closing)]
#[case::rejecting_closes(Rejecting, ShutdownEvent::CloseClients, RejectingAndClosing)]
#[case::rejecting_and_closing_closes(
    RejectingAndClosing,
    ShutdownEvent::CloseClients,
    RejectingAndClosing
)]
#[case::draining_rejects(Draining, ShutdownEvent::RejectRequests, Rejecting)]
#[case::closing_rejects(Closing, ShutdownEvent::RejectRequests, RejectingAndClosing)]
#[case::rejecting_rejects(Rejecting, ShutdownEvent::RejectRequests, Rejecting)]
#[case::rejecting_and_closing_rejects(
    RejectingAndClosing,
    ShutdownEvent::RejectRequests,
    RejectingAndClosing
)]
fn step_advances_phase_and_keeps_cause(
    #[case] before: ShutdownPhase,
    #[case] event: ShutdownEvent,
    #[case] expected: ShutdownPhase,
) {
    for cause in CAUSES {
        let after = shutting_down(cause, before).after(event);
        assert_eq!(after, shutting_down(cause, expected));
    }
}

#[rstest]
#[case::draining(Draining, ProcessStage::Draining)]
#[case::closing(Closing, ProcessStage::Closing)]
#[case::rejecting(Rejecting, ProcessStage::Stopping)]
#[case::rejecting_and_closing(RejectingAndClosing, ProcessStage::Stopping)]
fn phase_determines_process_stage(#[case] phase: ShutdownPhase, #[case] expected: ProcessStage) {
    for cause in CAUSES {
        assert_eq!(shutting_down(cause, phase).process_stage(), expected);
    }
    assert_eq!(
        ShutdownState::Serving.process_stage(),
        ProcessStage::Serving
    );
}

#[test]
fn state_reports_its_cause_and_phase() {
    for cause in CAUSES {
        for phase in PHASES {
            let state = shutting_down(cause, phase);
            assert_eq!(state.is_requested(), cause != Handoff);
            assert_eq!(state.is_handoff(), cause != Requested);
            assert_eq!(
                state.is_closing(),
                [Closing, RejectingAndClosing].contains(&phase)
            );
            assert_eq!(
                state.is_rejecting(),
                [Rejecting, RejectingAndClosing].contains(&phase)
            );
        }
    }
    let serving = ShutdownState::Serving;
    assert!(!serving.is_requested() && !serving.is_handoff());
    assert!(!serving.is_closing() && !serving.is_rejecting());
}
