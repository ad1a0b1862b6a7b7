//! Anti-entropy: two gateways compare their member tables, and each sends the updates that the
//! other lacks (push/pull).
//!
//! Inputs are time (whole microseconds) and messages from the other gateway; outputs are effects.
//! This gateway runs at most one session of its own at a time; answering a session that another
//! gateway has started needs no state.
//!
//! 1. The initiator sends the digest of its table. If the tables are equal, the answer is `InSync`.
//! 2. Otherwise, the responder sends a small table immediately, and the bucket digests of a larger
//!    one.
//! 3. The initiator pulls the buckets that differ, page by page, and lists the updates that it has
//!    already, by hash.
//! 4. If the table is a single bucket, the initiator sends back the updates that the responder
//!    lacks.
//!
//! A session ends if the next page does not arrive within a period.

use std::net::SocketAddr;

use rand_core::RngCore;
use valehatch_policy::Time;

use crate::events::{Effect, MembershipEvent};
use crate::gossip::MAX_UPDATES_PER_DATAGRAM;
use crate::member_table::{BUCKETS, Member, bucket_of, hash_with, member_digest};
use crate::wire::{MemberState, MemberUpdate, Message, SyncCursor};
use crate::{Membership, random_below, random_fraction};

/// Periods between sessions, on average.
const SYNC_PERIODS: f64 = 10.0;
/// Fraction of the byte budget that pages and pushed updates may use. Pages contain only what the
/// receiver lacks, so their share is larger than that of gossip.
const SYNC_BUDGET_FRACTION: f64 = 0.75;
/// Maximum number of hashes of known updates in a pull. If more updates are known, none is listed.
/// With all other fields at their maximum length, the datagram has 245 bytes.
const MAX_KNOWN_HASHES: usize = 50;
/// Approximate number of members per bucket of a table that is compared bucket by bucket.
const MEMBERS_PER_BUCKET: usize = 16;

/// Cursor of a session that has only sent a digest: the number of buckets is not known yet.
const DIGEST_SENT: SyncCursor = SyncCursor {
    bucket: 0,
    bucket_count: 0,
    after: None,
};
/// Cursor at the start of a table that is a single bucket.
const ENTIRE_TABLE: SyncCursor = SyncCursor {
    bucket: 0,
    bucket_count: 1,
    after: None,
};

/// A session that this gateway has started.
#[derive(Clone, Debug)]
struct SyncSession {
    with: SocketAddr,
    /// The last requested page, or [`DIGEST_SENT`].
    cursor: SyncCursor,
    /// Differing buckets still to be pulled; the last element is next.
    remaining: Vec<u8>,
    /// When the session ends unless the next message has arrived.
    expires_at: Time,
}

impl SyncSession {
    const fn awaits_digest_answer(&self) -> bool {
        self.cursor.bucket_count == DIGEST_SENT.bucket_count
    }

    /// Whether a page answers the last message. A small table is sent immediately in answer to the
    /// digest.
    fn expects(&self, page: SyncCursor) -> bool {
        self.cursor == page || self.awaits_digest_answer() && page.bucket_count == 1
    }
}

/// The session in progress, and when the next one starts.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    session: Option<SyncSession>,
    /// Whether this gateway has completed a session since its start or the last pause, or knows no
    /// other gateway to sync with.
    pub(crate) synced: bool,
    next_at: Time,
    last_started_at: Time,
}

impl AntiEntropy {
    pub(crate) const fn new(synced: bool, now: Time) -> Self {
        Self {
            session: None,
            synced,
            next_at: now,
            last_started_at: now,
        }
    }

    /// Drops the session and schedules a new one immediately, after this process has paused.
    pub(crate) fn restart(&mut self, synced: bool, now: Time) {
        self.session = None;
        self.synced = synced;
        self.next_at = now;
    }

    /// Takes the session with a gateway if it is in the expected state.
    fn take_session(
        &mut self,
        with: SocketAddr,
        is_expected: impl Fn(&SyncSession) -> bool,
    ) -> Option<SyncSession> {
        self.session
            .take_if(|session| session.with == with && is_expected(session))
    }
}

/// Salted hashes of the updates that the other gateway has already.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownUpdates<'a> {
    pub(crate) salt: u16,
    pub(crate) hashes: &'a [u16],
}

impl KnownUpdates<'_> {
    const NONE: KnownUpdates<'static> = KnownUpdates {
        salt: 0,
        hashes: &[],
    };

    fn contains(self, update: &MemberUpdate) -> bool {
        self.hashes.contains(&salted_hash(self.salt, update))
    }
}

/// A received page of the other gateway's table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedPage<'a> {
    pub(crate) cursor: SyncCursor,
    /// Whether this is the last page of the bucket.
    pub(crate) last: bool,
    pub(crate) updates: &'a [MemberUpdate],
}

impl Membership {
    /// Starts a session if one is due: with a member that disagrees on the view if there is one,
    /// otherwise with a random member.
    pub(crate) fn start_sync(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let interval = self.settings.probe_interval;
        let expired = self
            .sync
            .session
            .take_if(|session| now >= session.expires_at);
        if expired.is_some() {
            self.sync.next_at = self.sync.next_at.min(now + interval);
        }
        if now < self.sync.next_at || self.sync.session.is_some() || self.local.has_left() {
            return;
        }
        let disagreeing = self.view.disagreeing_member().filter(|_| self.sync.synced);
        let Some(with) = disagreeing.or_else(|| self.random_live_members(1, None).pop()) else {
            return;
        };
        let periods = if self.sync.synced {
            SYNC_PERIODS * (0.5 + random_fraction(&mut self.rng))
        } else {
            1.0
        };
        self.sync.next_at = now + interval.times(periods);
        self.sync.last_started_at = now;
        self.view.clear_disagreeing_member();
        self.sync.session = Some(SyncSession {
            with,
            cursor: DIGEST_SENT,
            remaining: vec![],
            expires_at: now + interval,
        });
        let digest = self.table_digest().to_be_bytes();
        self.send(with, Message::SyncDigest(digest), now, effects);
    }

    /// Makes the next session due now if a member disagrees for another reason than a change that
    /// is still propagating.
    pub(crate) fn expedite_sync(&mut self, now: Time) {
        let interval = self.settings.probe_interval;
        let since_change = now - self.view.since();
        let since_sync = now - self.sync.last_started_at;
        let is_stable =
            since_change.min(since_sync) >= interval || since_sync >= interval.times(2.0);
        if is_stable && self.view.disagreeing_member().is_some() {
            self.sync.next_at = self.sync.next_at.min(now);
        }
    }

    /// Digest of the member table including this gateway. Gateways with equal tables have equal
    /// digests.
    fn table_digest(&self) -> u64 {
        self.table.digest() ^ self.local.digest()
    }

    /// Digests of the table divided into `bucket_count` buckets, which must be a power of two.
    fn bucket_digests(&self, bucket_count: usize) -> Vec<u32> {
        let mut digests = vec![0_u64; bucket_count];
        for (bucket, digest) in self.table.bucket_digests().iter().enumerate() {
            digests[bucket % bucket_count] ^= digest;
        }
        let own_bucket = usize::from(bucket_of(&self.local.address)) % bucket_count;
        digests[own_bucket] ^= self.local.digest();
        digests.into_iter().map(|d| (d >> 32) as u32).collect()
    }

    /// Answers the digest of a gateway that starts a session.
    pub(crate) fn on_sync_digest(
        &mut self,
        from: SocketAddr,
        digest: u64,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        if digest == self.table_digest() {
            return self.send(from, Message::InSync, now, effects);
        }
        let buckets = (self.table.live_count() / MEMBERS_PER_BUCKET).next_power_of_two();
        match buckets.min(BUCKETS) {
            0 | 1 => self.send_page(from, ENTIRE_TABLE, KnownUpdates::NONE, now, effects),
            bucket_count => {
                let digests = self.bucket_digests(bucket_count);
                self.send(from, Message::BucketDigests(digests), now, effects);
            }
        }
    }

    /// Completes the session with a gateway that has the same table.
    pub(crate) fn on_in_sync(&mut self, from: SocketAddr, effects: &mut Vec<Effect>) {
        self.sync.take_session(from, |_| true);
        self.finish_sync(effects);
    }

    /// Compares bucket digests, and starts to pull the buckets that differ.
    pub(crate) fn on_bucket_digests(
        &mut self,
        from: SocketAddr,
        theirs: &[u32],
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let bucket_count = theirs.len();
        if !bucket_count.is_power_of_two() || bucket_count > BUCKETS {
            return;
        }
        let session = self
            .sync
            .take_session(from, SyncSession::awaits_digest_answer);
        if session.is_none() {
            return;
        }
        let ours = self.bucket_digests(bucket_count);
        let mut differing: Vec<u8> = (0_u8..)
            .zip(ours.iter().zip(theirs))
            .filter(|(_, (ours, theirs))| ours != theirs)
            .map(|(bucket, _)| bucket)
            .collect();
        // Gateways that sync with the same member at the same time start at different buckets.
        let first = random_below(&mut self.rng, differing.len());
        differing.rotate_left(first);
        let bucket_count = u8::try_from(bucket_count).unwrap_or(1);
        self.pull_next_bucket(from, bucket_count, differing, now, effects);
    }

    fn pull_next_bucket(
        &mut self,
        with: SocketAddr,
        bucket_count: u8,
        mut remaining: Vec<u8>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(bucket) = remaining.pop() else {
            return self.finish_sync(effects);
        };
        let cursor = SyncCursor {
            bucket,
            bucket_count,
            after: None,
        };
        self.pull(with, cursor, remaining, now, effects);
    }

    fn pull(
        &mut self,
        with: SocketAddr,
        cursor: SyncCursor,
        remaining: Vec<u8>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        self.sync.session = Some(SyncSession {
            with,
            cursor,
            remaining,
            expires_at: now + self.settings.probe_interval,
        });
        // An update whose hash collides with that of a known update is missing from the answer. The
        // next pull uses another salt.
        let salt = u16::try_from(self.rng.next_u32() >> 16).unwrap_or(0);
        let mut known: Vec<u16> = self
            .table
            .after(cursor)
            .take(MAX_KNOWN_HASHES + 1)
            .map(|(address, member)| salted_hash(salt, &self.update_about(address, member)))
            .collect();
        if known.len() > MAX_KNOWN_HASHES {
            known.clear();
        }
        let message = Message::Pull {
            cursor,
            salt,
            known,
        };
        self.send_with(with, message, &[], 0.0, now, effects);
    }

    /// Sends as many of the members after a cursor that the receiver does not know as fit into one
    /// datagram.
    pub(crate) fn send_page(
        &mut self,
        to: SocketAddr,
        cursor: SyncCursor,
        known: KnownUpdates<'_>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        // Every datagram carries its sender's own state, and the receiver needs no update about
        // itself.
        let updates: Vec<MemberUpdate> = self
            .table
            .after(cursor)
            .filter(|(address, member)| **address != to && !member.never_seen_live)
            .map(|(address, member)| self.update_about(address, member))
            .filter(|update| !known.contains(update))
            .take(MAX_UPDATES_PER_DATAGRAM + 1)
            .collect();
        // Whether this is the last page depends on how many updates fit, so the datagram is encoded
        // once to count them.
        let mut all = self.mandatory_updates(&to);
        let mandatory = all.len();
        all.extend(&updates);
        let trial = self.datagram(Message::PullPage { cursor, last: true });
        let fitting = trial.encode_with(&all).updates.saturating_sub(mandatory);
        let last = fitting == updates.len();
        let message = Message::PullPage { cursor, last };
        let reserved = 1.0 - SYNC_BUDGET_FRACTION;
        self.send_with(to, message, &updates[..fitting], reserved, now, effects);
    }

    /// Continues the session after a page whose updates have already been merged. A page that was
    /// not requested, is duplicated, or belongs to an expired session has no further effect.
    pub(crate) fn on_page(
        &mut self,
        from: SocketAddr,
        page: ReceivedPage<'_>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let cursor = page.cursor;
        let Some(session) = self.sync.take_session(from, |own| own.expects(cursor)) else {
            return;
        };
        let remaining = session.remaining;
        let last_address = page
            .updates
            .iter()
            .map(|update| update.address)
            .filter(|address| *address != self.local.address && *address != from)
            .filter(|address| cursor.after.is_none_or(|after| *address > after))
            .max();
        let end = if page.last { None } else { last_address };
        self.push_missing(from, page, end, now, effects);
        match last_address {
            Some(_) if !page.last => {
                let next = SyncCursor {
                    after: last_address,
                    ..cursor
                };
                self.pull(from, next, remaining, now, effects);
            }
            _ => self.pull_next_bucket(from, cursor.bucket_count, remaining, now, effects),
        }
    }

    /// Sends back the updates that the other gateway lacks, up to an address; that gateway gossips
    /// those that are new to it. With several buckets, a page omits what this gateway has already,
    /// so this gateway cannot tell what the other lacks, and the other must start its own session.
    fn push_missing(
        &mut self,
        to: SocketAddr,
        page: ReceivedPage<'_>,
        end: Option<SocketAddr>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        if page.cursor.bucket_count != 1 {
            return;
        }
        let is_missing = |address: &SocketAddr, member: &Member| {
            let is_within = end.is_none_or(|end| *address <= end);
            let is_known = page
                .updates
                .iter()
                .any(|u| u.address == *address && u.claim() >= member.claim());
            is_within
                && *address != to
                && !member.never_seen_live
                && !is_known
                && member.state != MemberState::Suspect
        };
        let missing: Vec<MemberUpdate> = self
            .table
            .after(page.cursor)
            .filter(|(address, member)| is_missing(address, member))
            .map(|(address, member)| self.update_about(address, member))
            .collect();
        let reserved = 1.0 - SYNC_BUDGET_FRACTION;
        let mut unsent = &missing[..];
        while !unsent.is_empty() {
            let sent = self.send_with(to, Message::Gossip, unsent, reserved, now, effects);
            if sent == 0 {
                break;
            }
            unsent = &unsent[sent..];
        }
    }

    fn finish_sync(&mut self, effects: &mut Vec<Effect>) {
        if !self.sync.synced {
            self.sync.synced = true;
            effects.push(Effect::Event(MembershipEvent::Synced));
        }
    }
}

/// Hash of an update for the list of known updates in a pull.
fn salted_hash(salt: u16, update: &MemberUpdate) -> u16 {
    use std::hash::Hasher;
    let hash = hash_with(&update.address, |hasher| {
        hasher.write_u16(salt.to_be());
        let digest = member_digest(&update.address, update.incarnation, update.metadata);
        hasher.write_u64(digest.to_be());
        hasher.write_u8(u8::from(update.state.is_live()));
    });
    (hash >> 48) as u16
}
