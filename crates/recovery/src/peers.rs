//! The list of servers asked of other gateways, where none is held: in pieces, of one at a time, within a budget at those asked.
//!
//! Nobody waits for it: who holds no list refuses meanwhile as ever, and those that start together with nobody to ask hear
//! "nothing" from each other and go on. Only a list that discovery itself has confirmed is told, with how long ago, so that
//! hearsay does not go round; what is told is a guess, taken where nothing is held and replaced by discovery's word.
//! Datagrams may be lost, late, doubled or from another than was asked: a piece counts only if it is the next of the one asked.

use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use valehatch_policy::{Span, Time};

use crate::book::{DiscoveredEndpoint, EndpointListCache};
use crate::trust::{Belief, Source, Trust, trust};

/// Bytes of a datagram at the most, less what the link puts in front.
pub const MOST: usize = 248;
/// How long a piece is waited for at first; doubled with each try, and how many tries one gateway gets.
const PATIENCE: Span = Span::from_millis(200);
const TRIES: u32 = 5;
/// Gateways that are asked one after the other; then a pause, doubled each time up to the longest.
const ASKED: usize = 3;
const PAUSE: Span = Span::from_millis(2_000);
const LONGEST: Span = Span::from_millis(30_000);
/// Bytes a second that one gateway tells others, of all that ask together.
pub const TELLS_S: f64 = 16_384.0;
/// Servers of a list that is taken; one that claims more is not a list of this platform.
const SERVERS: u16 = 10_000;

#[derive(Debug, Serialize, Deserialize)]
enum Said {
    /// Whom does that front list, from this place in the list on?
    Ask { front: u32, at: u16 },
    /// These, of so many; told by discovery at an address, up to a version, so long ago.
    Piece {
        front: u32,
        told: (SocketAddr, u64),
        age_ms: u32,
        at: u16,
        of: u16,
        listed: Vec<DiscoveredEndpoint>,
    },
    /// I hold none that discovery has confirmed.
    Nothing { front: u32 },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send this to that gateway.
    Send { to: SocketAddr, bytes: Vec<u8> },
    /// A whole list was told for a front, by its place.
    Learned {
        front: usize,
        listed: Vec<DiscoveredEndpoint>,
        told: (SocketAddr, u64),
    },
}

/// What a gateway can tell of a front: its list, and how long ago discovery confirmed it.
pub type Telling<'a> = Option<(&'a EndpointListCache, Span)>;

#[derive(Debug, Default)]
struct Asking {
    /// Those still to be asked in this round, the one that is being asked last.
    whom: Vec<SocketAddr>,
    got: Vec<DiscoveredEndpoint>,
    told: Option<(SocketAddr, u64)>,
    tries: u32,
    /// When to ask, again or at all.
    at: Time,
    pause: Span,
}

#[derive(Debug)]
struct Front {
    mark: u32,
    asking: Option<Asking>,
}

/// What one gateway asks and tells.
#[derive(Debug)]
pub struct Peers {
    fronts: Vec<Front>,
    rng: Xoshiro256PlusPlus,
    purse: f64,
    purse_at: Time,
}

impl Peers {
    /// `marks` tell fronts apart over gateways: by name, since each may list its own in its own order.
    #[must_use]
    pub fn new(marks: &[u32], seed: u64, now: Time) -> Self {
        Self {
            fronts: marks
                .iter()
                .map(|mark| Front {
                    mark: *mark,
                    asking: None,
                })
                .collect(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            purse: TELLS_S,
            purse_at: now,
        }
    }

    /// When [`Self::tick`] wants to be called next, if it does.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.fronts
            .iter()
            .filter_map(|f| f.asking.as_ref())
            .map(|a| a.at)
            .min()
    }

    /// Time has passed; `wants` says of a front whether it holds no list, `living` are those that can be asked.
    pub fn tick(
        &mut self,
        now: Time,
        wants: impl Fn(usize) -> bool,
        living: impl Fn() -> Vec<SocketAddr>,
        out: &mut Vec<Effect>,
    ) {
        for place in 0..self.fronts.len() {
            if !wants(place) {
                self.fronts[place].asking = None;
                continue;
            }
            let mark = self.fronts[place].mark;
            // Those that start together do not ask together.
            let jitter = PATIENCE.times(f64::from(self.rng.next_u32()) / f64::from(u32::MAX));
            let new = || Asking {
                at: now + jitter,
                pause: PAUSE,
                ..Asking::default()
            };
            let mut asking = self.fronts[place].asking.take().unwrap_or_else(new);
            if now >= asking.at {
                self.go_on(&mut asking, mark, now, &living, out);
            }
            self.fronts[place].asking = Some(asking);
        }
    }

    fn go_on(
        &mut self,
        asking: &mut Asking,
        mark: u32,
        now: Time,
        living: impl Fn() -> Vec<SocketAddr>,
        out: &mut Vec<Effect>,
    ) {
        if asking.tries >= TRIES {
            asking.next();
            if asking.whom.is_empty() {
                return asking.rest(now);
            }
        }
        if asking.whom.is_empty() {
            let mut all = living();
            if all.is_empty() {
                asking.at = now + PATIENCE;
                return;
            }
            while asking.whom.len() < ASKED && !all.is_empty() {
                let at = self.rng.next_u64() % u64::try_from(all.len()).unwrap_or(1);
                asking
                    .whom
                    .push(all.swap_remove(usize::try_from(at).unwrap_or(0)));
            }
        }
        let Some(to) = asking.whom.last().copied() else {
            return;
        };
        asking.tries += 1;
        asking.at = now + Span(PATIENCE.0 << (asking.tries - 1).min(8));
        let at = u16::try_from(asking.got.len()).unwrap_or(u16::MAX);
        out.push(Effect::Send {
            to,
            bytes: encode(&Said::Ask { front: mark, at }),
        });
    }

    /// A datagram has come in; `tells` says of a front what can be told of it.
    pub fn receive<'a>(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        tells: impl Fn(usize) -> Telling<'a>,
        out: &mut Vec<Effect>,
    ) {
        let Ok((said, [])) = postcard::take_from_bytes::<Said>(bytes) else {
            return;
        };
        let place = |mark: u32| self.fronts.iter().position(|f| f.mark == mark);
        match said {
            Said::Ask { front, at } => {
                let answer = match place(front).and_then(tells) {
                    Some((book, age)) => piece(front, book, age, at),
                    None => encode(&Said::Nothing { front }),
                };
                if self.spend(answer.len(), now) {
                    out.push(Effect::Send {
                        to: from,
                        bytes: answer,
                    });
                }
            }
            Said::Nothing { front } => {
                let Some(asking) = place(front).and_then(|p| self.fronts[p].asking.as_mut()) else {
                    return;
                };
                if asking.whom.last() == Some(&from) {
                    asking.next();
                    asking.rest(now);
                }
            }
            Said::Piece {
                front,
                told,
                age_ms,
                at,
                of,
                listed,
            } => {
                let Some(place) = place(front) else { return };
                let Some(asking) = &mut self.fronts[place].asking else {
                    return;
                };
                if asking.whom.last() != Some(&from) || usize::from(at) != asking.got.len() {
                    return;
                }
                asking.pause = PAUSE;
                let age = Span::from_millis(age_ms.into());
                let good = trust(Belief::List, Source::Peer, Some(age)) >= Trust::Guess;
                if !good || of > SERVERS || listed.is_empty() && of > at {
                    asking.next();
                    return asking.rest(now);
                }
                // It has changed on the way: from its beginning again.
                if asking.told.is_some_and(|t| t != told) {
                    asking.got.clear();
                    asking.told = None;
                } else {
                    asking.told = Some(told);
                    asking.got.extend(listed);
                }
                if asking.got.len() >= usize::from(of) && asking.told.is_some() {
                    let listed = std::mem::take(&mut asking.got);
                    self.fronts[place].asking = None;
                    return out.push(Effect::Learned {
                        front: place,
                        listed,
                        told,
                    });
                }
                (asking.tries, asking.at) = (0, now);
            }
        }
    }

    fn spend(&mut self, bytes: usize, now: Time) -> bool {
        let gained = (now - self.purse_at).as_f64().max(0.0) / 1e6 * TELLS_S;
        (self.purse, self.purse_at) = ((self.purse + gained).min(TELLS_S), now.max(self.purse_at));
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let enough = self.purse >= bytes;
        if enough {
            self.purse -= bytes;
        }
        enough
    }
}

impl Asking {
    /// On to the next. What was told so far goes on if that one holds the same list.
    fn next(&mut self) {
        self.whom.pop();
        self.tries = 0;
    }

    /// The next at once, or all again after a while.
    fn rest(&mut self, now: Time) {
        self.at = now;
        if self.whom.is_empty() {
            self.at = now + self.pause;
            self.pause = Span(self.pause.0 * 2).min(LONGEST);
        }
    }
}

fn encode(said: &Said) -> Vec<u8> {
    // Only memory could fail it, and a datagram that is not sent is one that was lost.
    postcard::to_stdvec(said).unwrap_or_default()
}

/// As many servers as fit, from a place on.
fn piece(front: u32, book: &EndpointListCache, age: Span, at: u16) -> Vec<u8> {
    let Some(told) = book.told else {
        return encode(&Said::Nothing { front });
    };
    let of = u16::try_from(book.members().count()).unwrap_or(u16::MAX);
    let age_ms = u32::try_from(age.0 / 1000).unwrap_or(u32::MAX);
    let mut last = encode(&Said::Piece {
        front,
        told,
        age_ms,
        at,
        of,
        listed: vec![],
    });
    let mut listed = vec![];
    for server in book.members().skip(at.into()) {
        listed.push(server.clone());
        let said = Said::Piece {
            front,
            told,
            age_ms,
            at,
            of,
            listed: listed.clone(),
        };
        let next = encode(&said);
        if next.len() > MOST {
            break;
        }
        last = next;
    }
    last
}
