//! Words: which of two holds, what is read from the network, how long a suspect has, by how many a share is divided.

use std::net::SocketAddr;

use proptest::prelude::*;
use rstest::rstest;
use valehatch_membership::size::FleetSize;
use valehatch_membership::suspicion::{CONFIRMATIONS, LONGEST, Suspicion};
use valehatch_membership::table::MemberTable;
use valehatch_membership::wire::{
    Datagram, Incarnation, MemberMetadata, MemberState, MemberUpdate, Message, Phase, ViewAgreement,
};
use valehatch_membership::{Effect, InvalidSettings, Membership, MembershipEvent, Settings};
use valehatch_policy::{Span, Time};

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7946))
}

fn rumor() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left)
    ];
    (1..4_u8, 1..5_u64, 0..3_u32, 0..2_u32, state).prop_map(
        |(about, number, nonce, epoch, state)| MemberUpdate {
            about: address(about),
            incarnation: Incarnation { number, nonce },
            state,
            accuser: 0,
            card: MemberMetadata {
                epoch,
                zone: 1,
                version: 1,
                phase: Phase::Full,
            },
        },
    )
}

fn believed(rumors: &[MemberUpdate]) -> (Vec<(SocketAddr, Incarnation, MemberState)>, usize, u64) {
    let mut table = MemberTable::new(8, Span::from_millis(1_000_000));
    for rumor in rumors {
        table.merge(rumor, Time(0));
    }
    (
        table
            .iter()
            .map(|(a, p)| (*a, p.incarnation, p.state))
            .collect(),
        table.alive(),
        table.digest(),
    )
}

proptest! {
    #[test]
    fn whoever_heard_the_same_words_believes_the_same(
        words in proptest::collection::vec(rumor(), 0..20),
        order in proptest::collection::vec(any::<usize>(), 40),
    ) {
        let first = believed(&words);
        // In another order, and some of them twice.
        let mut other = words.clone();
        if !words.is_empty() {
            other.extend(order[..10].iter().map(|n| words[n % words.len()]));
            for (n, with) in order.iter().enumerate() {
                let (a, b) = (n % other.len(), with % other.len());
                other.swap(a, b);
            }
        }
        prop_assert_eq!(believed(&other), first);
    }

    #[test]
    fn no_bytes_from_the_network_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut heart = Membership::new(settings(), 1, 1, Time(0)).unwrap();
        let mut out = vec![];
        heart.receive(Time(1), address(2), &bytes, &mut out);
        heart.tick(Time(2), &mut out);
        prop_assert!(heart.peers().count() <= settings().most);
    }
}

fn settings() -> Settings {
    Settings {
        me: address(1),
        seeds: vec![address(2)],
        zone: 0,
        version: 0,
        period: Span::from_millis(500),
        most: 8,
        bytes_s: 8192,
        configured: 12,
        settle: Span::from_millis(30_000),
    }
}

fn datagram(from: Incarnation, message: Message, rumors: Vec<MemberUpdate>) -> Vec<u8> {
    let (card, held) = (MemberMetadata::default(), ViewAgreement::default());
    postcard::to_stdvec(&Datagram {
        from,
        card,
        held,
        message,
        rumors,
    })
    .unwrap()
}

#[rstest]
#[case::an_address_of_all(|s: &mut Settings| s.me = "0.0.0.0:7946".parse().unwrap())]
#[case::no_port(|s: &mut Settings| s.me = "10.0.0.1:0".parse().unwrap())]
#[case::no_period(|s: &mut Settings| s.period = Span(0))]
#[case::no_room(|s: &mut Settings| s.most = 0)]
#[case::no_bytes(|s: &mut Settings| s.bytes_s = 100)]
fn settings_that_cannot_be_worked_with_are_refused(#[case] edit: fn(&mut Settings)) {
    let mut set = settings();
    edit(&mut set);
    let refused: InvalidSettings = Membership::new(set, 1, 1, Time(0)).unwrap_err();
    assert!(!refused.to_string().is_empty());
}

#[test]
fn a_word_that_this_gateway_is_dead_is_outbid_and_one_beyond_all_bounds_is_not_read() {
    let mut heart = Membership::new(settings(), 1000, 1, Time(0)).unwrap();
    let (me, mut out) = (heart.incarnation(), vec![]);
    let other = Incarnation {
        number: 5,
        nonce: 9,
    };
    let about = |number, state| MemberUpdate {
        about: address(1),
        incarnation: Incarnation { number, nonce: 77 },
        state,
        accuser: 3,
        card: MemberMetadata::default(),
    };
    heart.receive(
        Time(1),
        address(2),
        &datagram(
            other,
            Message::Ping(4),
            vec![about(4000, MemberState::Dead)],
        ),
        &mut out,
    );
    assert_eq!(heart.incarnation(), Incarnation { number: 4001, ..me });
    assert!(out.contains(&Effect::Event(MembershipEvent::Refuted)));
    // Its answer already speaks for the later life.
    let answer = out.iter().find_map(|e| {
        if let Effect::Send { bytes, .. } = e {
            Some(bytes)
        } else {
            None
        }
    });
    let answer = Datagram::decode(answer.unwrap()).unwrap();
    assert_eq!(
        (answer.message, answer.from.number),
        (Message::Ack(4), 4001)
    );
    let before = heart.counts().unread;
    let beyond = about(Incarnation::MOST, MemberState::Dead);
    heart.receive(
        Time(2),
        address(2),
        &datagram(other, Message::Ping(5), vec![beyond]),
        &mut out,
    );
    assert_eq!(
        (heart.counts().unread, heart.incarnation().number),
        (before + 1, 4001)
    );
}

#[test]
fn a_full_table_takes_nobody_in_but_for_one_that_is_gone() {
    let mut heart = Membership::new(settings(), 1, 1, Time(0)).unwrap();
    let mut out = vec![];
    let word = |n: u8, state| {
        let inc = Incarnation {
            number: 3,
            nonce: u32::from(n),
        };
        let rumors = if state == MemberState::Left {
            vec![MemberUpdate {
                about: address(n),
                incarnation: inc,
                state,
                accuser: 0,
                card: MemberMetadata::default(),
            }]
        } else {
            vec![]
        };
        datagram(inc, Message::Gossip, rumors)
    };
    for n in 2..11 {
        heart.receive(Time(1), address(n), &word(n, MemberState::Alive), &mut out);
    }
    assert_eq!((heart.peers().count(), heart.counts().full), (8, 1));
    heart.receive(Time(2), address(4), &word(4, MemberState::Left), &mut out);
    heart.receive(
        Time(3),
        address(10),
        &word(10, MemberState::Alive),
        &mut out,
    );
    assert!(
        heart.living().any(|a| a == address(10)) && !heart.peers().any(|(a, _)| *a == address(4))
    );
}

#[test]
fn the_more_suspect_the_same_the_shorter_a_suspect_has() {
    let (life, least) = (
        Incarnation {
            number: 1,
            nonce: 1,
        },
        Span::from_millis(1000),
    );
    let mut one = Suspicion::new(life, 0, 10, least, Time(0));
    let mut times = vec![one.over()];
    for accuser in 1..6 {
        one.confirm(accuser);
        times.push(one.over());
    }
    assert_eq!(times[0], Time(0) + least.times(LONGEST));
    assert_eq!(times[CONFIRMATIONS], Time(0) + least);
    assert!(times.windows(2).all(|w| w[1] <= w[0]));
    assert!(!one.confirm(1), "nobody counts twice");
    assert_eq!(
        Suspicion::new(life, 0, 0, least, Time(0)).over(),
        Time(0) + least,
        "nobody could confirm it"
    );
}

#[test]
fn a_fleet_counts_as_smaller_only_after_a_while_and_never_as_one_by_guess() {
    let mut size = FleetSize::new(12, Span::from_millis(1000));
    let at = |ms: i64| Time(ms * 1000);
    assert_eq!(size.share(false), 12, "not known: as configured");
    size.count(Some(1), true, at(0));
    assert_eq!(size.share(false), 12);
    size.count(Some(5), true, at(500));
    size.count(Some(3), true, at(999));
    assert_eq!(size.share(false), 12);
    size.count(Some(3), true, at(1000));
    assert_eq!(
        (size.share(false), size.share(true)),
        (5, 12),
        "the most of that time; as configured under overload"
    );
    size.count(Some(40), true, at(1001));
    assert_eq!(
        (size.share(false), size.share(true)),
        (40, 40),
        "larger at once"
    );
    size.count(None, true, at(9000));
    assert_eq!(size.share(false), 40, "not known any more: no smaller");
}
