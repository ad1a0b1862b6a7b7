//! Admission: a state machine in front of the decision module. It decides who is let in next, who is refused at once, and
//! when those are to come back; it never decides where a request goes.
//!
//! A [`AdmissionQueue`] has lanes, one for the writes and one for the reads of each group. In a lane tenants share by weight
//! (start-time fair queueing over cost), the clients of a tenant share evenly (deficit round robin over buckets that their
//! names are hashed into with a seed), and of a client's requests the one of most worth for its cost goes first. How many
//! of a lane are let in at once follows what the decision module has room for: [`Window`]. Everything has its size in the
//! constructor. No I/O, no clock, no iteration order that is not defined.
//!
//! | module | holds |
//! | --- | --- |
//! | [`queue`] | the tenants and clients of a lane, and what waits of them |
//! | [`window`] | how many may be inside |
//! | [`calendar`] | return hints as reservations of future capacity |
//! | [`cost`] | what a class costs, learned, and how fast a lane drains |
//! | [`codel`] | when a queue has stood for too long |

#![forbid(unsafe_code)]

pub mod calendar;
pub mod codel;
pub mod cost;
pub mod queue;
pub mod window;

use std::collections::{BTreeMap, BTreeSet};

use valehatch_policy::{GroupId, RequestId, Span, Time};

use calendar::RetryAfterCalendar;
use codel::StandingQueue;
use cost::{Costs, Drain};
use queue::{Entry, Queue};
pub use window::{Capacity, Window};

/// What the door knows of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Worth of one request.
    pub priority_weight: f64,
    /// Full worth until then.
    pub latency_objective: Span,
    /// A late answer is worth something.
    pub late_answer_counts: bool,
    /// Only the primary takes it.
    pub write: bool,
}

/// What a door is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The tenants' shares: weights, which need not add up to 1. One of 0 is served when no other waits.
    pub quotas: Vec<f64>,
    /// The classes.
    pub classes: Vec<Class>,
    /// Requests that may wait, in all lanes together.
    pub max_waiting: usize,
    /// Buckets that the clients of a tenant are hashed into, in each lane.
    pub client_buckets: u32,
    /// The longest hint that a client heeds.
    pub max_retry_after: Span,
    /// Lanes that may have something waiting at once; beyond it a group's requests are let in as they come.
    pub max_lanes: usize,
}

/// A request at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub id: RequestId,
    /// Its tenant; `None`: one that is not known, all of which are taken for one.
    pub tenant: Option<usize>,
    /// Its client, as far as the front can tell clients apart.
    pub client: u64,
    /// Its class.
    pub class: usize,
    /// Its group.
    pub group: GroupId,
    /// When its client stops waiting.
    pub deadline: Time,
}

/// Why one is refused at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRejection {
    /// It would not be served in time: what is before it takes too long.
    WaitTooLong,
    /// As many wait as may, and its tenant has the most of them for its share.
    QueueFull,
    /// It has waited until it could no longer be served in time.
    ExpiredInQueue,
    /// The queue has stood for too long: it is cut from the front, so that those behind are served in time.
    StandingQueue,
}

/// When a refused client is to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterHint {
    /// After so long.
    pub retry_after: Span,
    /// Room is reserved for it then. If not, the longest hint that is heeded is too short to be honest.
    pub reserved: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is let in.
    Admit(RequestId),
    /// It is refused.
    Reject(RequestId, QueueRejection, RetryAfterHint),
}

/// What is shown of a tenant in all lanes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantQueueView {
    /// Requests that wait.
    pub waiting: u64,
    /// How long the oldest has waited.
    pub oldest: Span,
    /// Requests that came.
    pub received: u64,
    /// Of them let in.
    pub admitted: u64,
    /// Cost let in, in microseconds of work.
    pub admitted_cost_us: u64,
    /// Hints given.
    pub hints_given: u64,
    /// Hints kept: the client came back when it was told to.
    pub hints_honoured: u64,
    /// By how much those who kept theirs were let in later than hinted, in all.
    pub hint_lateness: Span,
}

/// A lane: a group's writes, or its reads.
type LaneKey = (GroupId, bool);

#[derive(Debug)]
struct Lane {
    queue: Queue,
    window: Window,
    drain: Drain,
    standing: StandingQueue,
    calendars: Vec<RetryAfterCalendar>,
    out: u64,
}

/// A request that was let in.
#[derive(Clone, Copy, Debug)]
struct Inside {
    lane: LaneKey,
    class: usize,
    admitted: Time,
}

/// The part of its time after which a request that was never let in is refused, in tenths: its client must be told while
/// it can still come back, and a refusal after half of its time counts against the gateway.
const PATIENCE_TENTHS: i64 = 4;
/// How often what waits is looked over.
const TICK: Span = Span::from_millis(10);

/// The door.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: Settings,
    weights: Vec<f64>,
    costs: Costs,
    lanes: BTreeMap<LaneKey, Lane>,
    waiting: BTreeMap<RequestId, LaneKey>,
    /// When those that wait are given up.
    due: BTreeSet<(Time, RequestId)>,
    inside: BTreeMap<RequestId, Inside>,
    shown: Vec<TenantQueueView>,
    seed: u64,
}

/// The tenants' weights: shares as they are, none below a thousandth; those that are not known share what is left of 1,
/// or a hundredth.
fn weights(shares: &[f64]) -> Vec<f64> {
    let sound = |s: &f64| {
        if s.is_finite() {
            s.clamp(0.001, 1000.0)
        } else {
            0.001
        }
    };
    let left = (1.0 - shares.iter().map(sound).sum::<f64>()).max(0.01);
    shares.iter().map(sound).chain([left]).collect()
}

impl AdmissionQueue {
    /// A door that nobody has come to. The seed decides which clients share a bucket.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let weights = weights(&settings.quotas);
        Self {
            costs: Costs::new(settings.classes.iter().map(|c| c.latency_objective)),
            lanes: BTreeMap::new(),
            waiting: BTreeMap::new(),
            due: BTreeSet::new(),
            inside: BTreeMap::new(),
            shown: vec![TenantQueueView::default(); weights.len()],
            weights,
            settings,
            seed,
        }
    }

    /// Other shares from now on: nobody loses its place. Tenants may not be added or taken away.
    ///
    /// # Errors
    /// That their number is another one.
    pub fn set_quotas(&mut self, shares: &[f64]) -> Result<(), String> {
        if shares.len() != self.settings.quotas.len() {
            return Err(format!(
                "{} shares for {} tenants",
                shares.len(),
                self.settings.quotas.len()
            ));
        }
        self.settings.quotas = shares.to_vec();
        self.weights = weights(shares);
        Ok(())
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none does.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// What is shown of each tenant, the last for those that are not known.
    #[must_use]
    pub fn tenant_views(&self, now: Time) -> Vec<TenantQueueView> {
        let mut shown = self.shown.clone();
        for lane in self.lanes.values() {
            for (tenant, shown) in shown.iter_mut().enumerate() {
                let (waiting, oldest) = lane.queue.of(tenant);
                shown.waiting += waiting as u64;
                shown.oldest = oldest.map_or(shown.oldest, |at| shown.oldest.max(now - at));
            }
        }
        shown
    }

    /// When something is due, whatever else happens.
    #[must_use]
    pub fn next_timer_at(&self, now: Time) -> Option<Time> {
        let due = self.due.first().map(|(at, _)| *at)?;
        Some(due.min(now + TICK))
    }

    /// A request has come.
    pub fn on_arrival(&mut self, now: Time, arrival: Arrival, out: &mut Vec<AdmissionDecision>) {
        let tenant = arrival.tenant.filter(|t| *t < self.settings.quotas.len());
        let tenant = tenant.unwrap_or(self.settings.quotas.len());
        let class = self.settings.classes[arrival.class].clone();
        self.shown[tenant].received += 1;
        let key = (arrival.group, class.write);
        if !self.lanes.contains_key(&key) {
            self.forget_lanes();
            if self.lanes.len() >= self.settings.max_lanes {
                return self.admit_unseen(now, key, &arrival, tenant, out);
            }
            self.lanes.insert(
                key,
                Lane::new(
                    self.weights.len(),
                    self.settings.client_buckets,
                    self.seed,
                    now,
                ),
            );
        }
        let cost = self.costs.of(arrival.class);
        let patience = Span((arrival.deadline - now).0 / 10 * PATIENCE_TENTHS);
        let give_up = now + patience;
        let served_in = self.costs.latency(arrival.class);
        let useful = if class.late_answer_counts {
            arrival.deadline
        } else {
            (now + class.latency_objective).min(arrival.deadline)
        };
        let Some(lane) = self.lanes.get_mut(&key) else {
            return;
        };
        let kept = lane.calendars[tenant].take(now, arrival.client);
        if let Some(hinted) = kept {
            let shown = &mut self.shown[tenant];
            shown.hints_honoured += 1;
            shown.hint_lateness += Span((now - hinted).0.max(0));
        }
        let entry = Entry {
            id: arrival.id,
            tenant,
            client: arrival.client,
            class: arrival.class,
            arrived: now,
            // One that came back when it was told to was promised a place, not a time within its aim.
            until: if kept.is_some() {
                give_up
            } else {
                give_up.min(useful - served_in)
            },
            cost,
            value: class.priority_weight / cost.0.max(1) as f64,
            reserved: kept.is_some(),
        };
        if lane.queue.is_empty() && lane.window.admits(lane.out) {
            return self.admit(now, key, entry, out);
        }
        let wait = lane.wait(now, &entry, &self.weights);
        if kept.is_none() && now + wait > entry.until {
            let hint = self.hint(now, key, &entry);
            return out.push(AdmissionDecision::Reject(
                arrival.id,
                QueueRejection::WaitTooLong,
                hint,
            ));
        }
        if self.waiting.len() >= self.settings.max_waiting && !self.make_room(now, key, tenant, out)
        {
            let hint = self.hint(now, key, &entry);
            return out.push(AdmissionDecision::Reject(
                arrival.id,
                QueueRejection::QueueFull,
                hint,
            ));
        }
        self.waiting.insert(arrival.id, key);
        self.due.insert((entry.until.max(now), arrival.id));
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.queue.push(entry, &self.weights);
        }
        self.pull(now, key, out);
    }

    /// More groups than there are lanes: nothing is known of them, and nothing held back.
    fn admit_unseen(
        &mut self,
        now: Time,
        lane: LaneKey,
        arrival: &Arrival,
        tenant: usize,
        out: &mut Vec<AdmissionDecision>,
    ) {
        self.shown[tenant].admitted += 1;
        self.inside.insert(
            arrival.id,
            Inside {
                lane,
                class: arrival.class,
                admitted: now,
            },
        );
        out.push(AdmissionDecision::Admit(arrival.id));
    }

    fn admit(&mut self, now: Time, key: LaneKey, entry: Entry, out: &mut Vec<AdmissionDecision>) {
        let shown = &mut self.shown[entry.tenant];
        shown.admitted += 1;
        shown.admitted_cost_us += u64::try_from(entry.cost.0).unwrap_or(0);
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.out += 1;
            lane.queue.served(&entry, &self.weights);
        }
        self.inside.insert(
            entry.id,
            Inside {
                lane: key,
                class: entry.class,
                admitted: now,
            },
        );
        out.push(AdmissionDecision::Admit(entry.id));
    }

    /// Lets in what there is room for.
    fn pull(&mut self, now: Time, key: LaneKey, out: &mut Vec<AdmissionDecision>) {
        loop {
            let Some(lane) = self.lanes.get_mut(&key) else {
                return;
            };
            if !lane.window.admits(lane.out) {
                return;
            }
            let Some(entry) = lane.queue.pop() else {
                return;
            };
            self.waiting.remove(&entry.id);
            self.due.remove(&(entry.until.max(entry.arrived), entry.id));
            let standing = lane
                .standing
                .drops(now, now - entry.arrived, lane.queue.len());
            if entry.until < now || standing && !entry.reserved {
                let reason = if entry.until < now {
                    QueueRejection::ExpiredInQueue
                } else {
                    QueueRejection::StandingQueue
                };
                let hint = self.hint(now, key, &entry);
                out.push(AdmissionDecision::Reject(entry.id, reason, hint));
                continue;
            }
            self.admit(now, key, entry, out);
        }
    }

    /// Takes the place of one that waits, of the tenant that has the most of them for its share; false if that is the one
    /// that asks.
    fn make_room(
        &mut self,
        now: Time,
        asks: LaneKey,
        tenant: usize,
        out: &mut Vec<AdmissionDecision>,
    ) -> bool {
        let most = |lane: &Lane| lane.queue.fullest(&self.weights);
        let found = self
            .lanes
            .iter()
            .filter_map(|(key, lane)| Some((*key, most(lane)?)));
        let found = found.max_by(|a, b| a.1.1.total_cmp(&b.1.1).then(b.0.cmp(&a.0)));
        let Some((key, (fullest, _))) = found.filter(|(key, (t, _))| (*key, *t) != (asks, tenant))
        else {
            return false;
        };
        let Some(entry) = self
            .lanes
            .get_mut(&key)
            .and_then(|lane| lane.queue.pop_last(fullest))
        else {
            return false;
        };
        self.waiting.remove(&entry.id);
        self.due.remove(&(entry.until.max(entry.arrived), entry.id));
        let hint = self.hint(now, key, &entry);
        out.push(AdmissionDecision::Reject(
            entry.id,
            QueueRejection::QueueFull,
            hint,
        ));
        true
    }

    /// When one that is refused is to come back: room is reserved for it.
    fn hint(&mut self, now: Time, key: LaneKey, entry: &Entry) -> RetryAfterHint {
        let most = self.settings.max_retry_after;
        let Some(lane) = self.lanes.get_mut(&key) else {
            return RetryAfterHint {
                retry_after: most,
                reserved: false,
            };
        };
        let rate = lane.rate_of(entry.tenant, &self.weights);
        let backlog = lane.queue.backlog(entry.tenant);
        let hint = lane.calendars[entry.tenant].reserve(
            now,
            entry.client,
            entry.cost,
            backlog,
            rate,
            most,
        );
        self.shown[entry.tenant].hints_given += 1;
        hint.map_or(
            RetryAfterHint {
                retry_after: most,
                reserved: false,
            },
            |after| RetryAfterHint {
                retry_after: after,
                reserved: true,
            },
        )
    }

    /// A request that was let in is over; `served` if a member answered it.
    pub fn on_finished(
        &mut self,
        now: Time,
        id: RequestId,
        served: bool,
        out: &mut Vec<AdmissionDecision>,
    ) {
        let Some(inside) = self.inside.remove(&id) else {
            return;
        };
        if served {
            self.costs.learn(inside.class, now - inside.admitted);
        }
        let cost = self.costs.of(inside.class);
        if let Some(lane) = self.lanes.get_mut(&inside.lane) {
            lane.out = lane.out.saturating_sub(1);
            lane.drain.done(now, cost, !lane.queue.is_empty());
            self.pull(now, inside.lane, out);
        }
    }

    /// The client of a request has left.
    pub fn on_client_disconnected(
        &mut self,
        now: Time,
        id: RequestId,
        out: &mut Vec<AdmissionDecision>,
    ) {
        if let Some(key) = self.waiting.remove(&id) {
            let entry = self
                .lanes
                .get_mut(&key)
                .and_then(|lane| lane.queue.remove(id));
            if let Some(entry) = entry {
                self.due.remove(&(entry.until.max(entry.arrived), id));
            }
        }
        self.on_finished(now, id, false, out);
    }

    /// What the decision module has room for in a group, for writes or for reads.
    pub fn set_capacity(
        &mut self,
        now: Time,
        group: GroupId,
        write: bool,
        room: Capacity,
        out: &mut Vec<AdmissionDecision>,
    ) {
        let key = (group, write);
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.window.follow(room, lane.out);
            self.pull(now, key, out);
        }
    }

    /// Time has passed: those that have waited too long are refused, at once and with a hint.
    pub fn tick(&mut self, now: Time, out: &mut Vec<AdmissionDecision>) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            let Some(key) = self.waiting.remove(&id) else {
                continue;
            };
            let entry = self
                .lanes
                .get_mut(&key)
                .and_then(|lane| lane.queue.remove(id));
            if let Some(entry) = entry {
                let hint = self.hint(now, key, &entry);
                out.push(AdmissionDecision::Reject(
                    id,
                    QueueRejection::ExpiredInQueue,
                    hint,
                ));
            }
        }
        for key in self.lanes.keys().copied().collect::<Vec<_>>() {
            self.pull(now, key, out);
        }
    }

    /// Forgets lanes that hold nothing and are not in use.
    fn forget_lanes(&mut self) {
        if self.lanes.len() >= self.settings.max_lanes {
            self.lanes
                .retain(|_, lane| !lane.queue.is_empty() || lane.out > 0);
        }
    }

    /// What must hold after every step; the lab and the tests ask for it.
    ///
    /// # Errors
    /// What does not hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let waiting: usize = self.lanes.values().map(|l| l.queue.len()).sum();
        if waiting != self.waiting.len() || self.due.len() != waiting {
            return Err(format!(
                "{waiting} wait, {} are known, {} due",
                self.waiting.len(),
                self.due.len()
            ));
        }
        if waiting > self.settings.max_waiting {
            return Err(format!("{waiting} wait, {} may", self.settings.max_waiting));
        }
        for (key, lane) in &self.lanes {
            lane.queue.check().map_err(|e| format!("{key:?}: {e}"))?;
            if !lane.queue.is_empty() && lane.window.admits(lane.out) {
                return Err(format!("{key:?}: one waits while there is room"));
            }
        }
        Ok(())
    }
}

impl Lane {
    fn new(tenants: usize, buckets: u32, seed: u64, now: Time) -> Self {
        Self {
            queue: Queue::new(tenants, buckets, seed),
            window: Window::default(),
            drain: Drain::new(now),
            standing: StandingQueue::default(),
            calendars: (0..tenants).map(|_| RetryAfterCalendar::new(now)).collect(),
            out: 0,
        }
    }

    /// Cost in a microsecond that a tenant gets while others wait too.
    fn rate_of(&self, tenant: usize, weights: &[f64]) -> f64 {
        self.drain.rate() * self.queue.part_of(tenant, weights)
    }

    /// How long a request would wait: what is before it of its tenant, at its tenant's rate, and what is reserved until then.
    fn wait(&self, now: Time, entry: &Entry, weights: &[f64]) -> Span {
        let rate = self.rate_of(entry.tenant, weights);
        if rate <= 0.0 {
            return Span(0);
        }
        let before = self.queue.before(entry);
        let mut wait = Span(1).times(before.as_f64() / rate);
        for _ in 0..2 {
            let held = self.calendars[entry.tenant].held(now, wait);
            wait = Span(1).times((before + held).as_f64() / rate);
        }
        wait
    }
}
