//! Endpoint lists requested from other gateways where none is cached: in chunks, from one gateway
//! at a time, within a byte budget at the gateways that answer.
//!
//! Inputs are time, datagrams, and what the caller says of its fronts; outputs are [`Effect`]s.
//! Nothing waits for a list: a front without one rejects requests meanwhile, and gateways that
//! start together without any list answer each other that they have none. Only a list that
//! discovery has confirmed is passed on, with its age, so that no list is passed from gateway to
//! gateway for ever. A received list is a hint until discovery replaces it.
//!
//! Datagrams of at most [`MAX_DATAGRAM_BYTES`] bytes may be lost, late, duplicated or from another
//! gateway than was asked: a chunk counts only if it is the next one of the gateway that is being
//! asked. The state is one request per front, of at most [`MAX_ENDPOINTS`] endpoints.

use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use valehatch_policy::{Span, Time};

use crate::endpoint_list::{DiscoveredEndpoint, EndpointListCache, ListVersion};
use crate::trust::{KnowledgeKind, KnowledgeSource, TrustLevel, trust};

/// Longest datagram, in bytes; the transport adds its header.
pub const MAX_DATAGRAM_BYTES: usize = 248;
/// Bytes per second that one gateway sends in answers, to all gateways together.
pub const ANSWER_BYTES_PER_SECOND: f64 = 16_384.0;
/// Wait for the first answer; doubled with each attempt.
const REQUEST_TIMEOUT: Span = Span::from_millis(200);
/// Attempts at one gateway before the next one is asked.
const MAX_ATTEMPTS: u32 = 5;
/// Gateways asked one after the other before a pause.
const CANDIDATES_PER_ROUND: usize = 3;
/// First pause between rounds; doubled each time.
const FIRST_PAUSE: Span = Span::from_millis(2_000);
/// Longest pause between rounds.
const LONGEST_PAUSE: Span = Span::from_millis(30_000);
/// Endpoints of a list that is accepted.
pub const MAX_ENDPOINTS: u16 = 10_000;

/// A datagram. The order of variants and fields is the byte form (postcard).
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Requests the list of a front from this offset on.
    Request { front_id: u32, offset: u16 },
    /// A part of the list.
    Chunk(Chunk),
    /// The sender has no list that discovery has confirmed.
    NoList { front_id: u32 },
}

/// A part of a front's list. The order of fields is the byte form (postcard).
#[derive(Debug, Serialize, Deserialize)]
struct Chunk {
    front_id: u32,
    version: ListVersion,
    /// Milliseconds since discovery confirmed the list.
    age_ms: u32,
    /// Index of the first endpoint in the whole list.
    offset: u16,
    /// Endpoints in the whole list.
    total: u16,
    endpoints: Vec<DiscoveredEndpoint>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram to a gateway.
    Send {
        /// The gateway's address.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A list was received completely.
    ListReceived {
        /// Index of the front, in the order given to [`ListExchange::new`].
        front: usize,
        /// The endpoints.
        endpoints: Vec<DiscoveredEndpoint>,
        /// The version that the other gateway had from discovery.
        version: ListVersion,
    },
}

/// A list that discovery has confirmed, and so may be passed on.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmedList<'a> {
    /// The list.
    pub list: &'a EndpointListCache,
    /// Time since discovery confirmed it.
    pub age: Span,
}

/// A request for one front's list, over all gateways that are asked for it.
#[derive(Debug, Default)]
struct ListRequest {
    /// Gateways still to ask in this round; the last one is being asked.
    candidates: Vec<SocketAddr>,
    received: Vec<DiscoveredEndpoint>,
    /// The version of what was received.
    version: Option<ListVersion>,
    /// Attempts at the gateway that is being asked.
    attempts: u32,
    next_attempt_at: Time,
    pause: Span,
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

/// Both sides of the exchange in one gateway.
#[derive(Debug)]
pub struct ListExchange {
    fronts: Vec<Front>,
    rng: Xoshiro256PlusPlus,
    budget: AnswerBudget,
}

impl ListExchange {
    /// `front_ids` identify the fronts across gateways (a hash of their names), since each gateway
    /// may list its fronts in its own order.
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

    /// When [`Self::tick`] is due next; `None` if there is nothing to request.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.fronts
            .iter()
            .filter_map(|front| front.request.as_ref())
            .map(|request| request.next_attempt_at)
            .min()
    }

    /// Starts and continues requests. `needs_list` says of a front, by index, whether it has no
    /// list; `live_gateways` are the gateways that can be asked.
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
            // Gateways that start together must not all ask at the same time.
            let jitter = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            let new_request = || ListRequest {
                next_attempt_at: now + REQUEST_TIMEOUT.times(jitter),
                pause: FIRST_PAUSE,
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
            request.candidates = self.draw_candidates(gateways);
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

    fn draw_candidates(&mut self, mut gateways: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut drawn = vec![];
        while drawn.len() < CANDIDATES_PER_ROUND && !gateways.is_empty() {
            let index = self.rng.next_u64() % u64::try_from(gateways.len()).unwrap_or(1);
            drawn.push(gateways.swap_remove(usize::try_from(index).unwrap_or(0)));
        }
        drawn
    }

    /// Handles a datagram; bytes that are no datagram of this exchange are ignored.
    /// `confirmed_list` gives the list of a front, by index, if it may be passed on.
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
        request.pause = FIRST_PAUSE;
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

    /// The request for a front's list, if this gateway is the one being asked.
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
    /// Goes on to the next gateway. What was received so far is kept: the next one may have the
    /// same version.
    fn skip_candidate(&mut self) {
        self.candidates.pop();
        self.attempts = 0;
    }

    /// Asks the next gateway at once, or starts a new round after a pause.
    fn schedule_next(&mut self, now: Time) {
        self.next_attempt_at = now;
        if self.candidates.is_empty() {
            self.next_attempt_at = now + self.pause;
            self.pause = Span(self.pause.0 * 2).min(LONGEST_PAUSE);
        }
    }

    /// Appends a chunk. If the list changed since the last one, what was received is dropped and
    /// the list is requested from its beginning: chunks of two versions must not be mixed.
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
    // Encoding fails only without memory; an empty datagram is dropped by the receiver like a lost
    // one.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// As many endpoints as fit into a datagram, from an offset on.
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
