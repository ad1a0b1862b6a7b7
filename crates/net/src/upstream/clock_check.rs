//! Checks the times that endpoints report: corrects the cluster's clock by them, and discards
//! implausible ones.
//!
//! Runs on the attempt's thread, with the lock of the cluster's clock held. Keeps no state.

use crossbeam_channel::Sender;
use valehatch_core::cluster_clock::{ClockSample, ClusterClock};
use valehatch_core::{Event, UpstreamReply};
use valehatch_policy::{Role, Span, Time};

use crate::Clock;

/// How far in the future a reported time may be: times are rounded, and clocks drift.
const ROUNDING_TOLERANCE: Span = Span::from_millis(5);
/// Maximum age of a reported position.
const MAX_POSITION_AGE: Span = Span::from_millis(86_400_000);

/// When an attempt was sent and its reply received.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyWindow {
    pub sent_at: Time,
    pub received_at: Time,
}

impl ReplyWindow {
    fn correct_clock(
        self,
        cluster: &mut ClusterClock,
        unix_micros: i64,
        sample: ClockSample,
        events: &Sender<Event>,
    ) {
        let Some(offset_change) =
            cluster.observe(unix_micros, self.sent_at, self.received_at, sample)
        else {
            return;
        };
        let correction = Span(-offset_change);
        let error_ms = correction.0 / 1_000;
        tracing::warn!(
            error_ms,
            "the wall clock is off, corrected by the endpoints' times"
        );
        let _ = events.send(Event::ClockCorrected(correction));
    }

    /// The time of a reported position, or `None` if it is implausible.
    fn plausible_position(self, cluster: &ClusterClock, unix_micros: i64) -> Option<Time> {
        let position = time_of(cluster, unix_micros);
        let plausible = position <= self.received_at + ROUNDING_TOLERANCE
            && position >= self.received_at - MAX_POSITION_AGE;
        plausible.then_some(position.min(self.received_at))
    }
}

/// Converts a Unix time to this machine's clock by the current offset of the cluster's clock.
fn time_of(cluster: &ClusterClock, unix_micros: i64) -> Time {
    Time(unix_micros.saturating_sub(cluster.offset()))
}

/// Corrects the cluster's clock by the times in a reply, and replaces them with times on this
/// machine's clock. Implausible positions are discarded; while the clock must be verified and is
/// not, all positions of replicas are discarded, since data could otherwise be taken for newer than
/// it is.
pub(super) fn check_times(
    cluster: &mut ClusterClock,
    reply: &mut UpstreamReply,
    window: ReplyWindow,
    clock: Clock,
    events: &Sender<Event>,
    requires_verified_clock: bool,
) {
    let from_primary = reply.role == Some(Role::Primary);
    let position = reply.position.map(|at| clock.uncorrected_unix_micros(at));
    let reported_by_primary = reply
        .report
        .is_some_and(|report| report.primary == Some(true));
    let reported = reply
        .report
        .and_then(|report| report.position)
        .map(|at| clock.uncorrected_unix_micros(at));
    if let Some(unix_micros) = position {
        let sample = if from_primary {
            ClockSample::PrimaryAnswer
        } else {
            ClockSample::Replica
        };
        window.correct_clock(cluster, unix_micros, sample, events);
    }
    if let Some(unix_micros) = reported {
        let sample = if reported_by_primary {
            ClockSample::PrimaryReport
        } else {
            ClockSample::Replica
        };
        window.correct_clock(cluster, unix_micros, sample, events);
    }
    let trusts_clock = !requires_verified_clock || cluster.is_verified();
    let plausible = |unix_micros: i64| {
        let position = window.plausible_position(cluster, unix_micros);
        position.filter(|_| trusts_clock)
    };
    reply.position = if from_primary {
        // Regardless of the clock, a primary was at its position between sending and receiving.
        position.map(|unix_micros| {
            time_of(cluster, unix_micros).clamp(window.sent_at, window.received_at)
        })
    } else {
        position.and_then(plausible)
    };
    if let Some(report) = &mut reply.report {
        report.position = reported.and_then(plausible);
    }
}
