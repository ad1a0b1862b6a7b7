//! The one place that decides whether something may be accepted, sent, repeated, closed or probed now.
//!
//! Each question is a pure function of what the asker knows; a "no" says why. [`Decisions`] counts each "no" by its
//! reason. What the decision module should never have asked for is an invariant that was violated: it is not done, it is
//! counted apart, logged as an error with its ids, and panics in debug builds.
//!
//! | question | asked by |
//! | --- | --- |
//! | [`may_accept`] | the reducer, for each request that comes in |
//! | [`may_send`] | the reducer, for each attempt that the decision module asks for |
//! | [`SendPermit::try_acquire`] | whoever carries an attempt, as its first byte is about to leave |
//! | [`may_check_health`] | the reducer, for each probe |
//! | [`may_close`] | the reducer, for each client connection at a planned stop |

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use valehatch_policy::{DedupScope, Idempotency, Time};

/// Where the process stands between its start and its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessStage {
    /// It takes connections and requests.
    #[default]
    Serving,
    /// A planned stop was asked for; it still serves.
    Draining,
    /// Connections are closed as they come to rest.
    Closing,
    /// What is asked now is refused at once.
    Stopping,
}

/// Why something may not be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Denial {
    /// The request has had its final answer, or its client has left.
    RequestOver,
    /// Its answer has begun to reach its client.
    StreamBegan,
    /// An attempt is out.
    AttemptOut,
    /// It has had as many attempts as are allowed.
    AttemptsSpent,
    /// Its time is over.
    DeadlineOver,
    /// It may have run and must not be repeated.
    RepeatForbidden,
    /// It may have run, and the window in which a repeat is dropped is over.
    RepeatWindowOver,
    /// The endpoint drains, is gone or was never listed.
    EndpointNotReady,
    /// Leave to send was taken back: the client has left, or the endpoint drains.
    PermitRevoked,
    /// Leave to send was used before.
    PermitUsed,
    /// A request of this name is open.
    DuplicateName,
    /// As many requests are open as are allowed.
    TooManyOpen,
    /// The process is about to end.
    Stopping,
    /// Requests are open on the connection.
    RequestsOpen,
}

impl Denial {
    /// All of them, in their order.
    pub const ALL: [Self; 14] = [
        Self::RequestOver,
        Self::StreamBegan,
        Self::AttemptOut,
        Self::AttemptsSpent,
        Self::DeadlineOver,
        Self::RepeatForbidden,
        Self::RepeatWindowOver,
        Self::EndpointNotReady,
        Self::PermitRevoked,
        Self::PermitUsed,
        Self::DuplicateName,
        Self::TooManyOpen,
        Self::Stopping,
        Self::RequestsOpen,
    ];

    /// Its name in figures and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RequestOver => "request_over",
            Self::StreamBegan => "stream_began",
            Self::AttemptOut => "attempt_out",
            Self::AttemptsSpent => "attempts_spent",
            Self::DeadlineOver => "deadline_over",
            Self::RepeatForbidden => "repeat_forbidden",
            Self::RepeatWindowOver => "repeat_window_over",
            Self::EndpointNotReady => "endpoint_not_ready",
            Self::PermitRevoked => "permit_revoked",
            Self::PermitUsed => "permit_used",
            Self::DuplicateName => "duplicate_name",
            Self::TooManyOpen => "too_many_open",
            Self::Stopping => "stopping",
            Self::RequestsOpen => "requests_open",
        }
    }

    /// Whether the decision module must never ask for what this forbids: it knows as much as the reducer does.
    #[must_use]
    pub const fn is_violation(self) -> bool {
        matches!(
            self,
            Self::AttemptOut
                | Self::RepeatForbidden
                | Self::RepeatWindowOver
                | Self::EndpointNotReady
        )
    }
}

/// What is known of a request as it comes in.
#[derive(Clone, Copy, Debug)]
pub struct AcceptCheck {
    pub stage: ProcessStage,
    pub name_is_open: bool,
    pub open_requests: usize,
    pub max_open_requests: usize,
}

/// Whether a request that has come in may be accepted.
///
/// # Errors
/// Why not.
pub fn may_accept(asked: &AcceptCheck) -> Result<(), Denial> {
    if asked.name_is_open {
        return Err(Denial::DuplicateName);
    }
    if asked.open_requests >= asked.max_open_requests {
        return Err(Denial::TooManyOpen);
    }
    if asked.stage == ProcessStage::Stopping {
        return Err(Denial::Stopping);
    }
    Ok(())
}

/// What is known of a request and an endpoint as an attempt is asked for.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck {
    pub now: Time,
    /// The attempt is given up then.
    pub deadline: Time,
    pub response_started: bool,
    pub attempts_in_flight: usize,
    pub attempts: u32,
    pub max_attempts: u32,
    pub idempotency: Idempotency,
    /// When the first attempt was sent that may have run.
    pub may_have_run_since: Option<Time>,
    pub endpoint_is_ready: bool,
}

/// Whether an attempt may be sent to an endpoint.
///
/// # Errors
/// Why not.
pub fn may_send(asked: &SendCheck) -> Result<(), Denial> {
    if asked.response_started {
        return Err(Denial::StreamBegan);
    }
    if asked.attempts_in_flight > 0 {
        return Err(Denial::AttemptOut);
    }
    if asked.attempts >= asked.max_attempts {
        return Err(Denial::AttemptsSpent);
    }
    if asked.deadline <= asked.now {
        return Err(Denial::DeadlineOver);
    }
    if !asked.endpoint_is_ready {
        return Err(Denial::EndpointNotReady);
    }
    may_repeat(asked.idempotency, asked.may_have_run_since, asked.now)
}

/// Whether a request that may have run since a time may be sent again.
///
/// # Errors
/// Why not.
pub fn may_repeat(
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
        } => Err(Denial::RepeatForbidden),
        Idempotency::IdempotencyKey { window, .. } if now < since + window => Ok(()),
        Idempotency::IdempotencyKey { .. } => Err(Denial::RepeatWindowOver),
    }
}

/// Whether an endpoint may be probed.
///
/// # Errors
/// Why not.
pub const fn may_check_health(endpoint_is_ready: bool) -> Result<(), Denial> {
    if endpoint_is_ready {
        Ok(())
    } else {
        Err(Denial::EndpointNotReady)
    }
}

/// Whether a client's connection may be closed by this side, which is at a planned stop.
///
/// # Errors
/// Why not.
pub const fn may_close(requests_open: usize) -> Result<(), Denial> {
    if requests_open == 0 {
        Ok(())
    } else {
        Err(Denial::RequestsOpen)
    }
}

const OPEN: u8 = 0;
const USED: u8 = 1;
const REVOKED: u8 = 2;

/// Leave to write an attempt, held by the core and by whoever carries it. One uses it as the first byte is about to leave,
/// the other takes it back when the attempt has lost its reason: its client has left, its endpoint drains. Whoever comes
/// first settles it, so that what was cancelled never begins, and what has begun is never taken for unsent.
#[derive(Clone, Debug)]
pub struct SendPermit {
    state: Arc<AtomicU8>,
    until: Time,
}

impl SendPermit {
    /// Good up to this moment, that included: a dial may come up long after the attempt was decided on.
    #[must_use]
    pub fn new(until: Time) -> Self {
        Self {
            state: Arc::new(AtomicU8::new(OPEN)),
            until,
        }
    }

    /// Uses it: the attempt may be written now, once.
    ///
    /// # Errors
    /// Why it may not.
    pub fn try_acquire(&self, now: Time) -> Result<(), Denial> {
        if now > self.until {
            return Err(Denial::DeadlineOver);
        }
        self.settle(USED).map_err(|was| {
            if was == USED {
                Denial::PermitUsed
            } else {
                Denial::PermitRevoked
            }
        })
    }

    /// Takes it back: true if nothing was written, and nothing will be.
    #[must_use]
    pub fn revoke(&self) -> bool {
        self.settle(REVOKED).is_ok()
    }

    fn settle(&self, state: u8) -> Result<(), u8> {
        self.state
            .compare_exchange(OPEN, state, Ordering::AcqRel, Ordering::Acquire)
            .map(drop)
    }
}

/// How often something was denied and why, how often an invariant was violated, and what was sent again.
#[derive(Debug, Default)]
pub struct Decisions {
    denied: [AtomicU64; Denial::ALL.len()],
    violated: [AtomicU64; Denial::ALL.len()],
    retried: AtomicU64,
    cancelled_unsent: AtomicU64,
}

impl Decisions {
    /// Something was denied.
    pub fn on_denied(&self, why: Denial) {
        self.denied[why as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// An invariant was violated.
    pub fn on_violated(&self, why: Denial) {
        self.violated[why as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// A request was sent again.
    pub fn on_retry(&self) {
        self.retried.fetch_add(1, Ordering::Relaxed);
    }

    /// An attempt was cancelled before anything of it was written.
    pub fn on_cancelled_unsent(&self) {
        self.cancelled_unsent.fetch_add(1, Ordering::Relaxed);
    }

    /// Invariants that were violated, in all.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violated
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }

    /// One a line: `denied.REASON:N|c`, `violated.REASON:N|c`, `retried:N|c`, `cancelled_unsent:N|c`.
    #[must_use]
    pub fn text(&self) -> String {
        let line = |what: &str, count: &AtomicU64| {
            format!(
                "balancer.decisions.{what}:{}|c\n",
                count.load(Ordering::Relaxed)
            )
        };
        let each = |kind: &str, counts: &[AtomicU64]| -> String {
            Denial::ALL
                .iter()
                .zip(counts)
                .map(|(why, count)| line(&format!("{kind}.{}", why.name()), count))
                .collect()
        };
        let (retried, cancelled) = (
            line("retried", &self.retried),
            line("cancelled_unsent", &self.cancelled_unsent),
        );
        [
            each("denied", &self.denied),
            each("violated", &self.violated),
            retried,
            cancelled,
        ]
        .concat()
    }
}
