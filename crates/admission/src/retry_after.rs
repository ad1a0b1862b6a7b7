//! Retry-After hints: a calendar of a tenant's future capacity in a lane.
//!
//! Each hint reserves the cost of its request in the first slot with free capacity after the
//! current backlog is served. Hints are spread within a slot, so that clients that obey them
//! exactly do not return all at once. Unused reservations lapse as time passes. Times are whole
//! microseconds, costs microseconds of work. The calendar holds at most `SLOTS` slots and
//! `MAX_CLIENTS` clients; beyond that, the oldest hints lose their reservation.

use std::collections::VecDeque;
use std::hash::BuildHasherDefault;
use std::num::NonZeroUsize;

use lru::LruCache;
use siphasher::sip::SipHasher13;
use valehatch_policy::{Span, Time};

/// Length of a calendar slot.
const SLOT: Span = Span::from_millis(100);
/// Shortest hint. Capacity becomes free only when requests end, so a shorter hint would have a
/// large relative error.
const MIN_RETRY_AFTER: Span = Span::from_millis(300);
/// Maximum number of slots, and so the horizon of the calendar.
const SLOTS: usize = 128;
/// Fraction of the capacity that may be reserved; the rest is for clients without a hint.
const RESERVED_FRACTION: f64 = 0.6;
/// Maximum number of clients with a reservation.
const MAX_CLIENTS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();
/// How long before its hint a client may return and still use its reservation.
const EARLY_TOLERANCE: Span = Span::from_millis(50);
/// How long after its hint a client may return and still use its reservation.
const LATE_TOLERANCE: Span = Span::from_millis(1_000);
/// Smoothing factor of the fraction of hints that clients honour.
const HONOURED_GAIN: f64 = 0.02;
/// Estimate of the honoured fraction before any client has returned.
const INITIAL_HONOURED_FRACTION: f64 = 0.5;
/// Largest offset of a hint into its slot, as a fraction of the slot.
const MAX_SLOT_OFFSET: f64 = 0.99;

/// A request for reserved capacity.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// Key of the client that receives the hint.
    pub client: u64,
    /// Cost of the request, in microseconds of work.
    pub cost: Span,
    /// Cost of the waiting requests that are served first.
    pub backlog: Span,
    /// Rate at which the tenant is served: cost per microsecond; 0 if unknown.
    pub cost_per_microsecond: f64,
    /// Longest hint that the client obeys.
    pub max_retry_after: Span,
}

/// Calendar of a tenant's reserved capacity in a lane.
#[derive(Debug)]
pub struct RetryAfterCalendar {
    /// Cost reserved in each slot; slots beyond the last are free.
    slots: VecDeque<f64>,
    /// Start of the first slot.
    start: Time,
    /// Moving average of the fraction of hints that clients honour.
    honoured_fraction: f64,
    /// Time of each client's hint; the least recently given hint is evicted first.
    clients: LruCache<u64, Time, BuildHasherDefault<SipHasher13>>,
}

impl RetryAfterCalendar {
    /// Creates an empty calendar whose first slot starts at `now`.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            slots: VecDeque::new(),
            start: now,
            honoured_fraction: INITIAL_HONOURED_FRACTION,
            clients: LruCache::unbounded_with_hasher(BuildHasherDefault::default()),
        }
    }

    /// Drops slots that have passed and reservations that have lapsed.
    fn advance(&mut self, now: Time) {
        let passed = usize::try_from((now - self.start).0 / SLOT.0).unwrap_or(0);
        if passed > 0 {
            self.slots.drain(..passed.min(self.slots.len()));
            self.start = self.start + Span(SLOT.0 * i64::try_from(passed).unwrap_or(0));
        }
        while let Some((_, hinted_at)) = self.clients.peek_lru()
            && *hinted_at + LATE_TOLERANCE < now
        {
            self.clients.pop_lru();
            self.honoured_fraction -= HONOURED_GAIN * self.honoured_fraction;
        }
    }

    /// Reserves capacity for a client. Returns the Retry-After, or `None` if no capacity is free
    /// within the longest hint or the rate is unknown.
    pub fn reserve(&mut self, now: Time, reservation: &Reservation) -> Option<Span> {
        self.advance(now);
        let rate = reservation.cost_per_microsecond;
        if rate <= 0.0 {
            return None;
        }
        let slot_capacity = rate * SLOT.as_f64() * RESERVED_FRACTION;
        // The backlog is served first, at the full rate, and must be gone when the client returns.
        let backlog_duration = Span(1).times(reservation.backlog.as_f64() / rate);
        let earliest = now + backlog_duration.max(MIN_RETRY_AFTER);
        let latest = now + reservation.max_retry_after;
        let first = self.slot_at(earliest)? + 1;
        let last = SLOTS.min(self.slot_at(latest)?);
        let cost = reservation.cost.as_f64();
        let slot = (first..last).find(|slot| self.fits(*slot, cost, slot_capacity))?;
        let offset = (self.reserved_in(slot) / slot_capacity).min(MAX_SLOT_OFFSET);
        self.add_cost(slot, cost, slot_capacity);
        let slot_start = self.start + Span(SLOT.0 * i64::try_from(slot).ok()?);
        let hinted_at = slot_start + SLOT.times(offset);
        if self.clients.len() >= MAX_CLIENTS.get() {
            self.clients.pop_lru();
        }
        self.clients.put(reservation.client, hinted_at);
        Some((hinted_at - now).min(reservation.max_retry_after))
    }

    fn slot_at(&self, at: Time) -> Option<usize> {
        usize::try_from((at - self.start).0 / SLOT.0).ok()
    }

    fn reserved_in(&self, slot: usize) -> f64 {
        self.slots.get(slot).copied().unwrap_or(0.0)
    }

    /// Whether a slot has capacity for a cost. A cost above the slot capacity fits only into an
    /// empty slot and spills into the following ones.
    fn fits(&self, slot: usize, cost: f64, slot_capacity: f64) -> bool {
        let reserved = self.reserved_in(slot);
        reserved + cost <= slot_capacity || reserved == 0.0 && cost > slot_capacity
    }

    /// Adds a cost to a slot and spills what exceeds the slot capacity into the following slots.
    fn add_cost(&mut self, slot: usize, cost: f64, slot_capacity: f64) {
        while self.slots.len() <= slot {
            self.slots.push_back(0.0);
        }
        self.slots[slot] += cost;
        let mut excess = self.slots[slot] - slot_capacity;
        for next in slot + 1..SLOTS {
            if excess <= 0.0 {
                break;
            }
            if self.slots.len() <= next {
                self.slots.push_back(0.0);
            }
            self.slots[next] += excess.min(slot_capacity);
            excess -= slot_capacity;
        }
    }

    /// Cost reserved within `span` from `now`, weighted by the fraction of hints that clients
    /// honour.
    #[must_use]
    pub fn reserved_cost(&self, now: Time, span: Span) -> Span {
        let first = self.slot_at(now).unwrap_or(0);
        let end = self.slot_at(now + span).unwrap_or(0) + 1;
        let reserved: f64 = self.slots.iter().take(end).skip(first).sum();
        Span(1).times(reserved * self.honoured_fraction)
    }

    /// Uses up the reservation of a client that returns within the tolerance around its hint.
    /// Returns the time of the hint, or `None` if the client has no hint or is too early or too
    /// late.
    pub fn use_reservation(&mut self, now: Time, client: u64) -> Option<Time> {
        self.advance(now);
        let hinted_at = *self.clients.peek(&client)?;
        let is_early = now < hinted_at - EARLY_TOLERANCE;
        let is_late = now > hinted_at + LATE_TOLERANCE;
        if is_early || is_late {
            return None;
        }
        self.clients.pop(&client);
        self.honoured_fraction += HONOURED_GAIN * (1.0 - self.honoured_fraction);
        Some(hinted_at)
    }
}
