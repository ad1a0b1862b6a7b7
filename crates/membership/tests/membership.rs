//! Merging of updates, malformed datagrams, validation of settings, refutation, a full member
//! table, suspicion timeouts and the fleet size.

use std::net::SocketAddr;

use proptest::prelude::*;
use rstest::rstest;
use valehatch_membership::fleet_size::FleetSize;
use valehatch_membership::member_table::MemberTable;
use valehatch_membership::suspicion::{CONFIRMATIONS, MAX_TIMEOUT_FACTOR, Suspicion};
use valehatch_membership::view::Convergence;
use valehatch_membership::wire::{
    Datagram, Incarnation, MemberMetadata, MemberState, MemberUpdate, Message, Phase, ViewAgreement,
};
use valehatch_membership::{Effect, InvalidSettings, Load, Membership, MembershipEvent, Settings};
use valehatch_policy::{Span, Time};

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7946))
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left)
    ];
    (1..4_u8, 1..5_u64, 0..3_u32, 0..2_u32, state).prop_map(|(n, number, nonce, epoch, state)| {
        MemberUpdate {
            address: address(n),
            incarnation: Incarnation { number, nonce },
            state,
            reporter: 0,
            metadata: MemberMetadata {
                epoch,
                zone: 1,
                version: 1,
                phase: Phase::Full,
            },
        }
    })
}

/// The part of a table's contents that must be equal at all gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TableContents {
    members: Vec<(SocketAddr, Incarnation, MemberState)>,
    live: usize,
    digest: u64,
}

fn merged(updates: &[MemberUpdate]) -> TableContents {
    let mut table = MemberTable::new(8, Span::from_millis(1_000_000));
    for update in updates {
        table.merge(update, Time(0));
    }
    TableContents {
        members: table
            .iter()
            .map(|(address, member)| (*address, member.incarnation, member.state))
            .collect(),
        live: table.live_count(),
        digest: table.digest(),
    }
}

proptest! {
    #[test]
    fn same_updates_in_any_order_give_same_table(
        updates in proptest::collection::vec(update(), 0..20),
        order in proptest::collection::vec(any::<usize>(), 40),
    ) {
        let expected = merged(&updates);
        // The same updates in another order, some of them duplicated.
        let mut other = updates.clone();
        if !updates.is_empty() {
            other.extend(order[..10].iter().map(|n| updates[n % updates.len()]));
            for (n, with) in order.iter().enumerate() {
                let (a, b) = (n % other.len(), with % other.len());
                other.swap(a, b);
            }
        }
        prop_assert_eq!(merged(&other), expected);
    }

    #[test]
    fn arbitrary_bytes_keep_table_bounded(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut membership = Membership::new(settings(), 1, 1, Time(0)).unwrap();
        let mut out = vec![];
        membership.receive(Time(1), address(2), &bytes, &mut out);
        membership.tick(Time(2), &mut out);
        prop_assert!(membership.peers().count() <= settings().max_members);
    }
}

fn settings() -> Settings {
    Settings {
        local_address: address(1),
        seeds: vec![address(2)],
        zone: 0,
        version: 0,
        probe_interval: Span::from_millis(500),
        max_members: 8,
        max_bytes_per_second: 8192,
        configured_fleet_size: 12,
        shrink_delay: Span::from_millis(30_000),
    }
}

fn datagram(incarnation: Incarnation, message: Message, updates: Vec<MemberUpdate>) -> Vec<u8> {
    let metadata = MemberMetadata::default();
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

#[rstest]
#[case::unspecified_address(|s: &mut Settings| s.local_address = "0.0.0.0:7946".parse().unwrap())]
#[case::no_port(|s: &mut Settings| s.local_address = "10.0.0.1:0".parse().unwrap())]
#[case::no_probe_interval(|s: &mut Settings| s.probe_interval = Span(0))]
#[case::no_members(|s: &mut Settings| s.max_members = 0)]
#[case::no_bytes(|s: &mut Settings| s.max_bytes_per_second = 100)]
fn unusable_settings_are_rejected(#[case] edit: fn(&mut Settings)) {
    let mut settings = settings();
    edit(&mut settings);
    let error: InvalidSettings = Membership::new(settings, 1, 1, Time(0)).unwrap_err();
    assert!(!error.to_string().is_empty());
}

/// Another gateway claims that this one is dead, with the incarnation of an earlier process whose
/// clock was ahead. This gateway refutes the claim with the next number, which its answer to the
/// same datagram already carries. An incarnation too high to be refuted is rejected.
#[test]
fn own_death_is_refuted_and_irrefutable_incarnation_is_rejected() {
    let mut membership = Membership::new(settings(), 1000, 1, Time(0)).unwrap();
    let (initial, mut out) = (membership.incarnation(), vec![]);
    let other = Incarnation {
        number: 5,
        nonce: 9,
    };
    let about_self = |number, state| MemberUpdate {
        address: address(1),
        incarnation: Incarnation { number, nonce: 77 },
        state,
        reporter: 3,
        metadata: MemberMetadata::default(),
    };
    membership.receive(
        Time(1),
        address(2),
        &datagram(
            other,
            Message::Ping(4),
            vec![about_self(4000, MemberState::Dead)],
        ),
        &mut out,
    );
    assert_eq!(
        membership.incarnation(),
        Incarnation {
            number: 4001,
            ..initial
        }
    );
    assert!(out.contains(&Effect::Event(MembershipEvent::Refuted)));
    // The answer already carries the later incarnation.
    let answer = out.iter().find_map(|e| {
        if let Effect::Send { bytes, .. } = e {
            Some(bytes)
        } else {
            None
        }
    });
    let answer = Datagram::decode(answer.unwrap()).unwrap();
    assert_eq!(
        (answer.message, answer.incarnation.number),
        (Message::Ack(4), 4001)
    );
    let before = membership.counters().malformed;
    let beyond = about_self(Incarnation::MAX_NUMBER, MemberState::Dead);
    membership.receive(
        Time(2),
        address(2),
        &datagram(other, Message::Ping(5), vec![beyond]),
        &mut out,
    );
    assert_eq!(
        (
            membership.counters().malformed,
            membership.incarnation().number
        ),
        (before + 1, 4001)
    );
}

/// More gateways announce themselves than the table can hold. The last one is not added until
/// another one has left.
#[test]
fn full_table_replaces_only_gone_members() {
    let mut membership = Membership::new(settings(), 1, 1, Time(0)).unwrap();
    let mut out = vec![];
    let gossip = |n: u8, state| {
        let incarnation = Incarnation {
            number: 3,
            nonce: u32::from(n),
        };
        let updates = if state == MemberState::Left {
            vec![MemberUpdate {
                address: address(n),
                incarnation,
                state,
                reporter: 0,
                metadata: MemberMetadata::default(),
            }]
        } else {
            vec![]
        };
        datagram(incarnation, Message::Gossip, updates)
    };
    for n in 2..11 {
        membership.receive(
            Time(1),
            address(n),
            &gossip(n, MemberState::Alive),
            &mut out,
        );
    }
    assert_eq!(
        (membership.peers().count(), membership.counters().table_full),
        (8, 1)
    );
    membership.receive(Time(2), address(4), &gossip(4, MemberState::Left), &mut out);
    membership.receive(
        Time(3),
        address(10),
        &gossip(10, MemberState::Alive),
        &mut out,
    );
    assert!(
        membership.live_members().any(|a| a == address(10))
            && !membership.peers().any(|(a, _)| *a == address(4))
    );
}

#[test]
fn confirmations_shorten_suspicion_timeout() {
    let incarnation = Incarnation {
        number: 1,
        nonce: 1,
    };
    let min_timeout = Span::from_millis(1000);
    let mut suspicion = Suspicion::new(incarnation, 0, 10, min_timeout, Time(0));
    let mut times = vec![suspicion.deadline()];
    for reporter in 1..6 {
        suspicion.confirm(reporter);
        times.push(suspicion.deadline());
    }
    assert_eq!(times[0], Time(0) + min_timeout.times(MAX_TIMEOUT_FACTOR));
    assert_eq!(times[CONFIRMATIONS], Time(0) + min_timeout);
    assert!(times.windows(2).all(|w| w[1] <= w[0]));
    assert!(!suspicion.confirm(1), "a reporter counts once");
    assert_eq!(
        Suspicion::new(incarnation, 0, 0, min_timeout, Time(0)).deadline(),
        Time(0) + min_timeout,
        "the shortest timeout applies if no gateway could confirm the suspicion"
    );
}

#[test]
fn fleet_size_rises_at_once_and_falls_after_delay() {
    let mut size = FleetSize::new(12, Span::from_millis(1000));
    let at = |ms: i64| Time(ms * 1000);
    assert_eq!(
        size.divisor(Load::Normal),
        12,
        "the configured size applies while the count is unknown"
    );
    size.update(Some(1), Convergence::Converged, at(0));
    assert_eq!(size.divisor(Load::Normal), 12);
    size.update(Some(5), Convergence::Converged, at(500));
    size.update(Some(3), Convergence::Converged, at(999));
    assert_eq!(size.divisor(Load::Normal), 12);
    size.update(Some(3), Convergence::Converged, at(1000));
    assert_eq!(
        (size.divisor(Load::Normal), size.divisor(Load::Overloaded)),
        (5, 12),
        "the greatest count during the delay, and the configured size under overload"
    );
    size.update(Some(40), Convergence::Converged, at(1001));
    assert_eq!(
        (size.divisor(Load::Normal), size.divisor(Load::Overloaded)),
        (40, 40),
        "a larger count applies immediately"
    );
    size.update(None, Convergence::Converged, at(9000));
    assert_eq!(
        size.divisor(Load::Normal),
        40,
        "the size does not shrink when the count becomes unknown"
    );
}
