//! Membership: which gateways there are. SWIM with Lifeguard's suspicion timeouts and local health.
//! No I/O, no clock, no threads.
//!
//! Inputs are datagrams and time, in whole microseconds; outputs are [`Effect`]s. Each period one
//! member is pinged. If it does not answer, helpers are asked to ping it; if they get no answer
//! either, it is suspected; if it does not refute the suspicion in time, it is declared dead.
//! Updates come along with these datagrams, and now and then gateways compare what they know. What
//! is known here is a hint: nothing that must be true may rest on it.
//!
//! Bounds: at most [`Settings::max_members`] other gateways are known; one more is ignored and
//! counted in [`MessageCounters::table_full`]. At most [`Settings::max_bytes_per_second`] bytes are
//! sent per second on average, and twice as many in any one second; what is beyond is not sent,
//! which is the same as lost, and counted in [`MessageCounters::rate_limited`].
//!
//! | module | contents |
//! | --- | --- |
//! | [`settings`] | settings and their validation |
//! | [`events`] | effects, events and counters |
//! | [`wire`] | messages and their form in a datagram |
//! | `failure_detector` | pings, indirect pings, suspicion and death, reconnection |
//! | [`suspicion`] | suspicion timeouts and the local health multiplier |
//! | [`gossip`] | the broadcast queue, merging of updates, sending |
//! | [`member_table`] | what is known about each gateway |
//! | `anti_entropy` | comparison of member tables (push/pull) |
//! | `local_member` | this gateway's own incarnation and refutation |
//! | [`view`] | whether all members agree on who is in the fleet |
//! | [`view_changes`] | changes of the view for readers |
//! | `queries` | what a caller can read, pauses, and random choices |
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
use gossip::{BroadcastQueue, ByteBudget, SpreadState};
use local_member::LocalMember;
use member_table::MemberTable;
use queries::{draw_below, draw_fraction};
use suspicion::{LocalHealth, Suspicion};
use view::View;
use view_changes::MAX_CHANGES;
use wire::{
    AgreeingMembers, Datagram, Incarnation, MemberMetadata, MemberState, MemberUpdate, Message,
    Phase,
};

pub use events::{Effect, Load, MemberCounts, MembershipEvent, MessageCounters};
pub use settings::{InvalidSettings, Settings};

/// How long a gone member is remembered, in periods.
const RETENTION_PERIODS: f64 = 1_200.0;
/// Periods between two calls from which on this process counts as paused.
const PAUSE_PERIODS: f64 = 3.0;
/// Members that are notified at once of a graceful shutdown.
const LEAVE_FANOUT: usize = 6;
/// How long the disagreement of a member counts, in periods.
const DISAGREEMENT_PERIODS: f64 = 4.0;

/// What one gateway knows about the others. The caller sends the datagrams and keeps the time.
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
    spread: SpreadState,
    sync: AntiEntropy,
    /// Members still to be probed in this round, the last one next.
    probe_round: Vec<SocketAddr>,
    probe_at: Time,
    reconnect_at: Time,
    last_call_at: Time,
    counters: MessageCounters,
}

impl Membership {
    /// A gateway that has just started. `wall_ms` is the wall clock in Unix milliseconds, for the
    /// first incarnation; it may be wrong.
    ///
    /// # Errors
    /// Each variant of [`InvalidSettings`].
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
        // Gateways that start together must not probe at the same time.
        let first_probe = DIRECT_PING_FRACTION * draw_fraction(&mut rng);
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
            spread: SpreadState::new(now),
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

    /// When [`Self::tick`] is due next. An earlier call does no harm.
    #[must_use]
    pub fn next_due(&self) -> Time {
        // At least once a period, so that a pause of this process differs from having nothing to
        // do.
        let keep_alive = self.last_call_at + self.settings.probe_interval;
        self.suspicions
            .values()
            .map(Suspicion::deadline)
            .chain(self.probes.next_due())
            .chain(self.next_spread())
            .chain([self.probe_at, self.reconnect_at, keep_alive])
            .min()
            .unwrap_or(self.last_call_at)
    }

    /// Does what is due.
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
        self.spread(now, effects);
        self.update_convergence(now, effects);
    }

    /// Handles a datagram. Whether its sender may send any is checked by the caller.
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
        // A member that agrees, but does not know yet that all do, gets a datagram that says so.
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

    /// Announces a graceful shutdown: some members are notified at once, others when they probe
    /// this gateway.
    pub fn leave(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let now = self.detect_pause(now, effects);
        self.local.state = MemberState::Left;
        for member in self.draw_live(LEAVE_FANOUT, None) {
            self.send(member, Message::Gossip, now, effects);
        }
    }

    /// Announces a lifecycle phase to all members.
    pub fn set_phase(&mut self, phase: Phase, now: Time, effects: &mut Vec<Effect>) {
        let now = self.detect_pause(now, effects);
        if !self.local.set_phase(phase) {
            return;
        }
        self.broadcasts.add(self.local.update());
        self.update_convergence(now, effects);
    }
}
