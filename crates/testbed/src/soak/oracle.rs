//! Judges what the stand-ins saw, by the rig's own clock: each invariant names a rule of the protocol page or the terms.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated at will.
    Safe,
    /// May be repeated within this time of the first attempt.
    Keyed(Duration),
    /// Must not be repeated once it may have run.
    Unsafe,
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// A request got no final answer in time.
    Unanswered,
    /// A request got two final answers.
    AnsweredTwice,
    /// A value was not made for the request that it answers.
    WrongValue,
    /// An attempt began while an earlier one was out.
    SecondCopy,
    /// An attempt was repeated against its class.
    Repeated,
    /// An attempt began after its client had left.
    BeganForNobody,
    /// An endpoint was told that its client waits longer than it does.
    DeadlineTooLong,
    /// An attempt began at an endpoint that drains.
    SentToDraining,
    /// An endpoint in slow start was sent more than its budget.
    SlowStartOverload,
    /// A read was sent to data older than its class allows.
    StaleRead,
    /// A process ended by itself, or said that one of its own invariants was broken.
    Crash,
    /// A process was not ready, or had not ended, in time.
    NotInTime,
    /// A process went over its memory or descriptors.
    OverLimit,
}

/// One break of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub invariant: Invariant,
    /// From the beginning of the run, in milliseconds.
    pub at_ms: u64,
    pub what: String,
}

/// After a client has left no attempt may begin later than this (0.1 s, and the slack of sockets).
const LEFT: Duration = Duration::from_millis(150);
/// The slack of the deadline that an endpoint is told.
const TOLD_MORE: Duration = Duration::from_millis(150);
/// The grace of a drain with its slack, and the time that a gateway may be held up between clock and write.
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 50 + 150);
/// The slack on the age of data: 50 ms, and the same hold-up.
const AGE_SLACK: Duration = Duration::from_millis(200);
/// How much after its time an answer may come; by then the rig may be late as well.
const ANSWER_SLACK: Duration = Duration::from_millis(600);

#[derive(Debug)]
struct Request {
    effect: Effect,
    sent: Duration,
    deadline: Duration,
    left: Option<Duration>,
    answered: bool,
    /// Connection of the attempt that is out.
    out: Option<u64>,
    /// When the first attempt began that may have run, and the newest one.
    first_attempt: Option<Duration>,
    newest_attempt: Duration,
}

/// What a slow-start budget is made of.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Requests of mean work that a warm endpoint can do in a second.
    pub capacity: f64,
    /// The part of that which it can do as it starts, and how long until it is warm.
    pub slow_start_initial_capacity: f64,
    pub cold: Duration,
    /// So many times what it can do within the window overload it.
    pub multiple: f64,
    pub window: Duration,
}

impl SlowStart {
    /// Requests of mean work within the window from which an endpoint that started so long ago overloads.
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

/// An attempt as its endpoint saw it.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    pub id: &'a str,
    pub endpoint: usize,
    pub gateway: usize,
    pub connection: u64,
    /// Milliseconds that the endpoint was told the client will wait.
    pub told_ms: u64,
    /// Work, in requests of mean work.
    pub work: f64,
    /// How old the endpoint's data is, and how old the class allows it to be, if it does not take any.
    pub age: Option<(Duration, Duration)>,
    /// An earlier attempt's connection has been ended by the gateway.
    pub earlier_ended: bool,
}

/// Keeps the history and finds what breaks an invariant.
#[derive(Debug)]
pub struct Oracle {
    slow_start: SlowStart,
    requests: BTreeMap<String, Request>,
    /// When each gateway counts as told that an endpoint drains.
    draining: BTreeMap<(usize, usize), Duration>,
    /// When each endpoint started, and what it was sent since, by gateways that had been told.
    started: BTreeMap<usize, (Duration, Vec<(Duration, f64)>)>,
    overloaded: BTreeSet<usize>,
    pub violations: Vec<Violation>,
    pub attempts: u64,
    pub answers: u64,
}

impl Oracle {
    /// An empty history.
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

    /// Notes a violation.
    pub fn breaks(&mut self, invariant: Invariant, at: Duration, what: String) {
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        self.violations.push(Violation {
            invariant,
            at_ms,
            what,
        });
    }

    /// A client has written a request whole.
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

    /// A client has closed its connection.
    pub fn on_client_left(&mut self, id: &str, at: Duration) {
        self.requests
            .get_mut(id)
            .into_iter()
            .for_each(|request| request.left = Some(at));
    }

    /// A request got its final answer; a value if it was served. `waited_ahead` is the time spent behind the answers of
    /// requests before it on its connection.
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
            self.breaks(
                Invariant::AnsweredTwice,
                at,
                format!("{id} got two answers"),
            );
        }
        if value.is_some_and(|value| value != id) {
            self.breaks(
                Invariant::WrongValue,
                at,
                format!("{id} was answered by {value:?}"),
            );
        }
        if late {
            self.breaks(
                Invariant::Unanswered,
                at,
                format!("{id} was answered after {took:?}"),
            );
        }
    }

    /// A request will get no answer any more, by no fault of its client.
    pub fn on_lost(&mut self, id: &str, why: &str, at: Duration) {
        self.breaks(Invariant::Unanswered, at, format!("{id}: {why}"));
    }

    /// A gateway counts as told from then on that an endpoint drains; `None` that it is active.
    pub fn on_drain_told(&mut self, gateway: usize, endpoint: usize, at: Option<Duration>) {
        match at {
            Some(at) => drop(self.draining.insert((gateway, endpoint), at)),
            None => drop(self.draining.remove(&(gateway, endpoint))),
        }
    }

    /// An endpoint has started.
    pub fn on_endpoint_started(&mut self, endpoint: usize, at: Duration) {
        self.started.insert(endpoint, (at, vec![]));
        self.overloaded.remove(&endpoint);
    }

    /// An attempt's last byte has reached an endpoint.
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
            let left = request.left.filter(|left| at > *left + LEFT);
            let deadline_at = request.sent + request.deadline + TOLD_MORE;
            let told = at + Duration::from_millis(attempt.told_ms);
            let sent = request.sent;
            if out.is_some() {
                self.breaks(
                    Invariant::SecondCopy,
                    at,
                    format!("{id} has two attempts out, at {endpoint}"),
                );
            }
            if window_over && repeats {
                self.breaks(
                    Invariant::Repeated,
                    at,
                    format!("{id} was repeated {:?} after its first", at - first),
                );
            }
            if let Some(left) = left {
                self.breaks(
                    Invariant::BeganForNobody,
                    at,
                    format!("{id} began {:?} after its client left", at - left),
                );
            }
            if told > deadline_at {
                let more = told - deadline_at;
                self.breaks(
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
            self.breaks(Invariant::SentToDraining, at, what);
        }
        if let Some((age, bound)) = attempt.age.filter(|(age, bound)| *age > *bound + AGE_SLACK) {
            let what = format!(
                "gateway {gateway} sent {id} to {endpoint}, whose data is {age:?} old ({bound:?})"
            );
            self.breaks(Invariant::StaleRead, at, what);
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
            self.breaks(Invariant::SlowStartOverload, at, what);
        }
    }

    /// An attempt is over: its endpoint has answered it, or has ended the connection.
    pub fn on_attempt_over(&mut self, id: &str, connection: u64, never_ran: bool) {
        if let Some(request) = self.requests.get_mut(id) {
            request.out.take_if(|out| *out == connection);
            let only = request.first_attempt == Some(request.newest_attempt);
            if never_ran && only {
                request.first_attempt = None;
            }
        }
    }

    /// Requests that have had no answer though their time is over.
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

    /// A request that was excused: its gateway was killed.
    pub fn on_excused(&mut self, id: &str) {
        self.requests
            .get_mut(id)
            .into_iter()
            .for_each(|request| request.answered = true);
    }
}
