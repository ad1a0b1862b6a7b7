//! Invariant checker over the events that stubs and clients observed, by the clock of the test
//! harness. Each invariant states a rule of the gateway's protocol or service terms.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

/// Repeatability of a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated at will.
    Safe,
    /// May be repeated within this time of the first attempt.
    Keyed(Duration),
    /// Must not be repeated once it may have run.
    Unsafe,
}

/// A rule that the gateways must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// A request got no final answer in time.
    Unanswered,
    /// A request got two final answers.
    AnsweredTwice,
    /// A request was answered with the value of another request.
    WrongValue,
    /// An attempt began while an earlier one of the same request was open.
    SecondCopy,
    /// A request was repeated although its class forbids it.
    Repeated,
    /// An attempt began after its client had disconnected.
    BeganForNobody,
    /// The deadline sent to an endpoint was later than the client's.
    DeadlineTooLong,
    /// An attempt was sent to a draining endpoint.
    SentToDraining,
    /// An endpoint in slow start received more than its budget.
    SlowStartOverload,
    /// A read was sent to data older than its class allows.
    StaleRead,
    /// A process exited by itself, or logged a panic or a violated internal invariant.
    Crash,
    /// A process was not ready or had not exited in time.
    NotInTime,
    /// A process exceeded its limit on memory or descriptors.
    OverLimit,
}

/// A violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub invariant: Invariant,
    /// Milliseconds since the start of the run.
    pub at_ms: u64,
    /// Description with the request, gateway and endpoint concerned.
    pub what: String,
}

/// Time after a client's disconnect within which an attempt may still begin: 0.1 s and the slack of
/// sockets.
const DISCONNECT_SLACK: Duration = Duration::from_millis(150);
/// Slack on the deadline sent to an endpoint.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Grace period of a drain (500 ms) with its slack (50 ms), and the longest injected delay between
/// clock read and write.
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 50 + 150);
/// Slack on the age of data: 50 ms, and the same injected delay.
const AGE_SLACK: Duration = Duration::from_millis(200);
/// Time after its deadline at which an answer is late; includes delays of the harness itself.
const ANSWER_SLACK: Duration = Duration::from_millis(600);

#[derive(Debug)]
struct Request {
    effect: Effect,
    sent: Duration,
    deadline: Duration,
    left: Option<Duration>,
    answered: bool,
    /// Connection of the open attempt.
    out: Option<u64>,
    /// Start of the first attempt that may have run, and of the newest one.
    first_attempt: Option<Duration>,
    newest_attempt: Duration,
}

/// Parameters of the slow-start budget.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Capacity of a warm endpoint, in requests of mean work per second.
    pub capacity: f64,
    /// Share of the capacity available right after a start.
    pub slow_start_initial_capacity: f64,
    /// Time from a start until full capacity.
    pub cold: Duration,
    /// Multiple of the capacity within the window above which the endpoint counts as overloaded.
    pub multiple: f64,
    pub window: Duration,
}

impl SlowStart {
    /// Largest load within the window that an endpoint started `age` ago may receive, in requests
    /// of mean work.
    #[must_use]
    pub fn bound(&self, age: Duration) -> f64 {
        let grown = (age.as_secs_f64() / self.cold.as_secs_f64()).min(1.0);
        let part =
            self.slow_start_initial_capacity + (1.0 - self.slow_start_initial_capacity) * grown;
        let n = self.multiple * part * self.capacity * self.window.as_secs_f64();
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }
}

/// An attempt as the stub endpoint observed it.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    pub id: &'a str,
    pub endpoint: usize,
    pub gateway: usize,
    pub connection: u64,
    /// Remaining time in milliseconds that the gateway sent to the endpoint.
    pub remaining_ms: u64,
    /// Work relative to the mean request.
    pub work: f64,
    /// Age of the endpoint's data, and the age that the class allows; `None` if the class accepts
    /// any age.
    pub age: Option<(Duration, Duration)>,
    /// Whether the gateway has closed the connection of the earlier attempt.
    pub earlier_ended: bool,
}

/// Keeps the history of requests and attempts, and finds violations.
#[derive(Debug)]
pub struct Oracle {
    slow_start: SlowStart,
    requests: BTreeMap<String, Request>,
    /// Time from which each gateway (first) must know that an endpoint (second) drains.
    draining: BTreeMap<(usize, usize), Duration>,
    /// Start of each restarted endpoint, and the work sent to it since.
    started: BTreeMap<usize, (Duration, Vec<(Duration, f64)>)>,
    overloaded: BTreeSet<usize>,
    pub violations: Vec<Violation>,
    pub attempts: u64,
    pub answers: u64,
}

impl Oracle {
    /// A checker with an empty history.
    #[must_use]
    pub fn new(slow_start: SlowStart) -> Self {
        Self {
            slow_start,
            requests: BTreeMap::new(),
            draining: BTreeMap::new(),
            started: BTreeMap::new(),
            overloaded: BTreeSet::new(),
            violations: vec![],
            attempts: 0,
            answers: 0,
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, invariant: Invariant, at: Duration, what: String) {
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        self.violations.push(Violation {
            invariant,
            at_ms,
            what,
        });
    }

    /// Records a request that a client is about to send.
    pub fn on_request(&mut self, id: &str, effect: Effect, deadline: Duration, at: Duration) {
        let request = Request {
            effect,
            sent: at,
            deadline,
            left: None,
            answered: false,
            out: None,
            first_attempt: None,
            newest_attempt: at,
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// Records that the client of a request has disconnected.
    pub fn on_client_left(&mut self, id: &str, at: Duration) {
        self.requests
            .get_mut(id)
            .into_iter()
            .for_each(|request| request.left = Some(at));
    }

    /// Records the final answer of a request; `value` is `None` if it failed. `waited_ahead` is the
    /// time that the answer waited for those of earlier requests on the same connection.
    pub fn on_answer(
        &mut self,
        id: &str,
        value: Option<&str>,
        waited_ahead: Duration,
        at: Duration,
    ) {
        self.answers += 1;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let twice = std::mem::replace(&mut request.answered, true);
        let late = at > request.sent + request.deadline + waited_ahead + ANSWER_SLACK;
        let took = at - request.sent;
        if twice {
            self.record_violation(
                Invariant::AnsweredTwice,
                at,
                format!("{id} got two answers"),
            );
        }
        if value.is_some_and(|value| value != id) {
            self.record_violation(
                Invariant::WrongValue,
                at,
                format!("{id} was answered by {value:?}"),
            );
        }
        if late {
            self.record_violation(
                Invariant::Unanswered,
                at,
                format!("{id} was answered after {took:?}"),
            );
        }
    }

    /// Records that a request can get no answer any more, through no fault of its client.
    pub fn on_lost(&mut self, id: &str, why: &str, at: Duration) {
        self.record_violation(Invariant::Unanswered, at, format!("{id}: {why}"));
    }

    /// Sets the time from which a gateway must know that an endpoint drains; `None`: the endpoint
    /// is active again.
    pub fn on_drain_announced(&mut self, gateway: usize, endpoint: usize, at: Option<Duration>) {
        match at {
            Some(at) => drop(self.draining.insert((gateway, endpoint), at)),
            None => drop(self.draining.remove(&(gateway, endpoint))),
        }
    }

    /// Records a restart of an endpoint.
    pub fn on_endpoint_started(&mut self, endpoint: usize, at: Duration) {
        self.started.insert(endpoint, (at, vec![]));
        self.overloaded.remove(&endpoint);
    }

    /// Records an attempt whose last byte has reached its endpoint, and checks the rules on
    /// attempts.
    pub fn on_attempt(&mut self, attempt: &Attempt, at: Duration) {
        self.attempts += 1;
        let Attempt {
            id,
            endpoint,
            gateway,
            connection,
            ..
        } = *attempt;
        if let Some(request) = self.requests.get_mut(id) {
            let out = request
                .out
                .replace(connection)
                .filter(|out| *out != connection && !attempt.earlier_ended);
            let first = *request.first_attempt.get_or_insert(at);
            request.newest_attempt = at;
            let repeats = first != at;
            let window_over = match request.effect {
                Effect::Safe => false,
                Effect::Keyed(window) => at > first + window,
                Effect::Unsafe => repeats,
            };
            let left = request.left.filter(|left| at > *left + DISCONNECT_SLACK);
            let deadline_at = request.sent + request.deadline + DEADLINE_SLACK;
            let told = at + Duration::from_millis(attempt.remaining_ms);
            let sent = request.sent;
            if out.is_some() {
                self.record_violation(
                    Invariant::SecondCopy,
                    at,
                    format!("{id} has two attempts out, at {endpoint}"),
                );
            }
            if window_over && repeats {
                self.record_violation(
                    Invariant::Repeated,
                    at,
                    format!("{id} was repeated {:?} after its first", at - first),
                );
            }
            if let Some(left) = left {
                self.record_violation(
                    Invariant::BeganForNobody,
                    at,
                    format!("{id} began {:?} after its client left", at - left),
                );
            }
            if told > deadline_at {
                let more = told - deadline_at;
                self.record_violation(
                    Invariant::DeadlineTooLong,
                    at,
                    format!("{id}, sent at {sent:?}, told {endpoint} {more:?} more than its client has left"),
                );
            }
        }
        if self
            .draining
            .get(&(gateway, endpoint))
            .is_some_and(|told| at > *told + DRAIN_GRACE)
        {
            let what = format!("gateway {gateway} sent {id} to {endpoint}, which drains");
            self.record_violation(Invariant::SentToDraining, at, what);
        }
        if let Some((age, bound)) = attempt.age.filter(|(age, bound)| *age > *bound + AGE_SLACK) {
            let what = format!(
                "gateway {gateway} sent {id} to {endpoint}, whose data is {age:?} old ({bound:?})"
            );
            self.record_violation(Invariant::StaleRead, at, what);
        }
        self.count_slow_start(endpoint, attempt.work, at);
    }

    fn count_slow_start(&mut self, endpoint: usize, work: f64, at: Duration) {
        let slow_start = self.slow_start;
        let Some((started, sent)) = self.started.get_mut(&endpoint) else {
            return;
        };
        let age = at.saturating_sub(*started);
        if age > slow_start.cold {
            return;
        }
        sent.push((at, work));
        let from = at.saturating_sub(slow_start.window);
        let units: f64 = sent
            .iter()
            .filter(|(when, _)| *when > from)
            .map(|(_, work)| work)
            .sum();
        let bound = slow_start.bound(age);
        if units > bound && self.overloaded.insert(endpoint) {
            let what = format!(
                "{endpoint}, {age:?} after its start, was sent {units:.1} of {bound:.1} within its window"
            );
            self.record_violation(Invariant::SlowStartOverload, at, what);
        }
    }

    /// Records the end of an attempt: its endpoint has answered it or closed the connection.
    pub fn on_attempt_over(&mut self, id: &str, connection: u64, never_ran: bool) {
        if let Some(request) = self.requests.get_mut(id) {
            request.out.take_if(|out| *out == connection);
            let only = request.first_attempt == Some(request.newest_attempt);
            if never_ran && only {
                request.first_attempt = None;
            }
        }
    }

    /// Reports the requests without an answer whose deadline has passed.
    pub fn finish(&mut self, at: Duration) {
        let open = |r: &Request| {
            !r.answered && r.left.is_none() && at > r.sent + r.deadline + ANSWER_SLACK
        };
        let lost: Vec<String> = self
            .requests
            .iter()
            .filter(|(_, r)| open(r))
            .map(|(id, _)| id.clone())
            .collect();
        lost.iter()
            .for_each(|id| self.on_lost(id, "no answer at all", at));
    }

    /// Excuses a request from needing an answer, for instance because its gateway was killed.
    pub fn on_excused(&mut self, id: &str) {
        self.requests
            .get_mut(id)
            .into_iter()
            .for_each(|request| request.answered = true);
    }
}
