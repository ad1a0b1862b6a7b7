//! The view: agreement is a union that does not depend on the order of messages; each change is
//! reported once; a view converges only if all members have it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::prelude::*;
use rstest::rstest;
use valehatch_membership::member_table::{MemberTable, MergeOutcome};
use valehatch_membership::view::{Convergence, LocalKnowledge, View};
use valehatch_membership::view_changes::{ChangeReason, MemberStatus, ViewChange};
use valehatch_membership::wire::Message::Gossip;
use valehatch_membership::wire::{
    AgreeingMembers, Datagram, Incarnation, MemberMetadata, MemberState, MemberUpdate, Message,
    Phase, ViewAgreement,
};
use valehatch_membership::{Effect, Membership, MembershipEvent, Settings};
use valehatch_policy::{Span, Time};

fn address(n: usize) -> SocketAddr {
    SocketAddr::from((
        [
            10,
            0,
            u8::try_from(n / 256).unwrap(),
            u8::try_from(n % 256).unwrap(),
        ],
        7946,
    ))
}

const DIGEST: u64 = 77;

/// A view of `size` members, of which `local` is this gateway, and its other live members.
fn view(local: usize, size: usize) -> (View, Vec<SocketAddr>) {
    let live: Vec<SocketAddr> = (0..size).filter(|n| *n != local).map(address).collect();
    let mut view = View::new(address(local), 4, Span(1_000), Time(0));
    assert!(view.set_digest(DIGEST, &live, Time(0)));
    (view, live)
}

fn agreement(digest: u64, members: AgreeingMembers) -> ViewAgreement {
    ViewAgreement {
        digest: digest.to_be_bytes(),
        members,
    }
}

proptest! {
    /// Agreement messages are exchanged among all members in a random order, with losses and
    /// duplicates. A member counts as agreeing only if its own message has arrived, directly or
    /// through others.
    #[test]
    fn agreeing_members_are_union_of_messages(
        size in 2..200_usize,
        silent in proptest::collection::btree_set(0..200_usize, 0..4),
        sends in proptest::collection::vec((any::<usize>(), any::<usize>(), any::<u32>(), 1..3_usize), 0..600),
    ) {
        let mut views: Vec<_> = (0..size).map(|n| view(n, size)).collect();
        // The reference model: whose agreement each member can know of, including through others.
        let mut knows: Vec<BTreeSet<usize>> = (0..size).map(|n| BTreeSet::from([n])).collect();
        for (from, to, rotation, times) in sends {
            let (from, to) = (from % size, to % size);
            if from == to || silent.contains(&from) {
                continue;
            }
            let message = views[from].0.agreement(&views[from].1, rotation);
            for _ in 0..times {
                let (view, live) = &mut views[to];
                prop_assert!(view.on_agreement(&address(from), &message, live, Time(1)));
            }
            let more = knows[from].clone();
            knows[to].extend(more);
        }
        for (n, (view, _)) in views.iter().enumerate() {
            let agreeing = view.status().agreeing_members;
            prop_assert!(agreeing <= knows[n].len(), "{agreeing} counted, {:?} could be known", knows[n]);
            // A silent member is counted only by itself.
            let uncounted = silent.iter().filter(|s| **s < size && **s != n).count();
            prop_assert!(agreeing <= size - uncounted);
        }
    }

    /// Tables that merged the same updates have the same view digest; tables that differ in any
    /// live process or its metadata have different ones.
    #[test]
    fn view_digest_depends_only_on_live_processes_and_metadata(
        drawn in proptest::collection::vec((1..6_usize, 1..4_u64, 0..2_u32, 0..2_u32, 0..4_usize), 0..24),
        order in proptest::collection::vec(any::<usize>(), 48),
    ) {
        let updates: Vec<MemberUpdate> = drawn.iter().map(|(n, number, nonce, epoch, state)| MemberUpdate {
            address: address(*n),
            incarnation: Incarnation { number: *number, nonce: *nonce },
            state: [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left][*state],
            reporter: 0,
            metadata: MemberMetadata { epoch: *epoch, zone: 1, version: 2, phase: Phase::Full },
        }).collect();
        let mut other = updates.clone();
        other.extend(order.iter().take(8).filter_map(|n| updates.get(n % updates.len().max(1))).copied());
        for (n, with) in order.iter().enumerate().filter(|_| !updates.is_empty()) {
            let (a, b) = (n % other.len(), with % other.len());
            other.swap(a, b);
        }
        let merge = |updates: &[MemberUpdate]| {
            let mut table = MemberTable::new(8, Span(1_000_000));
            for update in updates {
                assert_ne!(table.merge(update, Time(0)), MergeOutcome::TableFull);
            }
            table
        };
        let live = |t: &MemberTable| {
            let members = t.iter().filter(|(_, p)| matches!(p.state, MemberState::Alive | MemberState::Suspect));
            members.map(|(a, p)| (*a, p.incarnation.nonce, p.metadata)).collect::<Vec<_>>()
        };
        let (one, two) = (merge(&updates), merge(&other));
        prop_assert_eq!((one.view_digest(), one.digest(), live(&one)), (two.view_digest(), two.digest(), live(&two)));
        prop_assert_eq!(one.live(), live(&one).iter().map(|l| l.0).collect::<Vec<_>>());
        // With fewer updates, the digest differs unless the live processes are the same.
        for n in 0..updates.len() {
            let partial = merge(&updates[..n]);
            prop_assert_eq!(partial.view_digest() == one.view_digest(), live(&partial) == live(&one));
        }
    }
}

/// All members agree, then one of them reports another view. The view must not count as converged
/// until that member agrees again, or until its change would have arrived at this gateway.
#[rstest]
#[case::two(2)]
#[case::one_more_than_a_block(65)]
#[case::many(700)]
fn view_converges_when_all_agree_and_diverges_on_disagreement(#[case] size: usize) {
    let (mut view, live) = view(0, size);
    assert_eq!(
        view.update_convergence(LocalKnowledge::Complete, Time(1)),
        None
    );
    for one in &live[1..] {
        view.on_agreement(
            one,
            &agreement(DIGEST, AgreeingMembers::Unknown),
            &live,
            Time(2),
        );
    }
    assert_eq!(
        (
            view.status().agreeing_members,
            view.update_convergence(LocalKnowledge::Complete, Time(2))
        ),
        (size - 1, None)
    );
    view.on_agreement(
        &live[0],
        &agreement(DIGEST, AgreeingMembers::Unknown),
        &live,
        Time(3),
    );
    assert_eq!(
        view.update_convergence(LocalKnowledge::Incomplete, Time(3)),
        None,
        "the view does not converge before this gateway has synced"
    );
    assert_eq!(
        (
            view.update_convergence(LocalKnowledge::Complete, Time(4)),
            view.status().converged_at
        ),
        (Some(Convergence::Converged), Some(Time(4)))
    );
    view.on_agreement(
        &live[0],
        &agreement(DIGEST + 1, AgreeingMembers::All),
        &live,
        Time(5),
    );
    assert_eq!(
        (
            view.update_convergence(LocalKnowledge::Complete, Time(5)),
            view.status().converged_at
        ),
        (Some(Convergence::Diverged), None)
    );
    // Within the disagreement timeout, neither the member's change has arrived nor has it disagreed
    // again.
    assert_eq!(
        (
            view.update_convergence(LocalKnowledge::Complete, Time(1_005)),
            view.status().converged_at
        ),
        (Some(Convergence::Converged), Some(Time(1_005)))
    );
    // Agreement with the old view does not count for the new one.
    assert!(view.set_digest(DIGEST + 2, &live, Time(1_006)));
    assert_eq!(
        view.update_convergence(LocalKnowledge::Complete, Time(1_006)),
        Some(Convergence::Diverged)
    );
    view.on_agreement(
        &live[0],
        &agreement(DIGEST, AgreeingMembers::All),
        &live,
        Time(1_007),
    );
    assert_eq!(view.status().agreeing_members, 1);
    // A member that has learned from others that all members agree passes this on.
    view.on_agreement(
        &live[0],
        &agreement(DIGEST + 2, AgreeingMembers::All),
        &live,
        Time(1_008),
    );
    assert_eq!(
        view.update_convergence(LocalKnowledge::Complete, Time(1_008)),
        Some(Convergence::Converged)
    );
}

fn membership() -> Membership {
    let settings = Settings {
        local_address: address(1),
        seeds: vec![address(2)],
        zone: 3,
        version: 4,
        probe_interval: Span::from_millis(500),
        max_members: 1_200,
        max_bytes_per_second: 8192,
        configured_fleet_size: 12,
        shrink_delay: Span::from_millis(30_000),
    };
    Membership::new(settings, 1, 1, Time(0)).unwrap()
}

/// An encoded datagram of another gateway with these updates.
fn datagram(
    number: u64,
    nonce: u32,
    metadata: MemberMetadata,
    message: Message,
    updates: Vec<MemberUpdate>,
) -> Vec<u8> {
    let incarnation = Incarnation { number, nonce };
    let agreement = ViewAgreement::default();
    postcard::to_stdvec(&Datagram {
        incarnation,
        metadata,
        agreement,
        message,
        updates,
    })
    .unwrap()
}

/// A gateway that has learned from another one that a third has joined, changed its phase, was
/// suspected, refuted the suspicion, failed, restarted twice and left. Each update is received
/// twice; the second time, it must not cause a change.
fn membership_after_changes() -> Membership {
    let (mut membership, mut out) = (membership(), vec![]);
    let metadata = |epoch, phase| MemberMetadata {
        epoch,
        zone: 1,
        version: 1,
        phase,
    };
    let (starting, full) = (metadata(0, Phase::Starting), metadata(1, Phase::Full));
    let steps = [
        (10, 1, MemberState::Alive, starting),
        (11, 1, MemberState::Alive, full),
        (11, 1, MemberState::Suspect, full),
        (12, 1, MemberState::Alive, full),
        (12, 1, MemberState::Dead, full),
        (20, 2, MemberState::Alive, starting),
        (21, 7, MemberState::Alive, starting),
        (21, 7, MemberState::Left, starting),
    ];
    let mut at = 0;
    for (number, nonce, state, metadata) in steps {
        let update = MemberUpdate {
            address: address(2),
            incarnation: Incarnation { number, nonce },
            state,
            reporter: 9,
            metadata,
        };
        let bytes = datagram(5, 3, starting, Gossip, vec![update]);
        for _ in 0..2 {
            at += 1;
            membership.receive(Time(at), address(3), &bytes, &mut out);
        }
    }
    membership
}

#[test]
fn changes_are_reported_once_in_order_with_reason() {
    let membership = membership_after_changes();
    let changes: Vec<ViewChange> = membership.changes_since(0).copied().collect();
    let active = MemberStatus::Active;
    let fields = |c: &ViewChange| (c.address, c.before, c.after, c.reason);
    let member = address(2);
    assert_eq!(membership.missed_changes(0), 0);
    assert_eq!(
        changes.iter().map(fields).collect::<Vec<_>>(),
        [
            (
                address(3),
                None,
                active(Phase::Starting),
                ChangeReason::Joined
            ),
            (member, None, active(Phase::Starting), ChangeReason::Joined),
            (
                member,
                Some(active(Phase::Starting)),
                active(Phase::Full),
                ChangeReason::MetadataChanged
            ),
            (
                member,
                Some(active(Phase::Full)),
                MemberStatus::Suspected,
                ChangeReason::Suspected
            ),
            (
                member,
                Some(MemberStatus::Suspected),
                active(Phase::Full),
                ChangeReason::SuspicionCleared
            ),
            (
                member,
                Some(active(Phase::Full)),
                MemberStatus::Gone,
                ChangeReason::Failed
            ),
            (
                member,
                Some(MemberStatus::Gone),
                active(Phase::Starting),
                ChangeReason::Restarted
            ),
            (
                member,
                Some(active(Phase::Starting)),
                active(Phase::Starting),
                ChangeReason::Restarted
            ),
            (
                member,
                Some(active(Phase::Starting)),
                MemberStatus::Gone,
                ChangeReason::Left
            ),
        ]
    );
    assert!(changes.iter().map(|c| c.version).eq(1..=9));
    assert_eq!(
        membership.changes_since(7).count(),
        2,
        "a reader continues after the last version it has read"
    );
}

#[test]
fn late_reader_gets_number_of_missed_changes() {
    let (mut membership, mut out) = (membership(), vec![]);
    for n in 2..902 {
        let bytes = datagram(1, 1, MemberMetadata::default(), Gossip, vec![]);
        membership.receive(Time(1), address(n), &bytes, &mut out);
    }
    let missed = membership.missed_changes(100);
    let kept: Vec<u64> = membership.changes_since(100).map(|c| c.version).collect();
    assert_eq!((missed, kept.len(), kept.last()), (288, 512, Some(&900)));
}

/// Two gateways are configured with the same address, and would refute each other's claims for
/// ever. A gateway whose refutations are answered reports the conflict and stops refuting. An
/// earlier process of the same gateway cannot answer, and must not be reported.
#[test]
fn answered_refutations_reveal_duplicate_identity() {
    let (mut membership, mut out) = (membership(), vec![]);
    let about_self = |number| MemberUpdate {
        address: address(1),
        incarnation: Incarnation { number, nonce: 99 },
        state: MemberState::Alive,
        reporter: 0,
        metadata: MemberMetadata::default(),
    };
    let mut receive = |membership: &mut Membership, number| {
        out.clear();
        let bytes = datagram(
            5,
            3,
            MemberMetadata::default(),
            Gossip,
            vec![about_self(number)],
        );
        membership.receive(Time(1), address(2), &bytes, &mut out);
        out.iter()
            .any(|e| matches!(e, Effect::Event(MembershipEvent::DuplicateIdentity(_))))
    };
    // An earlier process whose clock was ahead is superseded, whatever claims about it other
    // gateways still repeat.
    assert!(
        !receive(&mut membership, 100)
            && !receive(&mut membership, 100)
            && !receive(&mut membership, 90)
            && !receive(&mut membership, 105)
    );
    assert_eq!(membership.incarnation().number, 106);
    // Another gateway with the same address answers each refutation.
    assert!(!receive(&mut membership, 107));
    assert!(receive(&mut membership, 109), "the duplicate is reported");
    assert!(
        !receive(&mut membership, 111) && !receive(&mut membership, 113),
        "the duplicate is reported only once"
    );
    assert_eq!(
        membership.incarnation().number,
        110,
        "the other process is no longer superseded"
    );
    assert!(
        membership
            .members()
            .any(|m| m.address == address(1) && m.incarnation.number == 113)
    );
}
