//! The view: who is said to hold it, whatever the order; what stands on it is told once; a settled one is what all hold.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::prelude::*;
use rstest::rstest;
use valehatch_membership::table::{MemberTable, MergeOutcome};
use valehatch_membership::view::{ChangeReason, MemberStatus, View, ViewChange};
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

/// A view of so many, this gateway being one of them.
fn view(me: usize, size: usize) -> (View, Vec<SocketAddr>) {
    let living: Vec<SocketAddr> = (0..size).filter(|n| *n != me).map(address).collect();
    let mut view = View::new(address(me), 4, Span(1_000), Time(0));
    assert!(view.turn(DIGEST, &living, Time(0)));
    (view, living)
}

fn held(digest: u64, holders: AgreeingMembers) -> ViewAgreement {
    ViewAgreement {
        digest: digest.to_be_bytes(),
        holders,
    }
}

proptest! {
    /// Words go around among all in any order, lost and doubled as drawn: who is said to hold the view is exactly those
    /// whose word came by some way, and never one that has said nothing.
    #[test]
    fn who_holds_the_view_is_the_union_of_what_was_said(
        size in 2..200_usize,
        silent in proptest::collection::btree_set(0..200_usize, 0..4),
        sends in proptest::collection::vec((any::<usize>(), any::<usize>(), any::<u32>(), 1..3_usize), 0..600),
    ) {
        let mut views: Vec<_> = (0..size).map(|n| view(n, size)).collect();
        // The truth beside it: who has come to know of whom, by those that passed it on.
        let mut knows: Vec<BTreeSet<usize>> = (0..size).map(|n| BTreeSet::from([n])).collect();
        for (from, to, turn, times) in sends {
            let (from, to) = (from % size, to % size);
            if from == to || silent.contains(&from) {
                continue;
            }
            let told = views[from].0.held(&views[from].1, turn);
            for _ in 0..times {
                let (view, living) = &mut views[to];
                prop_assert!(view.hear(&address(from), &told, living, Time(1)));
            }
            let more = knows[from].clone();
            knows[to].extend(more);
        }
        for (n, (view, _)) in views.iter().enumerate() {
            let holders = view.shared().holders;
            prop_assert!(holders <= knows[n].len(), "{holders} counted, {:?} could be known", knows[n]);
            // One that said nothing is counted by itself alone.
            let never = silent.iter().filter(|s| **s < size && **s != n).count();
            prop_assert!(holders <= size - never);
        }
    }

    /// Tables that heard the same words hold the same view, and another where any life, card or end differs.
    #[test]
    fn the_digest_is_that_of_the_lives_and_cards(
        words in proptest::collection::vec((1..6_usize, 1..4_u64, 0..2_u32, 0..2_u32, 0..4_usize), 0..24),
        order in proptest::collection::vec(any::<usize>(), 48),
    ) {
        let rumors: Vec<MemberUpdate> = words.iter().map(|(about, number, nonce, epoch, state)| MemberUpdate {
            about: address(*about),
            incarnation: Incarnation { number: *number, nonce: *nonce },
            state: [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left][*state],
            accuser: 0,
            card: MemberMetadata { epoch: *epoch, zone: 1, version: 2, phase: Phase::Full },
        }).collect();
        let mut other = rumors.clone();
        other.extend(order.iter().take(8).filter_map(|n| rumors.get(n % rumors.len().max(1))).copied());
        for (n, with) in order.iter().enumerate().filter(|_| !rumors.is_empty()) {
            let (a, b) = (n % other.len(), with % other.len());
            other.swap(a, b);
        }
        let take = |rumors: &[MemberUpdate]| {
            let mut table = MemberTable::new(8, Span(1_000_000));
            rumors.iter().for_each(|r| assert_ne!(table.merge(r, Time(0)), MergeOutcome::TableFull));
            table
        };
        let lives = |t: &MemberTable| {
            let living = t.iter().filter(|(_, p)| matches!(p.state, MemberState::Alive | MemberState::Suspect));
            living.map(|(a, p)| (*a, p.incarnation.nonce, p.card)).collect::<Vec<_>>()
        };
        let (one, two) = (take(&rumors), take(&other));
        prop_assert_eq!((one.view(), one.digest(), lives(&one)), (two.view(), two.digest(), lives(&two)));
        prop_assert_eq!(one.living(), lives(&one).iter().map(|l| l.0).collect::<Vec<_>>());
        // Any fewer words: another view unless the lives are the same.
        for n in 0..rumors.len() {
            let less = take(&rumors[..n]);
            prop_assert_eq!(less.view() == one.view(), lives(&less) == lives(&one));
        }
    }
}

#[rstest]
#[case::two(2)]
#[case::a_block_and_one(65)]
#[case::many(700)]
fn a_view_is_settled_when_all_have_said_so_and_no_longer_when_one_says_otherwise(
    #[case] size: usize,
) {
    let (mut view, living) = view(0, size);
    assert_eq!(view.look(true, Time(1)), None);
    for one in &living[1..] {
        view.hear(
            one,
            &held(DIGEST, AgreeingMembers::Unknown),
            &living,
            Time(2),
        );
    }
    assert_eq!(
        (view.shared().holders, view.look(true, Time(2))),
        (size - 1, None)
    );
    view.hear(
        &living[0],
        &held(DIGEST, AgreeingMembers::Unknown),
        &living,
        Time(3),
    );
    assert_eq!(
        view.look(false, Time(3)),
        None,
        "not while it does not know that it knows all"
    );
    assert_eq!(
        (view.look(true, Time(4)), view.shared().settled),
        (Some(true), Some(Time(4)))
    );
    view.hear(
        &living[0],
        &held(DIGEST + 1, AgreeingMembers::All),
        &living,
        Time(5),
    );
    assert_eq!(
        (view.look(true, Time(5)), view.shared().settled),
        (Some(false), None)
    );
    // Its change has not come here in all that time, and it has not said so again.
    assert_eq!(
        (view.look(true, Time(1_005)), view.shared().settled),
        (Some(true), Some(Time(1_005)))
    );
    // Another view, and what is said of the old one counts for nothing.
    assert!(view.turn(DIGEST + 2, &living, Time(1_006)));
    assert_eq!(view.look(true, Time(1_006)), Some(false));
    view.hear(
        &living[0],
        &held(DIGEST, AgreeingMembers::All),
        &living,
        Time(1_007),
    );
    assert_eq!(view.shared().holders, 1);
    // A word that all hold it is passed on by one that has it from others.
    view.hear(
        &living[0],
        &held(DIGEST + 2, AgreeingMembers::All),
        &living,
        Time(1_008),
    );
    assert_eq!(view.look(true, Time(1_008)), Some(true));
}

fn heart() -> Membership {
    let set = Settings {
        me: address(1),
        seeds: vec![address(2)],
        zone: 3,
        version: 4,
        period: Span::from_millis(500),
        most: 1_200,
        bytes_s: 8192,
        configured: 12,
        settle: Span::from_millis(30_000),
    };
    Membership::new(set, 1, 1, Time(0)).unwrap()
}

/// A datagram of another that says nothing of others, or these words.
fn said(
    from: (u64, u32),
    card: MemberMetadata,
    message: Message,
    rumors: Vec<MemberUpdate>,
) -> Vec<u8> {
    let from = Incarnation {
        number: from.0,
        nonce: from.1,
    };
    let held = ViewAgreement::default();
    postcard::to_stdvec(&Datagram {
        from,
        card,
        held,
        message,
        rumors,
    })
    .unwrap()
}

#[test]
fn each_change_is_told_once_in_order_and_with_its_reason() {
    let (mut heart, mut out) = (heart(), vec![]);
    let card = |epoch, phase| MemberMetadata {
        epoch,
        zone: 1,
        version: 1,
        phase,
    };
    let (starting, full) = (card(0, Phase::Starting), card(1, Phase::Full));
    let two = |number, nonce, state, card| MemberUpdate {
        about: address(2),
        incarnation: Incarnation { number, nonce },
        state,
        accuser: 9,
        card,
    };
    let mut at = 0;
    let mut hear = |heart: &mut Membership, rumors: Vec<MemberUpdate>| {
        // Each word twice: what is known is no change.
        for _ in 0..2 {
            at += 1;
            heart.receive(
                Time(at),
                address(3),
                &said((5, 3), starting, Gossip, rumors.clone()),
                &mut out,
            );
        }
    };
    hear(&mut heart, vec![two(10, 1, MemberState::Alive, starting)]);
    hear(&mut heart, vec![two(11, 1, MemberState::Alive, full)]);
    hear(&mut heart, vec![two(11, 1, MemberState::Suspect, full)]);
    hear(&mut heart, vec![two(12, 1, MemberState::Alive, full)]);
    hear(&mut heart, vec![two(12, 1, MemberState::Dead, full)]);
    hear(&mut heart, vec![two(20, 2, MemberState::Alive, starting)]);
    hear(&mut heart, vec![two(21, 7, MemberState::Alive, starting)]);
    hear(&mut heart, vec![two(21, 7, MemberState::Left, starting)]);
    let (missed, changes) = heart.changes(0);
    let changes: Vec<ViewChange> = changes.copied().collect();
    let is = MemberStatus::Active;
    let of = |c: &ViewChange| (c.about, c.was, c.is, c.why);
    let about = address(2);
    assert_eq!(missed, 0);
    assert_eq!(
        changes.iter().map(of).collect::<Vec<_>>(),
        [
            (address(3), None, is(Phase::Starting), ChangeReason::Joined),
            (about, None, is(Phase::Starting), ChangeReason::Joined),
            (
                about,
                Some(is(Phase::Starting)),
                is(Phase::Full),
                ChangeReason::MetadataChanged
            ),
            (
                about,
                Some(is(Phase::Full)),
                MemberStatus::Suspected,
                ChangeReason::Suspected
            ),
            (
                about,
                Some(MemberStatus::Suspected),
                is(Phase::Full),
                ChangeReason::SuspicionCleared
            ),
            (
                about,
                Some(is(Phase::Full)),
                MemberStatus::Gone,
                ChangeReason::Failed
            ),
            (
                about,
                Some(MemberStatus::Gone),
                is(Phase::Starting),
                ChangeReason::Restarted
            ),
            (
                about,
                Some(is(Phase::Starting)),
                is(Phase::Starting),
                ChangeReason::Restarted
            ),
            (
                about,
                Some(is(Phase::Starting)),
                MemberStatus::Gone,
                ChangeReason::Left
            ),
        ]
    );
    assert!(changes.iter().map(|c| c.version).eq(1..=9));
    assert_eq!(
        heart.changes(7).1.count(),
        2,
        "a reader goes on where it stopped"
    );
}

#[test]
fn a_reader_that_comes_too_late_is_told_how_many_it_has_missed() {
    let (mut heart, mut out) = (heart(), vec![]);
    for n in 2..902 {
        let bytes = said((1, 1), MemberMetadata::default(), Gossip, vec![]);
        heart.receive(Time(1), address(n), &bytes, &mut out);
    }
    let (missed, kept) = heart.changes(100);
    let kept: Vec<u64> = kept.map(|c| c.version).collect();
    assert_eq!((missed, kept.len(), kept.last()), (288, 512, Some(&900)));
}

#[test]
fn a_life_that_answers_this_ones_contradictions_is_another_gateway_under_the_same_name() {
    let (mut heart, mut out) = (heart(), vec![]);
    let me = |number| MemberUpdate {
        about: address(1),
        incarnation: Incarnation { number, nonce: 99 },
        state: MemberState::Alive,
        accuser: 0,
        card: MemberMetadata::default(),
    };
    let mut hear = |heart: &mut Membership, number| {
        out.clear();
        let bytes = said((5, 3), MemberMetadata::default(), Gossip, vec![me(number)]);
        heart.receive(Time(1), address(2), &bytes, &mut out);
        out.iter()
            .any(|e| matches!(e, Effect::Event(MembershipEvent::DuplicateIdentity(_))))
    };
    // A former self whose clock stood later: outbid once, whatever else of it is still said.
    assert!(
        !hear(&mut heart, 100)
            && !hear(&mut heart, 100)
            && !hear(&mut heart, 90)
            && !hear(&mut heart, 105)
    );
    assert_eq!(heart.incarnation().number, 106);
    // One that answers each time.
    assert!(!hear(&mut heart, 107));
    assert!(hear(&mut heart, 109), "told");
    assert!(!hear(&mut heart, 111) && !hear(&mut heart, 113), "once");
    assert_eq!(heart.incarnation().number, 110, "and not outbid any more");
    assert!(
        heart
            .members()
            .any(|m| m.0 == address(1) && m.1.number == 113)
    );
}
