//! Each kind of belief by source and age, what a start takes over, what is unusable, and when service is full.

use std::net::SocketAddr;

use proptest::prelude::*;
use rstest::rstest;
use valehatch_policy::{Span, Time};
use valehatch_recovery::book::{DiscoveredEndpoint, EndpointListCache};
use valehatch_recovery::service::{RecoveringReason, STEADY, Service, State};
use valehatch_recovery::snapshot::{Cold, Front, Primary, Snapshot, Unusable};
use valehatch_recovery::trust::{Belief, FLEET, LIST, PRIMARY, Source, Trust, trust};
use valehatch_recovery::{cold_since, restore};

const NOW: u64 = 1_700_000_000_000;

#[rstest]
#[case::list(Belief::List, Source::Snapshot, Some(LIST), Trust::Held)]
#[case::old_list(Belief::List, Source::Snapshot, Some(LIST + Span(1)), Trust::Nothing)]
#[case::told_list(Belief::List, Source::Peer, Some(Span(0)), Trust::Guess)]
#[case::old_told_list(Belief::List, Source::Peer, Some(LIST + Span(1)), Trust::Nothing)]
#[case::leaving(Belief::Leaving, Source::Snapshot, Some(LIST), Trust::Held)]
#[case::told_leaving(Belief::Leaving, Source::Peer, Some(LIST), Trust::Held)]
#[case::primary(Belief::Primary, Source::Snapshot, Some(PRIMARY), Trust::Guess)]
#[case::told_primary(Belief::Primary, Source::Peer, Some(PRIMARY), Trust::Guess)]
#[case::old_primary(Belief::Primary, Source::Snapshot, Some(PRIMARY + Span(1)), Trust::Nothing)]
#[case::old_told_primary(Belief::Primary, Source::Peer, Some(PRIMARY + Span(1)), Trust::Nothing)]
#[case::position(Belief::Position, Source::Snapshot, Some(Span(0)), Trust::Guess)]
#[case::told_position(Belief::Position, Source::Peer, Some(Span(0)), Trust::Nothing)]
#[case::warm(Belief::Warm, Source::Snapshot, Some(Span(0)), Trust::Nothing)]
#[case::told_warm(Belief::Warm, Source::Peer, Some(Span(0)), Trust::Nothing)]
#[case::fleet(Belief::Fleet, Source::Snapshot, Some(FLEET), Trust::Guess)]
#[case::told_fleet(Belief::Fleet, Source::Peer, Some(FLEET + Span(1)), Trust::Nothing)]
fn a_belief_goes_as_far_as_its_source_and_age(
    #[case] belief: Belief,
    #[case] source: Source,
    #[case] age: Option<Span>,
    #[case] wanted: Trust,
) {
    assert_eq!(trust(belief, source, age), wanted);
    // Where the clock stands before it, or its age is not known, it is nothing, whatever it is.
    assert_eq!(trust(belief, source, None), Trust::Nothing);
    assert_eq!(trust(belief, source, Some(Span(-1))), Trust::Nothing);
}

fn listed(uid: &str, group: u16, state: &str, mode: &str) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        uid: uid.into(),
        endpoint: format!("127.0.0.1:{}", 10_000 + uid.len()),
        pod_group: group,
        state: state.into(),
        mode: mode.into(),
        capacity_hint: 4.0,
        boot_ms: 1000.0,
        ..DiscoveredEndpoint::default()
    }
}

fn place() -> SocketAddr {
    "127.0.0.1:8500".parse().unwrap()
}

fn snapshot() -> Snapshot {
    let mut book = EndpointListCache::default();
    let all = [
        listed("a", 0, "active", "read-write"),
        listed("bb", 0, "active", "read-only"),
        listed("ccc", 0, "leaving", "read-only"),
        listed("dddd", 1, "active", "read-only"),
    ];
    book.take(place(), 41, true, &all);
    let primary = |group, member: &str| Primary {
        group,
        member: member.into(),
        since_ms: NOW - 5,
        proved: true,
    };
    Snapshot {
        gateway: "one".into(),
        at_ms: NOW,
        fronts: vec![Front {
            name: "f".into(),
            book,
            primaries: vec![primary(0, "bb"), primary(1, "gone")],
            cold: vec![Cold {
                member: "dddd".into(),
                since_ms: NOW - 3000,
            }],
        }],
        fleet: vec!["10.0.0.1:7946".parse().unwrap()],
    }
}

#[test]
fn a_start_takes_over_the_list_the_drains_the_primaries_and_nothing_as_warm() {
    let (list, told) = restore(&snapshot(), "f", NOW + 1000).list.unwrap();
    assert_eq!(told, (place(), 41));
    let of = |uid: &str| list.iter().find(|l| l.uid == uid).unwrap();
    assert_eq!(
        (of("a").mode.as_str(), of("bb").mode.as_str()),
        ("read-only", "read-write"),
        "as it was believed"
    );
    assert_eq!(of("ccc").state, "leaving");
    assert_eq!(
        of("dddd").mode,
        "read-only",
        "a primary that is not listed is none"
    );
    assert_eq!(
        of("dddd").boot_ms.to_bits(),
        ((NOW - 3000) as f64).to_bits(),
        "cold since it came back, not since it started"
    );
    assert_eq!(of("a").boot_ms.to_bits(), 1000.0_f64.to_bits());
}

#[rstest]
#[case::fresh(0, true, 2)]
#[case::primaries_too_old(61_000, true, 0)]
#[case::all_too_old(901_000, false, 0)]
fn what_is_too_old_is_left_behind_and_said(
    #[case] later: u64,
    #[case] list: bool,
    #[case] primaries: usize,
) {
    let restored = restore(&snapshot(), "f", NOW + later);
    assert_eq!(
        (restored.list.is_some(), restored.primaries.len()),
        (list, primaries)
    );
    assert_eq!(restored.left.is_empty(), later == 0, "{:?}", restored.left);
    if let Some((list, _)) = restored.list {
        let told = list
            .iter()
            .find(|l| l.mode == "read-write")
            .map(|l| l.uid.as_str());
        assert_eq!(
            told,
            Some(if primaries > 0 { "bb" } else { "a" }),
            "without belief the list's own word"
        );
    }
    assert!(restore(&snapshot(), "another", NOW).list.is_none());
}

#[test]
fn a_book_is_what_lists_and_changes_have_made_it() {
    let mut book = EndpointListCache::default();
    book.take(
        place(),
        1,
        true,
        &[listed("a", 0, "active", ""), listed("b", 0, "active", "")],
    );
    book.take(
        place(),
        2,
        false,
        &[
            listed("a", 0, "left", ""),
            listed("b", 0, "leaving", ""),
            listed("c", 0, "active", ""),
        ],
    );
    let all: Vec<_> = book
        .members()
        .map(|l| (l.uid.as_str(), l.state.as_str()))
        .collect();
    assert_eq!(all, [("b", "leaving"), ("c", "active")]);
    book.take(place(), 3, true, &[]);
    assert_eq!((book.members().count(), book.told), (0, Some((place(), 3))));
}

#[test]
fn what_is_no_whole_snapshot_of_this_gateway_and_this_past_is_unusable_and_says_why() {
    let bytes = snapshot().encode().unwrap();
    assert_eq!(Snapshot::decode(&bytes, "one", NOW), Ok(snapshot()));
    let edit = |at: usize, with: u8| {
        let mut other = bytes.clone();
        other[at] ^= with;
        Snapshot::decode(&other, "one", NOW)
    };
    assert_eq!(edit(0, 1), Err(Unusable::Foreign));
    assert_eq!(edit(5, 2), Err(Unusable::Version(3)));
    assert_eq!(edit(8, 1), Err(Unusable::Torn));
    assert_eq!(edit(bytes.len() - 1, 0x40), Err(Unusable::Spoilt));
    assert_eq!(
        Snapshot::decode(&[&bytes[..], b"x"].concat(), "one", NOW),
        Err(Unusable::Torn)
    );
    assert_eq!(
        Snapshot::decode(&bytes, "two", NOW),
        Err(Unusable::OtherGateway("one".into()))
    );
    assert_eq!(
        Snapshot::decode(&bytes, "one", NOW - 7),
        Err(Unusable::Future(7))
    );
    for cut in 0..bytes.len() {
        assert!(
            Snapshot::decode(&bytes[..cut], "one", NOW).is_err(),
            "{cut} bytes of {}",
            bytes.len()
        );
    }
}

proptest! {
    #[test]
    fn a_flipped_bit_is_never_read(at in any::<usize>(), bit in 0..8_u8) {
        let mut bytes = snapshot().encode().unwrap();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(Snapshot::decode(&bytes, "one", NOW).is_err());
    }
}

#[test]
fn what_was_part_warm_has_warmed_for_no_longer_than_that() {
    let cold = Span::from_millis(17_000);
    assert_eq!(cold_since(0.24, cold, 0.24, NOW), NOW, "has only begun");
    assert_eq!(cold_since(0.62, cold, 0.24, NOW), NOW - 8500);
    assert_eq!(cold_since(1.0, cold, 0.24, NOW), NOW - 17_000);
}

fn at(ms: i64) -> Time {
    Time(ms * 1000)
}

#[test]
fn service_is_full_when_the_lists_are_confirmed_and_requests_were_served_for_a_while() {
    let mut service = Service::new(2, at(0));
    assert_eq!(
        service.state(),
        State::Recovering(RecoveringReason::List(2))
    );
    service.confirmed(0, at(300));
    assert_eq!(
        service.look(at(300)),
        Some(State::Recovering(RecoveringReason::List(1)))
    );
    service.confirmed(1, at(500));
    (0..20).for_each(|n| service.answered(n % 2 == 0, at(600 + n)));
    assert_eq!(
        service.look(at(700)),
        Some(State::Recovering(RecoveringReason::Served))
    );
    for ms in (700..4000).step_by(50) {
        service.answered(true, at(ms));
        let state = service.look(at(ms));
        if let Some(State::Full { since, took }) = state {
            assert!(
                (at(2600)..=at(2800)).contains(&(since + STEADY)),
                "{since:?}"
            );
            assert_eq!(took, since - at(0));
            service.answered(false, at(ms));
            assert_eq!(
                service.look(at(ms + 1)),
                None,
                "what goes wrong later is no recovery"
            );
            return;
        }
    }
    panic!("never full: {:?}", service.state());
}

#[test]
fn where_nobody_asks_service_is_full_when_the_lists_have_been_confirmed_for_a_while() {
    let mut service = Service::new(1, at(0));
    service.confirmed(0, at(40));
    service.confirmed(0, at(9000));
    assert_eq!(
        service.look(at(2039)),
        Some(State::Recovering(RecoveringReason::Steady))
    );
    assert_eq!(
        service.look(at(2040)),
        Some(State::Full {
            since: at(40),
            took: Span::from_millis(40)
        })
    );
}
