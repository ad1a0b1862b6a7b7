//! The last check before something is accepted, sent, retried or closed.
//!
//! The policy decides first (`give_up_reason` in its `scheduling` module); what it should not have
//! ordered is stopped here. Each question is a pure function of what the caller knows; a denial
//! says why. [`Decisions`] counts the reducer's denials by reason; those of a [`SendPermit`] are
//! not counted, but attempts that were cancelled before they were written are. Some denials show a
//! defect of the policy, which knows as much as the reducer does: then nothing is sent, the
//! violation is counted apart and logged as an error, and debug builds panic. Times are whole
//! microseconds of the process's monotonic clock.
//!
//! | question | asked by |
//! | --- | --- |
//! | [`may_accept`] | the reducer, for each request that comes in |
//! | [`may_send`] | the reducer, for each attempt that the policy orders |
//! | [`may_retry`] | [`may_send`], for a request that may have run |
//! | [`SendPermit::try_acquire`] | the connection, just before the first byte of an attempt |
//! | [`may_check_health`] | the reducer, for each health check |
//! | [`may_close`] | the reducer, for each client connection during shutdown |

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use valehatch_policy::{DedupScope, Idempotency, Time};

/// How far the process has come between its start and its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessStage {
    /// It accepts connections and requests.
    #[default]
    Serving,
    /// It shuts down, and still serves.
    Draining,
    /// It still serves; connections are closed as they become idle.
    Closing,
    /// New requests are rejected at once.
    Stopping,
}

/// Why something may not be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Denial {
    /// The request has had its final answer, or its client has left.
    RequestEnded,
    /// Its response is being streamed to its client.
    ResponseStarted,
    /// An attempt is in flight.
    AttemptInFlight,
    /// It has had as many attempts as the settings allow.
    AttemptsExhausted,
    /// Its deadline has passed.
    DeadlineExceeded,
    /// It may have run, and is not idempotent.
    RetryForbidden,
    /// It may have run, and the time in which its idempotency key is remembered is over.
    RetryWindowClosed,
    /// The endpoint is draining, was removed or was never listed.
    EndpointNotReady,
    /// The permit was revoked: the client has left, or the endpoint is draining.
    PermitRevoked,
    /// The permit was used before.
    PermitUsed,
    /// A request of the same name is open.
    DuplicateRequestId,
    /// As many requests are open as the settings allow.
    TooManyOpen,
    /// The process is about to end and rejects new requests.
    Stopping,
    /// The connection has open requests.
    RequestsOpen,
}

impl Denial {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; 14] = [
        Self::RequestEnded,
        Self::ResponseStarted,
        Self::AttemptInFlight,
        Self::AttemptsExhausted,
        Self::DeadlineExceeded,
        Self::RetryForbidden,
        Self::RetryWindowClosed,
        Self::EndpointNotReady,
        Self::PermitRevoked,
        Self::PermitUsed,
        Self::DuplicateRequestId,
        Self::TooManyOpen,
        Self::Stopping,
        Self::RequestsOpen,
    ];

    /// Its name in metrics and logs, which must not change.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RequestEnded => "request_over",
            Self::ResponseStarted => "stream_began",
            Self::AttemptInFlight => "attempt_out",
            Self::AttemptsExhausted => "attempts_spent",
            Self::DeadlineExceeded => "deadline_over",
            Self::RetryForbidden => "repeat_forbidden",
            Self::RetryWindowClosed => "repeat_window_over",
            Self::EndpointNotReady => "endpoint_not_ready",
            Self::PermitRevoked => "permit_revoked",
            Self::PermitUsed => "permit_used",
            Self::DuplicateRequestId => "duplicate_name",
            Self::TooManyOpen => "too_many_open",
            Self::Stopping => "stopping",
            Self::RequestsOpen => "requests_open",
        }
    }

    /// Whether an order that this denies shows a defect of the policy.
    #[must_use]
    pub const fn is_violation(self) -> bool {
        matches!(
            self,
            Self::AttemptInFlight
                | Self::RetryForbidden
                | Self::RetryWindowClosed
                | Self::EndpointNotReady
        )
    }
}

/// What decides whether a request is accepted.
#[derive(Clone, Copy, Debug)]
pub struct AcceptCheck {
    /// How far the process has come.
    pub stage: ProcessStage,
    /// Whether an open request has the same name.
    pub name_is_open: bool,
    /// Open requests, without this one.
    pub open_requests: usize,
    /// Open requests at most.
    pub max_open_requests: usize,
}

/// Whether a request that has come in may be accepted.
///
/// # Errors
/// The reason for the denial.
pub fn may_accept(check: &AcceptCheck) -> Result<(), Denial> {
    if check.name_is_open {
        return Err(Denial::DuplicateRequestId);
    }
    if check.open_requests >= check.max_open_requests {
        return Err(Denial::TooManyOpen);
    }
    if check.stage == ProcessStage::Stopping {
        return Err(Denial::Stopping);
    }
    Ok(())
}

/// What decides whether an attempt is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck {
    /// The present time.
    pub now: Time,
    /// When the attempt is given up.
    pub deadline: Time,
    /// Whether a response is being streamed to the client.
    pub response_started: bool,
    /// Attempts of the request that are in flight.
    pub attempts_in_flight: usize,
    /// Attempts that the request has had.
    pub attempts: u32,
    /// Attempts at most.
    pub max_attempts: u32,
    /// Whether the request may run twice.
    pub idempotency: Idempotency,
    /// When the first attempt was sent that may have run.
    pub may_have_run_since: Option<Time>,
    /// Whether the endpoint takes new requests.
    pub endpoint_is_ready: bool,
}

/// Whether an attempt may be sent to an endpoint.
///
/// # Errors
/// The reason for the denial.
pub fn may_send(check: &SendCheck) -> Result<(), Denial> {
    if check.response_started {
        return Err(Denial::ResponseStarted);
    }
    if check.attempts_in_flight > 0 {
        return Err(Denial::AttemptInFlight);
    }
    if check.attempts >= check.max_attempts {
        return Err(Denial::AttemptsExhausted);
    }
    if check.deadline <= check.now {
        return Err(Denial::DeadlineExceeded);
    }
    if !check.endpoint_is_ready {
        return Err(Denial::EndpointNotReady);
    }
    may_retry(check.idempotency, check.may_have_run_since, check.now)
}

/// Whether a request may be sent again, given since when it may have run.
///
/// # Errors
/// The reason for the denial.
pub fn may_retry(
    idempotency: Idempotency,
    may_have_run_since: Option<Time>,
    now: Time,
) -> Result<(), Denial> {
    let Some(since) = may_have_run_since else {
        return Ok(());
    };
    match idempotency {
        Idempotency::Idempotent => Ok(()),
        Idempotency::NonIdempotent
        | Idempotency::IdempotencyKey {
            scope: DedupScope::Zone,
            ..
        } => Err(Denial::RetryForbidden),
        Idempotency::IdempotencyKey { window, .. } if now < since + window => Ok(()),
        Idempotency::IdempotencyKey { .. } => Err(Denial::RetryWindowClosed),
    }
}

/// Whether an endpoint may get a health check.
///
/// # Errors
/// The reason for the denial.
pub const fn may_check_health(endpoint_is_ready: bool) -> Result<(), Denial> {
    if endpoint_is_ready {
        Ok(())
    } else {
        Err(Denial::EndpointNotReady)
    }
}

/// Whether this side may close a client's connection during shutdown.
///
/// # Errors
/// The reason for the denial.
pub const fn may_close(requests_open: usize) -> Result<(), Denial> {
    if requests_open == 0 {
        Ok(())
    } else {
        Err(Denial::RequestsOpen)
    }
}

/// States of a permit.
const AVAILABLE: u8 = 0;
const USED: u8 = 1;
const REVOKED: u8 = 2;

/// The permit to write an attempt, shared by the core and the connection that carries it.
///
/// A client may leave, or an endpoint begin to drain, while another thread is about to write the
/// attempt. Without the permit the attempt would begin after it was cancelled, or count as unsent
/// although it runs. One atomic exchange decides: the connection acquires the permit just before
/// the first byte, the core revokes it, and the first of the two wins.
#[derive(Clone, Debug)]
pub struct SendPermit {
    state: Arc<AtomicU8>,
    /// The last moment at which the first byte may be written.
    send_before: Time,
}

impl SendPermit {
    /// A permit that is valid up to and including this time: a dial may succeed long after the
    /// attempt was ordered.
    #[must_use]
    pub fn new(send_before: Time) -> Self {
        Self {
            state: Arc::new(AtomicU8::new(AVAILABLE)),
            send_before,
        }
    }

    /// Uses the permit: the attempt may be written now, once.
    ///
    /// # Errors
    /// Why the attempt may not be written. `DeadlineExceeded` also stands for a retry window that
    /// has closed and for a replica whose data may be too old by now.
    pub fn try_acquire(&self, now: Time) -> Result<(), Denial> {
        if now > self.send_before {
            return Err(Denial::DeadlineExceeded);
        }
        self.settle(USED).map_err(|was| {
            if was == USED {
                Denial::PermitUsed
            } else {
                Denial::PermitRevoked
            }
        })
    }

    /// Revokes the permit. Returns true if nothing was written and nothing will be.
    #[must_use]
    pub fn revoke(&self) -> bool {
        self.settle(REVOKED).is_ok()
    }

    fn settle(&self, state: u8) -> Result<(), u8> {
        self.state
            .compare_exchange(AVAILABLE, state, Ordering::AcqRel, Ordering::Acquire)
            .map(drop)
    }
}

/// Counters of denials and violations by reason, of retries, and of attempts that were cancelled
/// before they were sent.
#[derive(Debug, Default)]
pub struct Decisions {
    denied: [AtomicU64; Denial::ALL.len()],
    violated: [AtomicU64; Denial::ALL.len()],
    retried: AtomicU64,
    cancelled_unsent: AtomicU64,
}

impl Decisions {
    /// Counts a denial.
    pub fn on_denied(&self, denial: Denial) {
        self.denied[denial as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a violation.
    pub fn on_violated(&self, denial: Denial) {
        self.violated[denial as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a retry.
    pub fn on_retry(&self) {
        self.retried.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt that was cancelled before anything of it was written.
    pub fn on_cancelled_unsent(&self) {
        self.cancelled_unsent.fetch_add(1, Ordering::Relaxed);
    }

    /// Violations for all reasons together.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violated
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }

    /// All counters as statsd lines: `denied.REASON:N|c`, `violated.REASON:N|c`, `retried:N|c`,
    /// `cancelled_unsent:N|c`, each prefixed with `balancer.decisions.`. The lines are scraped and
    /// must not change.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (denial, count) in Denial::ALL.iter().zip(&self.denied) {
            text.push_str(&counter_line(&format!("denied.{}", denial.name()), count));
        }
        for (denial, count) in Denial::ALL.iter().zip(&self.violated) {
            text.push_str(&counter_line(&format!("violated.{}", denial.name()), count));
        }
        text.push_str(&counter_line("retried", &self.retried));
        text.push_str(&counter_line("cancelled_unsent", &self.cancelled_unsent));
        text
    }
}

fn counter_line(name: &str, counter: &AtomicU64) -> String {
    let count = counter.load(Ordering::Relaxed);
    format!("balancer.decisions.{name}:{count}|c\n")
}
