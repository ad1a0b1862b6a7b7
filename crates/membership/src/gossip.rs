//! What is passed on: each word a bounded number of times, the least often told first.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::wire::MemberUpdate;

/// Tellings of a word in powers of ten of the fleet: enough that each hears it with a probability near one.
const TELLINGS: u32 = 4;
/// Where more words than this wait, each is told this often and no more: comparing brings the rest, and to each only what it
/// lacks. A start of a thousand would else have every one of them tell each word sixteen times.
pub const MANY: usize = 64;
const FEW: u32 = 2;

/// Words that are still to be passed on, one for each gateway at the most: a newer one takes the older one's place.
#[derive(Debug, Default)]
pub struct Gossip {
    words: BTreeMap<SocketAddr, Rank>,
    /// In the order in which they are told: what was told least often, the newest first.
    order: BTreeMap<Rank, MemberUpdate>,
    added: u64,
}

/// Tellings, and how early it was added, the last first.
type Rank = (u32, u64);

impl Gossip {
    /// Something new to be told.
    pub fn add(&mut self, rumor: MemberUpdate) {
        self.forget(&rumor.about);
        self.added += 1;
        let rank = (0, u64::MAX - self.added);
        self.order.insert(rank, rumor);
        self.words.insert(rumor.about, rank);
    }

    /// Nothing more is said of one that is forgotten.
    pub fn forget(&mut self, about: &SocketAddr) {
        if let Some(rank) = self.words.remove(about) {
            self.order.remove(&rank);
        }
    }

    /// What to tell next, so many at the most.
    pub fn next(&self, most: usize) -> impl Iterator<Item = MemberUpdate> {
        self.order.values().take(most).copied()
    }

    /// These were told, in a fleet of so many; what was told often enough is let go.
    pub fn told(&mut self, rumors: &[MemberUpdate], fleet: usize) {
        let most = if self.words.len() > MANY {
            FEW
        } else {
            TELLINGS * (1 + fleet.max(1).ilog10())
        };
        for rumor in rumors {
            let Some(rank) = self.words.get_mut(&rumor.about) else {
                continue;
            };
            if self.order.get(rank) != Some(rumor) {
                continue;
            }
            self.order.remove(rank);
            rank.0 += 1;
            if rank.0 >= most {
                self.words.remove(&rumor.about);
            } else {
                self.order.insert(*rank, *rumor);
            }
        }
    }

    /// Words that are still to be told.
    #[must_use]
    pub fn len(&self) -> usize {
        self.words.len()
    }

    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }
}
