//! The admission state machine. Inputs are arrivals, completions, capacity and time; outputs are
//! decisions.
//!
//! Each request gets exactly one [`AdmissionDecision`], unless its client disconnects first. Memory
//! is bounded by `max_waiting` and `max_lanes` in the settings. Times are whole microseconds.

use std::collections::{BTreeMap, BTreeSet};

use valehatch_policy::{RequestId, Span, Time};

use crate::capacity_window::Capacity;
use crate::cost::ClassCosts;
use crate::invariants::InvariantViolation;
use crate::lane::Lane;
use crate::messages::{
    AdmissionDecision, Arrival, Completion, LaneId, LaneKind, QueueRejection, RetryAfterHint,
    TenantQueueView,
};
use crate::queue::QueuedRequest;
use crate::settings::{QuotaCountMismatch, Settings, tenant_weights};

/// Longest wait, in tenths of the time from arrival to deadline. A rejected client must have time
/// left to retry, and a rejection after half of that time counts as a failure.
const MAX_WAIT_TENTHS: i64 = 4;

/// An admitted request that has not ended.
#[derive(Clone, Copy, Debug)]
struct AdmittedRequest {
    lane: LaneId,
    class: usize,
    admitted_at: Time,
}

/// When a waiting request is rejected; ordered by time, then by request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Time,
    id: RequestId,
}

impl Expiry {
    fn of(request: &QueuedRequest) -> Self {
        Self {
            at: request.expires_at.max(request.arrived),
            id: request.id,
        }
    }
}

/// The admission queue of a core, with all its lanes.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: Settings,
    /// Weights by tenant number; the last is for requests without a known tenant.
    weights: Vec<f64>,
    costs: ClassCosts,
    lanes: BTreeMap<LaneId, Lane>,
    /// Lane of each waiting request.
    waiting: BTreeMap<RequestId, LaneId>,
    expiries: BTreeSet<Expiry>,
    admitted: BTreeMap<RequestId, AdmittedRequest>,
    /// Counters by tenant number; `tenant_views` fills in the fields about waiting requests.
    tenant_counters: Vec<TenantQueueView>,
    seed: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue. The seed decides which clients share a bucket.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let weights = tenant_weights(&settings.quotas);
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        Self {
            costs: ClassCosts::new(objectives),
            lanes: BTreeMap::new(),
            waiting: BTreeMap::new(),
            expiries: BTreeSet::new(),
            admitted: BTreeMap::new(),
            tenant_counters: vec![TenantQueueView::default(); weights.len()],
            weights,
            settings,
            seed,
        }
    }

    /// Replaces the tenants' quotas; waiting requests keep their places.
    ///
    /// # Errors
    /// The number of quotas differs from the number of tenants; the old quotas stay in effect.
    pub fn set_quotas(&mut self, quotas: &[f64]) -> Result<(), QuotaCountMismatch> {
        if quotas.len() != self.settings.quotas.len() {
            return Err(QuotaCountMismatch {
                quotas: quotas.len(),
                tenants: self.settings.quotas.len(),
            });
        }
        self.settings.quotas = quotas.to_vec();
        self.weights = tenant_weights(quotas);
        Ok(())
    }

    /// Number of waiting requests in all lanes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Published figures by tenant number; the last are for requests without a known tenant.
    #[must_use]
    pub fn tenant_views(&self, now: Time) -> Vec<TenantQueueView> {
        let mut views = self.tenant_counters.clone();
        for lane in self.lanes.values() {
            for (tenant, view) in views.iter_mut().enumerate() {
                view.waiting += lane.queue.tenant_len(tenant) as u64;
                if let Some(arrived) = lane.queue.oldest_arrival(tenant) {
                    view.oldest = view.oldest.max(now - arrived);
                }
            }
        }
        views
    }

    /// Admits, queues or rejects an arriving request.
    pub fn on_arrival(&mut self, now: Time, arrival: Arrival, out: &mut Vec<AdmissionDecision>) {
        let unknown_tenant = self.settings.quotas.len();
        let tenant = arrival.tenant.filter(|tenant| *tenant < unknown_tenant);
        let tenant = tenant.unwrap_or(unknown_tenant);
        self.tenant_counters[tenant].received += 1;
        let lane_id = self.lane_of(&arrival);
        if !self.ensure_lane(now, lane_id) {
            return self.admit_without_lane(now, lane_id, &arrival, tenant, out);
        }
        let request = self.queued_request(now, lane_id, tenant, &arrival);
        let Some(lane) = self.lanes.get(&lane_id) else {
            return;
        };
        if lane.queue.is_empty() && lane.has_capacity() {
            return self.admit(now, lane_id, &request, out);
        }
        let wait = lane.expected_wait(now, &request, &self.weights);
        if !request.has_reservation && now + wait > request.expires_at {
            return self.reject(now, lane_id, &request, QueueRejection::WaitTooLong, out);
        }
        let is_full = self.waiting.len() >= self.settings.max_waiting;
        if is_full && !self.evict_for(now, lane_id, tenant, out) {
            return self.reject(now, lane_id, &request, QueueRejection::QueueFull, out);
        }
        self.enqueue(lane_id, request);
        self.admit_waiting(now, lane_id, out);
    }

    fn lane_of(&self, arrival: &Arrival) -> LaneId {
        let kind = if self.settings.classes[arrival.class].write {
            LaneKind::Writes
        } else {
            LaneKind::Reads
        };
        LaneId {
            group: arrival.group,
            kind,
        }
    }

    /// Makes sure that a lane exists. Returns false if `max_lanes` lanes are in use.
    fn ensure_lane(&mut self, now: Time, id: LaneId) -> bool {
        if self.lanes.contains_key(&id) {
            return true;
        }
        self.remove_unused_lanes();
        if self.lanes.len() >= self.settings.max_lanes {
            return false;
        }
        let tenants = self.weights.len();
        let lane = Lane::new(tenants, self.settings.client_buckets, self.seed, now);
        self.lanes.insert(id, lane);
        true
    }

    fn remove_unused_lanes(&mut self) {
        if self.lanes.len() >= self.settings.max_lanes {
            self.lanes
                .retain(|_, lane| !lane.queue.is_empty() || lane.in_flight > 0);
        }
    }

    /// Builds the request with its cost and expiry; uses up the reservation of its client, if any.
    fn queued_request(
        &mut self,
        now: Time,
        lane_id: LaneId,
        tenant: usize,
        arrival: &Arrival,
    ) -> QueuedRequest {
        let class = &self.settings.classes[arrival.class];
        let cost = self.costs.cost(arrival.class);
        let max_wait = Span((arrival.deadline - now).0 / 10 * MAX_WAIT_TENTHS);
        let wait_until = now + max_wait;
        let useful_until = if class.late_answer_counts {
            arrival.deadline
        } else {
            (now + class.latency_objective).min(arrival.deadline)
        };
        let start_by = useful_until - self.costs.latency(arrival.class);
        let lane = self.lanes.get_mut(&lane_id);
        let reserved_at =
            lane.and_then(|lane| lane.calendars[tenant].use_reservation(now, arrival.client));
        if let Some(reserved_at) = reserved_at {
            let counters = &mut self.tenant_counters[tenant];
            counters.hints_honoured += 1;
            counters.hint_lateness += Span((now - reserved_at).0.max(0));
        }
        QueuedRequest {
            id: arrival.id,
            tenant,
            client: arrival.client,
            class: arrival.class,
            arrived: now,
            // A reservation guarantees admission, but no answer within the latency objective.
            expires_at: if reserved_at.is_some() {
                wait_until
            } else {
                wait_until.min(start_by)
            },
            cost,
            weight_per_cost: class.priority_weight / cost.0.max(1) as f64,
            has_reservation: reserved_at.is_some(),
        }
    }

    fn enqueue(&mut self, lane_id: LaneId, request: QueuedRequest) {
        self.waiting.insert(request.id, lane_id);
        self.expiries.insert(Expiry::of(&request));
        if let Some(lane) = self.lanes.get_mut(&lane_id) {
            lane.queue.push(request, &self.weights);
        }
    }

    /// Admits a request of a group for which no lane is free: the load of the group is unknown.
    fn admit_without_lane(
        &mut self,
        now: Time,
        lane: LaneId,
        arrival: &Arrival,
        tenant: usize,
        out: &mut Vec<AdmissionDecision>,
    ) {
        self.tenant_counters[tenant].admitted += 1;
        let admitted = AdmittedRequest {
            lane,
            class: arrival.class,
            admitted_at: now,
        };
        self.admitted.insert(arrival.id, admitted);
        out.push(AdmissionDecision::Admit(arrival.id));
    }

    fn admit(
        &mut self,
        now: Time,
        lane_id: LaneId,
        request: &QueuedRequest,
        out: &mut Vec<AdmissionDecision>,
    ) {
        let counters = &mut self.tenant_counters[request.tenant];
        counters.admitted += 1;
        counters.admitted_cost_us += u64::try_from(request.cost.0).unwrap_or(0);
        if let Some(lane) = self.lanes.get_mut(&lane_id) {
            lane.in_flight += 1;
            lane.queue.charge(request, &self.weights);
        }
        let admitted = AdmittedRequest {
            lane: lane_id,
            class: request.class,
            admitted_at: now,
        };
        self.admitted.insert(request.id, admitted);
        out.push(AdmissionDecision::Admit(request.id));
    }

    /// Admits waiting requests while their lane has capacity.
    fn admit_waiting(&mut self, now: Time, lane_id: LaneId, out: &mut Vec<AdmissionDecision>) {
        while let Some(lane) = self.lanes.get_mut(&lane_id)
            && lane.has_capacity()
            && let Some(request) = lane.queue.pop()
        {
            self.waiting.remove(&request.id);
            self.expiries.remove(&Expiry::of(&request));
            let waited = now - request.arrived;
            let is_standing = lane.codel.should_drop(now, waited, lane.queue.len());
            if request.expires_at < now {
                self.reject(now, lane_id, &request, QueueRejection::ExpiredInQueue, out);
            } else if is_standing && !request.has_reservation {
                self.reject(now, lane_id, &request, QueueRejection::StandingQueue, out);
            } else {
                self.admit(now, lane_id, &request, out);
            }
        }
    }

    /// Makes room for an arrival by rejecting the last request of the tenant with the longest queue
    /// relative to its weight. Returns false if that is the arrival's own tenant in its own lane.
    fn evict_for(
        &mut self,
        now: Time,
        arrival_lane: LaneId,
        arrival_tenant: usize,
        out: &mut Vec<AdmissionDecision>,
    ) -> bool {
        let longest = self
            .lanes
            .iter()
            .filter_map(|(id, lane)| Some((*id, lane.queue.longest_tenant(&self.weights)?)))
            .max_by(|(id_a, a), (id_b, b)| {
                a.weighted_len
                    .total_cmp(&b.weighted_len)
                    .then(id_b.cmp(id_a))
            });
        let Some((lane_id, longest)) = longest else {
            return false;
        };
        if lane_id == arrival_lane && longest.tenant == arrival_tenant {
            return false;
        }
        let lane = self.lanes.get_mut(&lane_id);
        let Some(evicted) = lane.and_then(|lane| lane.queue.pop_last(longest.tenant)) else {
            return false;
        };
        self.waiting.remove(&evicted.id);
        self.expiries.remove(&Expiry::of(&evicted));
        self.reject(now, lane_id, &evicted, QueueRejection::QueueFull, out);
        true
    }

    fn reject(
        &mut self,
        now: Time,
        lane_id: LaneId,
        request: &QueuedRequest,
        reason: QueueRejection,
        out: &mut Vec<AdmissionDecision>,
    ) {
        let hint = self.retry_after_hint(now, lane_id, request);
        out.push(AdmissionDecision::Reject {
            id: request.id,
            reason,
            hint,
        });
    }

    /// Computes when the client of a rejected request should retry, and reserves capacity for it.
    fn retry_after_hint(
        &mut self,
        now: Time,
        lane_id: LaneId,
        request: &QueuedRequest,
    ) -> RetryAfterHint {
        let max_retry_after = self.settings.max_retry_after;
        let without_reservation = RetryAfterHint {
            retry_after: max_retry_after,
            reserved: false,
        };
        let Some(lane) = self.lanes.get_mut(&lane_id) else {
            return without_reservation;
        };
        self.tenant_counters[request.tenant].hints_given += 1;
        let reserved = lane.reserve(now, request, max_retry_after, &self.weights);
        let Some(retry_after) = reserved else {
            return without_reservation;
        };
        RetryAfterHint {
            retry_after,
            reserved: true,
        }
    }

    /// Releases the capacity of an admitted request that has ended, and admits waiting requests.
    pub fn on_finished(
        &mut self,
        now: Time,
        id: RequestId,
        completion: Completion,
        out: &mut Vec<AdmissionDecision>,
    ) {
        let Some(admitted) = self.admitted.remove(&id) else {
            return;
        };
        if completion == Completion::Served {
            let latency = now - admitted.admitted_at;
            self.costs.record_latency(admitted.class, latency);
        }
        let cost = self.costs.cost(admitted.class);
        if let Some(lane) = self.lanes.get_mut(&admitted.lane) {
            lane.on_finished(now, cost);
            self.admit_waiting(now, admitted.lane, out);
        }
    }

    /// Removes a request whose client has disconnected, whether it waits or is in flight.
    pub fn on_client_disconnected(
        &mut self,
        now: Time,
        id: RequestId,
        out: &mut Vec<AdmissionDecision>,
    ) {
        if let Some((_, request)) = self.remove_waiting(id) {
            self.expiries.remove(&Expiry::of(&request));
        }
        self.on_finished(now, id, Completion::NotServed, out);
    }

    fn remove_waiting(&mut self, id: RequestId) -> Option<(LaneId, QueuedRequest)> {
        let lane_id = self.waiting.remove(&id)?;
        let request = self.lanes.get_mut(&lane_id)?.queue.remove(id)?;
        Some((lane_id, request))
    }

    /// Sets what the endpoints can serve of a lane's requests, and admits waiting requests.
    pub fn set_capacity(
        &mut self,
        now: Time,
        lane_id: LaneId,
        capacity: Capacity,
        out: &mut Vec<AdmissionDecision>,
    ) {
        if let Some(lane) = self.lanes.get_mut(&lane_id) {
            lane.window.follow(capacity, lane.in_flight);
            self.admit_waiting(now, lane_id, out);
        }
    }

    /// Rejects expired requests, then admits waiting requests in all lanes.
    pub fn tick(&mut self, now: Time, out: &mut Vec<AdmissionDecision>) {
        while let Some(expiry) = self.expiries.first().copied()
            && expiry.at <= now
        {
            self.expiries.remove(&expiry);
            if let Some((lane_id, request)) = self.remove_waiting(expiry.id) {
                self.reject(now, lane_id, &request, QueueRejection::ExpiredInQueue, out);
            }
        }
        let lanes: Vec<LaneId> = self.lanes.keys().copied().collect();
        for lane_id in lanes {
            self.admit_waiting(now, lane_id, out);
        }
    }

    /// Checks the invariants of the queue. Takes time proportional to the number of waiting
    /// requests.
    ///
    /// # Errors
    /// Returns the first violated invariant.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let queued: usize = self.lanes.values().map(|lane| lane.queue.len()).sum();
        if queued != self.waiting.len() || queued != self.expiries.len() {
            return Err(InvariantViolation::IndexDiffers {
                queued,
                indexed: self.waiting.len(),
                expiries: self.expiries.len(),
            });
        }
        if queued > self.settings.max_waiting {
            return Err(InvariantViolation::TooManyWaiting {
                waiting: queued,
                max_waiting: self.settings.max_waiting,
            });
        }
        for (id, lane) in &self.lanes {
            lane.queue
                .check_invariants()
                .map_err(|violation| InvariantViolation::FairQueue {
                    lane: *id,
                    violation,
                })?;
            if !lane.queue.is_empty() && lane.has_capacity() {
                return Err(InvariantViolation::WaitsDespiteCapacity { lane: *id });
            }
        }
        Ok(())
    }
}
