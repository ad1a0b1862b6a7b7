//! Return hints: a calendar of a tenant's future capacity. Each hint reserves the cost of its request in the first slot
//! that has room behind what waits already, and is spread within the slot, so that a crowd that obeys to the millisecond
//! comes as a stream. A reservation that is not used is given back by time passing.

use std::num::NonZeroUsize;

use lru::LruCache;
use siphasher::sip::SipHasher13;
use std::hash::BuildHasherDefault;
use valehatch_policy::{Span, Time};

/// A slot.
const SLOT: Span = Span::from_millis(100);
/// No hint is shorter: a place comes free when a request ends, and a short hint would be off by much of itself.
const LEAST: Span = Span::from_millis(300);
/// Slots ahead that are looked at.
const SLOTS: usize = 128;
/// Part of the capacity that is given away: the rest is for those who come unasked.
const GIVEN: f64 = 0.6;
/// Clients that are remembered.
const CLIENTS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();
/// How much later than hinted, or sooner, a client may come and still has its place.
const EARLY: Span = Span::from_millis(50);
const LATE: Span = Span::from_millis(1_000);

/// Smoothing of the part that is kept, and where it begins.
const GAIN: f64 = 0.02;
const KEPT_AT_FIRST: f64 = 0.5;

/// A tenant's calendar in a lane.
#[derive(Debug)]
pub struct RetryAfterCalendar {
    /// Cost reserved in each slot, the first of them beginning here.
    slots: std::collections::VecDeque<f64>,
    begin: Time,
    /// The part of the hints of late that were kept.
    kept: f64,
    /// When each client was told to come.
    clients: LruCache<u64, Time, BuildHasherDefault<SipHasher13>>,
}

impl RetryAfterCalendar {
    /// Nothing is reserved. It grows with the slots that are looked at and with the clients that are remembered.
    #[must_use]
    pub fn new(now: Time) -> Self {
        let clients = LruCache::unbounded_with_hasher(BuildHasherDefault::default());
        Self {
            slots: std::collections::VecDeque::new(),
            begin: now,
            kept: KEPT_AT_FIRST,
            clients,
        }
    }

    fn turn(&mut self, now: Time) {
        let passed = usize::try_from((now - self.begin).0 / SLOT.0).unwrap_or(0);
        if passed > 0 {
            self.slots.drain(..passed.min(self.slots.len()));
            self.begin = self.begin + Span(SLOT.0 * i64::try_from(passed).unwrap_or(0));
        }
        while self
            .clients
            .peek_lru()
            .is_some_and(|(_, at)| *at + LATE < now)
        {
            self.clients.pop_lru();
            self.kept -= GAIN * self.kept;
        }
    }

    /// Reserves a cost behind a backlog, at a rate; how long until then. `None` if there is no room within the most.
    pub fn reserve(
        &mut self,
        now: Time,
        client: u64,
        cost: Span,
        backlog: Span,
        rate: f64,
        most: Span,
    ) -> Option<Span> {
        self.turn(now);
        if rate <= 0.0 {
            return None;
        }
        let capacity = rate * SLOT.as_f64() * GIVEN;
        // What waits is served first, at the whole rate; whoever comes back must find it gone.
        let clear = Span(1).times(backlog.as_f64() / rate);
        let first = usize::try_from((now + clear.max(LEAST) - self.begin).0 / SLOT.0).ok()? + 1;
        let last = SLOTS.min(usize::try_from((now + most - self.begin).0 / SLOT.0).ok()?);
        // One that costs more than a slot holds takes a slot that is still empty, and those behind it.
        let place = (first..last).find(|n| {
            let held = self.slots.get(*n).copied().unwrap_or(0.0);
            held + cost.as_f64() <= capacity || held == 0.0 && cost.as_f64() > capacity
        })?;
        while self.slots.len() <= place {
            self.slots.push_back(0.0);
        }
        let within = (self.slots[place] / capacity).min(0.99);
        self.slots[place] += cost.as_f64();
        let mut spill = self.slots[place] - capacity;
        for n in place + 1..SLOTS {
            if spill <= 0.0 {
                break;
            }
            if self.slots.len() <= n {
                self.slots.push_back(0.0);
            }
            self.slots[n] += spill.min(capacity);
            spill -= capacity;
        }
        let slots = Span(SLOT.0 * i64::try_from(place).ok()?);
        let at = self.begin + slots + SLOT.times(within);
        if self.clients.len() >= CLIENTS.get() {
            self.clients.pop_lru();
        }
        self.clients.put(client, at);
        Some((at - now).min(most))
    }

    /// Cost that is reserved from now on for so long, as far as hints are kept: what nobody comes for is given to others.
    #[must_use]
    pub fn held(&self, now: Time, span: Span) -> Span {
        let place = |at: Time| usize::try_from((at - self.begin).0 / SLOT.0).unwrap_or(0);
        let (from, to) = (place(now), place(now + span) + 1);
        Span(1).times(self.slots.iter().take(to).skip(from).sum::<f64>() * self.kept)
    }

    /// A client has come: when it was told to, if it keeps that.
    pub fn take(&mut self, now: Time, client: u64) -> Option<Time> {
        self.turn(now);
        let at = *self.clients.peek(&client)?;
        let keeps = now >= at - EARLY && now <= at + LATE;
        if keeps {
            self.clients.pop(&client);
            self.kept += GAIN * (1.0 - self.kept);
        }
        keeps.then_some(at)
    }
}
