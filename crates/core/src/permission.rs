//! Final checks before a request is accepted, an attempt or health check is sent, or a connection
//! is closed.
//!
//! The policy decides first (`give_up_reason` in its `scheduling` module); the checks here stop
//! orders that the policy should not have given. Each check is a pure function of its arguments and
//! returns the reason for a denial. [`Decisions`] counts the reducer's denials by reason. Denials
//! by a [`SendPermit`] are not counted, but attempts that were cancelled before they were written
//! are. Some denials show a defect of the policy, because the policy has the same information as
//! the reducer: nothing is sent, the violation is counted separately and logged as an error, and
//! debug builds panic. Times are whole microseconds of the process's monotonic clock.
//!
//! | check | called by |
//! | --- | --- |
//! | [`may_accept`] | the reducer, for each request that arrives |
//! | [`may_send`] | the reducer, for each attempt that the policy orders |
//! | [`may_retry`] | [`may_send`], for a request that may have run |
//! | [`SendPermit::try_acquire`] | the connection, just before the first byte of an attempt |
//! | [`may_check_health`] | the reducer, for each health check |
//! | [`may_close`] | the reducer, for each client connection during shutdown |

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use valehatch_policy::{DedupScope, Idempotency, Time};

/// Stage of the process between start and exit, which decides whether requests are accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessStage {
    /// Connections and requests are accepted.
    #[default]
    Serving,
    /// A shutdown has begun; requests are still served.
    Draining,
    /// Requests are still served; client connections are closed when they become idle.
    Closing,
    /// New requests are rejected immediately.
    Stopping,
}

/// Reason why an action is not permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Denial {
    /// The request has received its final answer, or its client has disconnected.
    RequestEnded,
    /// The response to the request is being streamed to its client.
    ResponseStarted,
    /// Another attempt of the request is in flight.
    AttemptInFlight,
    /// The request has had as many attempts as the settings allow.
    AttemptsExhausted,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The request may have run and is not idempotent.
    RetryForbidden,
    /// The request may have run, and the time for which its idempotency key is remembered has
    /// passed.
    RetryWindowClosed,
    /// The endpoint is draining, was removed or was never listed.
    EndpointNotReady,
    /// The permit was revoked because the client disconnected or the endpoint is draining.
    PermitRevoked,
    /// The permit has already been used.
    PermitUsed,
    /// Another request with the same name is open.
    DuplicateRequestId,
    /// As many requests are open as the settings allow.
    TooManyOpen,
    /// The process is about to end and rejects new requests.
    Stopping,
    /// The client connection has open requests.
    RequestsOpen,
}

impl Denial {
    /// All reasons, in the order of their discriminants.
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

    /// Name of the reason in metrics and logs, which must not change.
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

    /// Whether an order that is denied for this reason shows a defect of the policy.
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

/// Input of [`may_accept`].
#[derive(Clone, Copy, Debug)]
pub struct AcceptCheck {
    /// Current stage of the process.
    pub stage: ProcessStage,
    /// Whether an open request has the same name.
    pub name_is_open: bool,
    /// Number of open requests, not counting this one.
    pub open_requests: usize,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
}

/// Checks whether a request that has arrived may be accepted.
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

/// Input of [`may_send`].
#[derive(Clone, Copy, Debug)]
pub struct SendCheck {
    /// Current time.
    pub now: Time,
    /// When the attempt would time out.
    pub deadline: Time,
    /// Whether a response is being streamed to the client.
    pub response_started: bool,
    /// Number of attempts of the request that are in flight.
    pub attempts_in_flight: usize,
    /// Number of attempts that the policy has ordered for the request before this one.
    pub attempts: u32,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether the request may run twice.
    pub idempotency: Idempotency,
    /// When the first attempt that may have run was sent; `None` if no attempt can have run.
    pub may_have_run_since: Option<Time>,
    /// Whether the endpoint accepts new requests.
    pub endpoint_is_ready: bool,
}

/// Checks whether an attempt may be sent to an endpoint.
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

/// Checks whether a request may be retried. `may_have_run_since` is the time at which the first
/// attempt that may have run was sent, if there was one.
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

/// Checks whether a health check may be sent to an endpoint.
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

/// Checks whether the gateway may close a client's connection during a shutdown.
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

// States of a `SendPermit`.
const AVAILABLE: u8 = 0;
const USED: u8 = 1;
const REVOKED: u8 = 2;

/// A permit to write an attempt, shared by the core and the connection that carries the attempt.
///
/// A client may disconnect, or an endpoint may begin to drain, while another thread is about to
/// write the attempt. Without the permit, the attempt could begin after it was cancelled, or count
/// as unsent although it runs. The connection acquires the permit just before it writes the first
/// byte, the core revokes the permit to cancel the attempt, and an atomic compare-and-exchange lets
/// only the first of the two succeed.
#[derive(Clone, Debug)]
pub struct SendPermit {
    state: Arc<AtomicU8>,
    /// Latest time at which the first byte may be written.
    send_before: Time,
}

impl SendPermit {
    /// Creates a permit that is valid up to and including `send_before`. The limit is needed
    /// because a connection may be established long after the attempt was ordered.
    #[must_use]
    pub fn new(send_before: Time) -> Self {
        Self {
            state: Arc::new(AtomicU8::new(AVAILABLE)),
            send_before,
        }
    }

    /// Uses the permit, which allows the caller to write the attempt once.
    ///
    /// # Errors
    /// The reason why the attempt may not be written. `DeadlineExceeded` also covers a retry window
    /// that has closed and a replica whose data may have become too old.
    pub fn try_acquire(&self, now: Time) -> Result<(), Denial> {
        if now > self.send_before {
            return Err(Denial::DeadlineExceeded);
        }
        self.transition_to(USED).map_err(|state| {
            if state == USED {
                Denial::PermitUsed
            } else {
                Denial::PermitRevoked
            }
        })
    }

    /// Revokes the permit. Returns `true` if nothing has been written and nothing will be.
    #[must_use]
    pub fn revoke(&self) -> bool {
        self.transition_to(REVOKED).is_ok()
    }

    /// Changes the state of an available permit. Returns the current state if the permit was
    /// already used or revoked.
    fn transition_to(&self, state: u8) -> Result<(), u8> {
        self.state
            .compare_exchange(AVAILABLE, state, Ordering::AcqRel, Ordering::Acquire)
            .map(drop)
    }
}

/// Counters of denials and violations by reason, of retries, and of attempts that were cancelled
/// before any byte was written.
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

    /// Counts an invariant violation; see [`Denial::is_violation`].
    pub fn on_violated(&self, denial: Denial) {
        self.violated[denial as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a retry that was permitted.
    pub fn on_retry(&self) {
        self.retried.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt that was cancelled before any byte was written.
    pub fn on_cancelled_unsent(&self) {
        self.cancelled_unsent.fetch_add(1, Ordering::Relaxed);
    }

    /// Total number of violations.
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
