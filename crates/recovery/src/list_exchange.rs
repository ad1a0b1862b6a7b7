//! Exchange of endpoint lists between gateways: a gateway without a cached list requests it in
//! chunks, from one gateway at a time; the answers of a gateway are limited by a byte budget.
//!
//! Inputs are time, datagrams, and the state of the caller's fronts; outputs are [`Effect`]s.
//! Nothing blocks on a list: a front without one rejects requests in the meantime, and gateways
//! that start together without any list answer each other that they have none. Only a list that
//! discovery has confirmed is sent to others, together with its age, so that no list circulates
//! among gateways forever. A received list is a hint until discovery replaces it.
//!
//! Datagrams of at most [`MAX_DATAGRAM_BYTES`] bytes may be lost, delayed, duplicated, or come from
//! another gateway than the one that was asked. A chunk is accepted only if it is the next one and
//! comes from the gateway that is being asked. The state is one request per front, with at most
//! [`MAX_ENDPOINTS`] endpoints.

use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use valehatch_policy::{Span, Time};

use crate::endpoint_list::{DiscoveredEndpoint, EndpointListCache, ListVersion};
use crate::trust::{KnowledgeKind, KnowledgeSource, TrustLevel, trust};

/// Maximum datagram size in bytes, without the header that the transport adds.
pub const MAX_DATAGRAM_BYTES: usize = 248;
/// Maximum rate of answers from one gateway to all others together, in bytes per second.
pub const ANSWER_BYTES_PER_SECOND: f64 = 16_384.0;
/// Timeout of the first attempt; doubled with each further attempt.
const REQUEST_TIMEOUT: Span = Span::from_millis(200);
/// Attempts per gateway before the next one is asked.
const MAX_ATTEMPTS: u32 = 5;
/// Number of gateways asked one after another in a round.
const CANDIDATES_PER_ROUND: usize = 3;
/// First backoff between rounds; doubled after each round.
const INITIAL_BACKOFF: Span = Span::from_millis(2_000);
/// Maximum backoff between rounds.
const MAX_BACKOFF: Span = Span::from_millis(30_000);
/// Maximum number of endpoints of an accepted list.
pub const MAX_ENDPOINTS: u16 = 10_000;

/// A datagram, encoded with postcard. The order of variants and fields is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Requests the list of a front, starting at this offset.
    Request { front_id: u32, offset: u16 },
    /// Answers a request with a part of the list.
    Chunk(Chunk),
    /// Answers a request: the sender has no list that discovery has confirmed.
    NoList { front_id: u32 },
}

/// A part of a front's list, encoded with postcard. The order of fields is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
struct Chunk {
    front_id: u32,
    version: ListVersion,
    /// Milliseconds since discovery confirmed the list.
    age_ms: u32,
    /// Index of the chunk's first endpoint in the list.
    offset: u16,
    /// Number of endpoints in the list.
    total: u16,
    endpoints: Vec<DiscoveredEndpoint>,
}

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram to a gateway.
    Send {
        /// Address of the receiving gateway.
        to: SocketAddr,
        /// Encoded datagram, at most [`MAX_DATAGRAM_BYTES`] bytes.
        bytes: Vec<u8>,
    },
    /// Use a list that was received completely.
    ListReceived {
        /// Index of the front, in the order passed to [`ListExchange::new`].
        front: usize,
        /// All endpoints of the list.
        endpoints: Vec<DiscoveredEndpoint>,
        /// Version of the list that the other gateway has from discovery.
        version: ListVersion,
    },
}

/// A list that discovery has confirmed, so that it may be sent to other gateways.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmedList<'a> {
    /// Endpoint list of a front.
    pub list: &'a EndpointListCache,
    /// Time since discovery last confirmed the list.
    pub age: Span,
}

/// A request for the list of one front, across all gateways that are asked for it.
#[derive(Debug, Default)]
struct ListRequest {
    /// Gateways still to be asked in this round; the last element is being asked.
    candidates: Vec<SocketAddr>,
    received: Vec<DiscoveredEndpoint>,
    /// Version of the list that `received` belongs to.
    version: Option<ListVersion>,
    /// Attempts at the gateway that is being asked.
    attempts: u32,
    next_attempt_at: Time,
    backoff: Span,
}

#[derive(Debug)]
struct Front {
    id: u32,
    request: Option<ListRequest>,
}

/// Token bucket for answers; its capacity is one second's worth.
#[derive(Debug)]
struct AnswerBudget {
    available_bytes: f64,
    refilled_at: Time,
}

impl AnswerBudget {
    fn try_acquire(&mut self, bytes: usize, now: Time) -> bool {
        let elapsed_s = (now - self.refilled_at).as_f64().max(0.0) / 1e6;
        let refill = elapsed_s * ANSWER_BYTES_PER_SECOND;
        self.available_bytes = (self.available_bytes + refill).min(ANSWER_BYTES_PER_SECOND);
        self.refilled_at = now.max(self.refilled_at);
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        if self.available_bytes < bytes {
            return false;
        }
        self.available_bytes -= bytes;
        true
    }
}

/// Requests the lists of this gateway's fronts, and answers the requests of other gateways.
#[derive(Debug)]
pub struct ListExchange {
    fronts: Vec<Front>,
    rng: Xoshiro256PlusPlus,
    budget: AnswerBudget,
}

impl ListExchange {
    /// Creates an exchange for these fronts. `front_ids` identify the fronts across gateways by a
    /// hash of their names, since each gateway may configure its fronts in another order.
    #[must_use]
    pub fn new(front_ids: &[u32], seed: u64, now: Time) -> Self {
        let front = |id: &u32| Front {
            id: *id,
            request: None,
        };
        Self {
            fronts: front_ids.iter().map(front).collect(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            budget: AnswerBudget {
                available_bytes: ANSWER_BYTES_PER_SECOND,
                refilled_at: now,
            },
        }
    }

    /// When [`Self::tick`] is due next; `None` if no request is in progress.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.fronts
            .iter()
            .filter_map(|front| front.request.as_ref())
            .map(|request| request.next_attempt_at)
            .min()
    }

    /// Starts and continues requests. `needs_list` returns whether the front with this index has no
    /// list; `live_gateways` returns the gateways that can be asked.
    pub fn tick(
        &mut self,
        now: Time,
        needs_list: impl Fn(usize) -> bool,
        live_gateways: impl Fn() -> Vec<SocketAddr>,
        effects: &mut Vec<Effect>,
    ) {
        for index in 0..self.fronts.len() {
            if !needs_list(index) {
                self.fronts[index].request = None;
                continue;
            }
            let front_id = self.fronts[index].id;
            // A random delay keeps gateways that start together from asking at the same time.
            let jitter = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            let new_request = || ListRequest {
                next_attempt_at: now + REQUEST_TIMEOUT.times(jitter),
                backoff: INITIAL_BACKOFF,
                ..ListRequest::default()
            };
            let mut request = self.fronts[index]
                .request
                .take()
                .unwrap_or_else(new_request);
            if now >= request.next_attempt_at {
                self.continue_request(&mut request, front_id, now, &live_gateways, effects);
            }
            self.fronts[index].request = Some(request);
        }
    }

    fn continue_request(
        &mut self,
        request: &mut ListRequest,
        front_id: u32,
        now: Time,
        live_gateways: impl Fn() -> Vec<SocketAddr>,
        effects: &mut Vec<Effect>,
    ) {
        if request.attempts >= MAX_ATTEMPTS {
            request.skip_candidate();
            if request.candidates.is_empty() {
                return request.schedule_next(now);
            }
        }
        if request.candidates.is_empty() {
            let gateways = live_gateways();
            if gateways.is_empty() {
                request.next_attempt_at = now + REQUEST_TIMEOUT;
                return;
            }
            request.candidates = self.random_candidates(gateways);
        }
        let Some(to) = request.candidates.last().copied() else {
            return;
        };
        request.attempts += 1;
        let timeout = Span(REQUEST_TIMEOUT.0 << (request.attempts - 1).min(8));
        request.next_attempt_at = now + timeout;
        let offset = u16::try_from(request.received.len()).unwrap_or(u16::MAX);
        let bytes = encode(&Message::Request { front_id, offset });
        effects.push(Effect::Send { to, bytes });
    }

    fn random_candidates(&mut self, mut gateways: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut selected = vec![];
        while selected.len() < CANDIDATES_PER_ROUND && !gateways.is_empty() {
            let index = self.rng.next_u64() % u64::try_from(gateways.len()).unwrap_or(1);
            selected.push(gateways.swap_remove(usize::try_from(index).unwrap_or(0)));
        }
        selected
    }

    /// Handles a received datagram; bytes that are not a datagram of this exchange are ignored.
    /// `confirmed_list` returns the list of the front with this index if it may be sent to others.
    pub fn receive<'a>(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        confirmed_list: impl Fn(usize) -> Option<ConfirmedList<'a>>,
        effects: &mut Vec<Effect>,
    ) {
        let Ok((message, [])) = postcard::take_from_bytes::<Message>(bytes) else {
            return;
        };
        let index_of = |id: u32| self.fronts.iter().position(|front| front.id == id);
        match message {
            Message::Request { front_id, offset } => {
                let answer = match index_of(front_id).and_then(confirmed_list) {
                    Some(confirmed) => encode_chunk(front_id, confirmed, offset),
                    None => encode(&Message::NoList { front_id }),
                };
                if self.budget.try_acquire(answer.len(), now) {
                    effects.push(Effect::Send {
                        to: from,
                        bytes: answer,
                    });
                }
            }
            Message::NoList { front_id } => {
                if let Some(request) = self.request_to(front_id, from) {
                    request.skip_candidate();
                    request.schedule_next(now);
                }
            }
            Message::Chunk(chunk) => self.on_chunk(now, from, chunk, effects),
        }
    }

    fn on_chunk(&mut self, now: Time, from: SocketAddr, chunk: Chunk, effects: &mut Vec<Effect>) {
        let Chunk {
            front_id,
            version,
            total,
            ..
        } = chunk;
        let Some(request) = self.request_to(front_id, from) else {
            return;
        };
        if usize::from(chunk.offset) != request.received.len() {
            return;
        }
        request.backoff = INITIAL_BACKOFF;
        let age = Some(Span::from_millis(chunk.age_ms.into()));
        let trust = trust(KnowledgeKind::EndpointList, KnowledgeSource::Peer, age);
        let ends_early = chunk.endpoints.is_empty() && total > chunk.offset;
        if trust < TrustLevel::Hint || total > MAX_ENDPOINTS || ends_early {
            request.skip_candidate();
            return request.schedule_next(now);
        }
        request.append(version, chunk.endpoints);
        if request.received.len() < usize::from(total) || request.version.is_none() {
            request.attempts = 0;
            request.next_attempt_at = now;
            return;
        }
        self.finish(front_id, version, effects);
    }

    /// The request for a front's list, if `from` is the gateway that is being asked.
    fn request_to(&mut self, front_id: u32, from: SocketAddr) -> Option<&mut ListRequest> {
        let front = self.fronts.iter_mut().find(|front| front.id == front_id)?;
        let request = front.request.as_mut()?;
        (request.candidates.last() == Some(&from)).then_some(request)
    }

    fn finish(&mut self, front_id: u32, version: ListVersion, effects: &mut Vec<Effect>) {
        let index = self.fronts.iter().position(|front| front.id == front_id);
        let Some(front) = index else { return };
        let Some(request) = self.fronts[front].request.take() else {
            return;
        };
        effects.push(Effect::ListReceived {
            front,
            endpoints: request.received,
            version,
        });
    }
}

impl ListRequest {
    /// Continues with the next gateway. Chunks received so far are kept, since the next gateway may
    /// have the same version.
    fn skip_candidate(&mut self) {
        self.candidates.pop();
        self.attempts = 0;
    }

    /// Schedules the next attempt: immediately if the round has gateways left, otherwise after a
    /// backoff.
    fn schedule_next(&mut self, now: Time) {
        self.next_attempt_at = now;
        if self.candidates.is_empty() {
            self.next_attempt_at = now + self.backoff;
            self.backoff = Span(self.backoff.0 * 2).min(MAX_BACKOFF);
        }
    }

    /// Appends a chunk. If its version differs from the chunks received so far, all of them are
    /// dropped and the list is requested from its beginning, since chunks of two versions must not
    /// be mixed.
    fn append(&mut self, version: ListVersion, endpoints: Vec<DiscoveredEndpoint>) {
        if self.version.is_some_and(|known| known != version) {
            self.received.clear();
            self.version = None;
        } else {
            self.version = Some(version);
            self.received.extend(endpoints);
        }
    }
}

fn encode(message: &Message) -> Vec<u8> {
    // Encoding fails only if memory is exhausted. The receiver ignores an empty datagram, which has
    // the same effect as a lost one.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Encodes a chunk with as many endpoints as fit into a datagram, starting at an offset.
fn encode_chunk(front_id: u32, confirmed: ConfirmedList<'_>, offset: u16) -> Vec<u8> {
    let ConfirmedList { list, age } = confirmed;
    let Some(version) = list.version else {
        return encode(&Message::NoList { front_id });
    };
    let total = u16::try_from(list.endpoints().count()).unwrap_or(u16::MAX);
    let age_ms = u32::try_from(age.0 / 1000).unwrap_or(u32::MAX);
    let chunk = |endpoints: &[DiscoveredEndpoint]| {
        encode(&Message::Chunk(Chunk {
            front_id,
            version,
            age_ms,
            offset,
            total,
            endpoints: endpoints.to_vec(),
        }))
    };
    let mut longest = chunk(&[]);
    let mut endpoints = vec![];
    for endpoint in list.endpoints().skip(offset.into()) {
        endpoints.push(endpoint.clone());
        let next = chunk(&endpoints);
        if next.len() > MAX_DATAGRAM_BYTES {
            break;
        }
        longest = next;
    }
    longest
}
