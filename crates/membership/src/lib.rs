//! Membership of the gateway fleet: SWIM with Lifeguard's suspicion timeouts and local health
//! multiplier. No I/O, no clock, no threads.
//!
//! Inputs are datagrams and the time in whole microseconds; outputs are [`Effect`]s. Each protocol
//! period, one member is pinged. If it does not answer, helpers are asked to ping it; if they get
//! no answer either, the member is suspected; if it does not refute the suspicion in time, it is
//! declared dead. Updates are piggybacked on these datagrams, and gateways periodically compare
//! their member tables (anti-entropy). Membership is a hint: correctness must not depend on it.
//!
//! Bounds: the member table holds at most [`Settings::max_members`] other gateways; a gateway
//! beyond that is ignored and counted in [`MessageCounters::table_full`]. At most
//! [`Settings::max_bytes_per_second`] bytes are sent per second on average, and twice as many in
//! any one second. A datagram beyond this budget is not sent, which has the same effect as a lost
//! datagram, and is counted in [`MessageCounters::rate_limited`].
//!
//! | module | contents |
//! | --- | --- |
//! | [`settings`] | settings and their validation |
//! | [`events`] | effects, events and counters |
//! | [`wire`] | messages and their encoding in a datagram |
//! | `failure_detector` | pings, indirect pings, suspicions, declarations of death, reconnection |
//! | [`suspicion`] | suspicion timeouts and the local health multiplier |
//! | [`gossip`] | the broadcast queue, merging of updates, sending |
//! | [`member_table`] | what is known about each gateway |
//! | `anti_entropy` | comparison of member tables (push/pull) |
//! | `local_member` | this gateway's own incarnation and refutation |
//! | [`view`] | whether all members agree on who is in the fleet |
//! | [`view_changes`] | the log of view changes |
//! | `queries` | read access for callers, pause detection, random selection |
//! | [`fleet_size`] | the fleet size by which shared quotas are divided |

#![forbid(unsafe_code)]

mod anti_entropy;
pub mod events;
mod failure_detector;
pub mod fleet_size;
pub mod gossip;
mod local_member;
pub mod member_table;
mod queries;
pub mod settings;
pub mod suspicion;
pub mod view;
pub mod view_changes;
pub mod wire;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_policy::Time;

use anti_entropy::{AntiEntropy, KnownUpdates, ReceivedPage};
use failure_detector::{DIRECT_PING_FRACTION, PingId, Probes};
use fleet_size::FleetSize;
use gossip::{BroadcastQueue, ByteBudget, GossipSchedule};
use local_member::LocalMember;
use member_table::MemberTable;
use queries::{random_below, random_fraction};
use suspicion::{LocalHealth, Suspicion};
use view::View;
use view_changes::MAX_CHANGES;
use wire::{
    AgreeingMembers, Datagram, Incarnation, MemberMetadata, MemberState, MemberUpdate, Message,
    Phase,
};

pub use events::{Effect, Load, MemberCounts, MembershipEvent, MessageCounters};
pub use settings::{InvalidSettings, Settings};

/// How long a dead or departed member stays in the member table, in periods.
const RETENTION_PERIODS: f64 = 1_200.0;
/// Gap between two calls, in periods, from which this process counts as having been paused.
const PAUSE_PERIODS: f64 = 3.0;
/// Number of members that are notified immediately of a graceful shutdown.
const LEAVE_FANOUT: usize = 6;
/// How long a member's disagreement prevents convergence of the view, in periods.
const DISAGREEMENT_PERIODS: f64 = 4.0;

/// The membership state of one gateway. The caller sends the datagrams and supplies the time.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    local: LocalMember,
    rng: Xoshiro256PlusPlus,
    table: MemberTable,
    /// Suspicions of the members in state [`MemberState::Suspect`].
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    broadcasts: BroadcastQueue,
    probes: Probes,
    health: LocalHealth,
    fleet_size: FleetSize,
    view: View,
    budget: ByteBudget,
    gossip_schedule: GossipSchedule,
    sync: AntiEntropy,
    /// Members still to be probed in the current round; the last element is next.
    probe_round: Vec<SocketAddr>,
    probe_at: Time,
    reconnect_at: Time,
    last_call_at: Time,
    counters: MessageCounters,
}

impl Membership {
    /// Creates the state of a gateway that has just started. `wall_ms` is the wall clock in Unix
    /// milliseconds, from which the first incarnation number is taken; it may be wrong.
    ///
    /// # Errors
    /// Returns [`InvalidSettings`] if a setting is out of range.
    pub fn new(
        settings: Settings,
        wall_ms: u64,
        seed: u64,
        now: Time,
    ) -> Result<Self, InvalidSettings> {
        settings.validate()?;
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let incarnation = Incarnation {
            number: wall_ms.min(Incarnation::MAX_NUMBER / 2),
            nonce: rng.next_u32(),
        };
        // A random delay keeps gateways that start together from probing at the same time.
        let first_probe = DIRECT_PING_FRACTION * random_fraction(&mut rng);
        let metadata = MemberMetadata {
            zone: settings.zone,
            version: settings.version,
            ..MemberMetadata::default()
        };
        let interval = settings.probe_interval;
        let address = settings.local_address;
        let disagreement_timeout = interval.times(DISAGREEMENT_PERIODS);
        let mut membership = Self {
            local: LocalMember::new(address, incarnation, metadata),
            table: MemberTable::new(settings.max_members, interval.times(RETENTION_PERIODS)),
            suspicions: BTreeMap::new(),
            broadcasts: BroadcastQueue::default(),
            probes: Probes::new(rng.next_u32()),
            health: LocalHealth::default(),
            fleet_size: FleetSize::new(settings.configured_fleet_size, settings.shrink_delay),
            view: View::new(address, MAX_CHANGES, disagreement_timeout, now),
            budget: ByteBudget::new(settings.max_bytes_per_second, now),
            gossip_schedule: GossipSchedule::new(now),
            sync: AntiEntropy::new(settings.has_no_other_seeds(), now),
            probe_round: vec![],
            probe_at: now + interval.times(first_probe),
            reconnect_at: now,
            last_call_at: now,
            counters: MessageCounters::default(),
            rng,
            settings,
        };
        membership.update_view_digest(now);
        Ok(membership)
    }

    /// When [`Self::tick`] is due next. Calling it earlier is harmless.
    #[must_use]
    pub fn next_due(&self) -> Time {
        // At least one call per period, so that a pause of this process can be told from having
        // nothing to do.
        let keep_alive = self.last_call_at + self.settings.probe_interval;
        self.suspicions
            .values()
            .map(Suspicion::deadline)
            .chain(self.probes.next_due())
            .chain(self.next_gossip_due())
            .chain([self.probe_at, self.reconnect_at, keep_alive])
            .min()
            .unwrap_or(self.last_call_at)
    }

    /// Performs all actions that are due: timeouts, probes, reconnection, anti-entropy and gossip.
    pub fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let now = self.detect_pause(now, effects);
        self.expire_suspicions(now, effects);
        self.continue_probes(now, effects);
        if now >= self.probe_at {
            self.start_probe(now, effects);
        }
        if now >= self.reconnect_at {
            self.reconnect(now, effects);
        }
        self.start_sync(now, effects);
        self.send_gossip(now, effects);
        self.update_convergence(now, effects);
    }

    /// Handles a received datagram. The caller checks that the sender is authorized.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let now = self.detect_pause(now, effects);
        let decoded = Datagram::decode(bytes).filter(|_| from != self.local.address);
        let Some(datagram) = decoded else {
            self.counters.malformed += 1;
            return;
        };
        self.counters.received += 1;
        self.apply_updates(from, &datagram, now, effects);
        self.update_view_digest(now);
        let agrees = self
            .view
            .on_agreement(&from, &datagram.agreement, self.table.live(), now);
        if !agrees {
            self.expedite_sync(now);
        }
        // A member that agrees but does not know yet that all members do is sent a datagram that
        // says so.
        let is_behind =
            agrees && self.view.all_agree() && datagram.agreement.members != AgreeingMembers::All;
        match datagram.message {
            Message::Gossip if is_behind => self.send(from, Message::Gossip, now, effects),
            Message::Gossip => {}
            message => self.on_message(from, message, &datagram.updates, now, effects),
        }
        self.update_convergence(now, effects);
    }

    fn on_message(
        &mut self,
        from: SocketAddr,
        message: Message,
        updates: &[MemberUpdate],
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let ping = |number| PingId {
            sender: from,
            number,
        };
        match message {
            Message::Ping(number) => self.send(from, Message::Ack(number), now, effects),
            Message::Ack(number) => self.on_ack(ping(number), now, effects),
            Message::Nack(number) => self.probes.on_nack(ping(number)),
            Message::IndirectPing(number, target) => {
                self.on_indirect_ping(ping(number), target, now, effects);
            }
            Message::SyncDigest(digest) => {
                self.on_sync_digest(from, u64::from_be_bytes(digest), now, effects);
            }
            Message::BucketDigests(digests) => {
                self.on_bucket_digests(from, &digests, now, effects);
            }
            Message::Pull {
                cursor,
                salt,
                known,
            } => {
                let hashes = &known[..];
                self.send_page(from, cursor, KnownUpdates { salt, hashes }, now, effects);
            }
            Message::PullPage { cursor, last } => {
                let page = ReceivedPage {
                    cursor,
                    last,
                    updates,
                };
                self.on_page(from, page, now, effects);
            }
            Message::InSync => self.on_in_sync(from, effects),
            Message::Gossip => {}
        }
    }

    /// Announces a graceful shutdown: some members are notified immediately, the others when they
    /// probe this gateway.
    pub fn leave(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let now = self.detect_pause(now, effects);
        self.local.state = MemberState::Left;
        for member in self.random_live_members(LEAVE_FANOUT, None) {
            self.send(member, Message::Gossip, now, effects);
        }
    }

    /// Announces a lifecycle phase to all members. An unchanged phase has no effect.
    pub fn set_phase(&mut self, phase: Phase, now: Time, effects: &mut Vec<Effect>) {
        let now = self.detect_pause(now, effects);
        if !self.local.set_phase(phase) {
            return;
        }
        self.broadcasts.add(self.local.update());
        self.update_convergence(now, effects);
    }
}
