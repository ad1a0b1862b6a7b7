//! Trust by kind, source and age; restoring state from a snapshot; rejection of invalid snapshots;
//! when service is full.

use std::net::SocketAddr;

use proptest::prelude::*;
use rstest::rstest;
use valehatch_policy::{Span, Time};
use valehatch_recovery::endpoint_list::{
    DiscoveredEndpoint, EndpointListCache, ListScope, ListVersion,
};
use valehatch_recovery::service::{
    RecoveringReason, RequestResult, STABILITY_PERIOD, ServiceRecovery, ServiceState,
};
use valehatch_recovery::snapshot::{
    FrontSnapshot, PrimarySnapshot, Snapshot, SnapshotError, WarmingEndpoint,
};
use valehatch_recovery::trust::{
    KnowledgeKind, KnowledgeSource, MAX_GATEWAYS_AGE, MAX_LIST_AGE, MAX_PRIMARY_AGE, TrustLevel,
    trust,
};
use valehatch_recovery::{restore, slow_start_began_ms};

const NOW: u64 = 1_700_000_000_000;

#[rstest]
#[case::list(
    KnowledgeKind::EndpointList,
    KnowledgeSource::Snapshot,
    Some(MAX_LIST_AGE),
    TrustLevel::Trusted
)]
#[case::old_list(KnowledgeKind::EndpointList, KnowledgeSource::Snapshot, Some(MAX_LIST_AGE + Span(1)), TrustLevel::Ignored)]
#[case::list_of_peer(
    KnowledgeKind::EndpointList,
    KnowledgeSource::Peer,
    Some(Span(0)),
    TrustLevel::Hint
)]
#[case::old_list_of_peer(KnowledgeKind::EndpointList, KnowledgeSource::Peer, Some(MAX_LIST_AGE + Span(1)), TrustLevel::Ignored)]
#[case::draining(
    KnowledgeKind::Draining,
    KnowledgeSource::Snapshot,
    Some(MAX_LIST_AGE),
    TrustLevel::Trusted
)]
#[case::draining_of_peer(
    KnowledgeKind::Draining,
    KnowledgeSource::Peer,
    Some(MAX_LIST_AGE),
    TrustLevel::Trusted
)]
#[case::primary(
    KnowledgeKind::Primary,
    KnowledgeSource::Snapshot,
    Some(MAX_PRIMARY_AGE),
    TrustLevel::Hint
)]
#[case::primary_of_peer(
    KnowledgeKind::Primary,
    KnowledgeSource::Peer,
    Some(MAX_PRIMARY_AGE),
    TrustLevel::Hint
)]
#[case::old_primary(KnowledgeKind::Primary, KnowledgeSource::Snapshot, Some(MAX_PRIMARY_AGE + Span(1)), TrustLevel::Ignored)]
#[case::old_primary_of_peer(KnowledgeKind::Primary, KnowledgeSource::Peer, Some(MAX_PRIMARY_AGE + Span(1)), TrustLevel::Ignored)]
#[case::position(
    KnowledgeKind::ReplicationPosition,
    KnowledgeSource::Snapshot,
    Some(Span(0)),
    TrustLevel::Hint
)]
#[case::position_of_peer(
    KnowledgeKind::ReplicationPosition,
    KnowledgeSource::Peer,
    Some(Span(0)),
    TrustLevel::Ignored
)]
#[case::warmed_up(
    KnowledgeKind::WarmedUp,
    KnowledgeSource::Snapshot,
    Some(Span(0)),
    TrustLevel::Ignored
)]
#[case::warmed_up_of_peer(
    KnowledgeKind::WarmedUp,
    KnowledgeSource::Peer,
    Some(Span(0)),
    TrustLevel::Ignored
)]
#[case::gateways(
    KnowledgeKind::Gateways,
    KnowledgeSource::Snapshot,
    Some(MAX_GATEWAYS_AGE),
    TrustLevel::Hint
)]
#[case::old_gateways_of_peer(KnowledgeKind::Gateways, KnowledgeSource::Peer, Some(MAX_GATEWAYS_AGE + Span(1)), TrustLevel::Ignored)]
fn trust_depends_on_kind_source_and_age(
    #[case] kind: KnowledgeKind,
    #[case] source: KnowledgeSource,
    #[case] age: Option<Span>,
    #[case] expected: TrustLevel,
) {
    assert_eq!(trust(kind, source, age), expected);
    // Knowledge of unknown age, or dated in the future, is never trusted.
    assert_eq!(trust(kind, source, None), TrustLevel::Ignored);
    assert_eq!(trust(kind, source, Some(Span(-1))), TrustLevel::Ignored);
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

fn version(revision: u64) -> ListVersion {
    let source: SocketAddr = "127.0.0.1:8500".parse().unwrap();
    ListVersion { source, revision }
}

fn snapshot() -> Snapshot {
    let mut list = EndpointListCache::default();
    let all = [
        listed("a", 0, "active", "read-write"),
        listed("bb", 0, "active", "read-only"),
        listed("ccc", 0, "leaving", "read-only"),
        listed("dddd", 1, "active", "read-only"),
    ];
    list.apply(version(41), ListScope::Full, &all);
    let primary = |group, endpoint: &str| PrimarySnapshot {
        group,
        endpoint: endpoint.into(),
        since_ms: NOW - 5,
        proved: true,
    };
    Snapshot {
        gateway: "one".into(),
        at_ms: NOW,
        fronts: vec![FrontSnapshot {
            name: "f".into(),
            list,
            primaries: vec![primary(0, "bb"), primary(1, "gone")],
            warming: vec![WarmingEndpoint {
                endpoint: "dddd".into(),
                since_ms: NOW - 3000,
            }],
        }],
        gateways: vec!["10.0.0.1:7946".parse().unwrap()],
    }
}

/// A gateway restarts within a second. It starts with the list from the snapshot, in which draining
/// endpoints are still draining and endpoints in slow start continue it.
#[test]
fn restored_list_keeps_draining_primaries_and_slow_start() {
    let list = restore(&snapshot(), "f", NOW + 1000).list.unwrap();
    assert_eq!(list.version, version(41));
    let endpoint = |uid: &str| list.endpoints.iter().find(|l| l.uid == uid).unwrap();
    assert_eq!(
        (endpoint("a").mode.as_str(), endpoint("bb").mode.as_str()),
        ("read-only", "read-write"),
        "the primary of the snapshot overrides the list's mode"
    );
    assert_eq!(endpoint("ccc").state, "leaving");
    assert_eq!(
        endpoint("dddd").mode,
        "read-only",
        "a primary that is not listed does not mark another endpoint"
    );
    assert_eq!(
        endpoint("dddd").boot_ms.to_bits(),
        ((NOW - 3000) as f64).to_bits(),
        "the slow start continues from its recorded beginning, not from the endpoint's start"
    );
    assert_eq!(endpoint("a").boot_ms.to_bits(), 1000.0_f64.to_bits());
}

#[rstest]
#[case::fresh(0, true, 2)]
#[case::primaries_too_old(61_000, true, 0)]
#[case::all_too_old(901_000, false, 0)]
fn old_knowledge_is_discarded_with_reason(
    #[case] later: u64,
    #[case] list: bool,
    #[case] primaries: usize,
) {
    let restored = restore(&snapshot(), "f", NOW + later);
    assert_eq!(
        (restored.list.is_some(), restored.primaries.len()),
        (list, primaries)
    );
    assert_eq!(
        restored.discarded.is_empty(),
        later == 0,
        "{:?}",
        restored.discarded
    );
    if let Some(list) = restored.list {
        let primary = list
            .endpoints
            .iter()
            .find(|l| l.mode == "read-write")
            .map(|l| l.uid.as_str());
        assert_eq!(
            primary,
            Some(if primaries > 0 { "bb" } else { "a" }),
            "without a hint, the list's own mode applies"
        );
    }
    assert!(restore(&snapshot(), "another", NOW).list.is_none());
}

#[test]
fn list_applies_full_updates_and_changes() {
    let mut list = EndpointListCache::default();
    list.apply(
        version(1),
        ListScope::Full,
        &[listed("a", 0, "active", ""), listed("b", 0, "active", "")],
    );
    list.apply(
        version(2),
        ListScope::Changes,
        &[
            listed("a", 0, "left", ""),
            listed("b", 0, "leaving", ""),
            listed("c", 0, "active", ""),
        ],
    );
    let all: Vec<_> = list
        .endpoints()
        .map(|l| (l.uid.as_str(), l.state.as_str()))
        .collect();
    assert_eq!(all, [("b", "leaving"), ("c", "active")]);
    list.apply(version(3), ListScope::Full, &[]);
    assert_eq!(
        (list.endpoints().count(), list.version),
        (0, Some(version(3)))
    );
}

/// The snapshot file is damaged, of another version, of another gateway, or dated in the future
/// because the clock was set back. Each of these must be detected, so that the gateway starts
/// without the snapshot.
#[test]
fn damaged_foreign_or_future_snapshot_is_rejected() {
    let bytes = snapshot().encode().unwrap();
    assert_eq!(Snapshot::decode(&bytes, "one", NOW), Ok(snapshot()));
    let edit = |at: usize, with: u8| {
        let mut other = bytes.clone();
        other[at] ^= with;
        Snapshot::decode(&other, "one", NOW)
    };
    assert_eq!(edit(0, 1), Err(SnapshotError::NotASnapshot));
    assert_eq!(edit(5, 2), Err(SnapshotError::Version(3)));
    assert_eq!(edit(8, 1), Err(SnapshotError::Truncated));
    assert_eq!(edit(bytes.len() - 1, 0x40), Err(SnapshotError::Corrupt));
    assert_eq!(
        Snapshot::decode(&[&bytes[..], b"x"].concat(), "one", NOW),
        Err(SnapshotError::Truncated)
    );
    assert_eq!(
        Snapshot::decode(&bytes, "two", NOW),
        Err(SnapshotError::OtherGateway("one".into()))
    );
    assert_eq!(
        Snapshot::decode(&bytes, "one", NOW - 7),
        Err(SnapshotError::Future(7))
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
    /// A disk returns a snapshot with one flipped bit. The snapshot must be rejected, whichever bit
    /// it is.
    #[test]
    fn snapshot_with_flipped_bit_is_rejected(at in any::<usize>(), bit in 0..8_u8) {
        let mut bytes = snapshot().encode().unwrap();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(Snapshot::decode(&bytes, "one", NOW).is_err());
    }
}

#[test]
fn slow_start_beginning_is_derived_from_capacity() {
    let duration = Span::from_millis(17_000);
    assert_eq!(
        slow_start_began_ms(0.24, duration, 0.24, NOW),
        NOW,
        "the slow start has only just begun"
    );
    assert_eq!(slow_start_began_ms(0.62, duration, 0.24, NOW), NOW - 8500);
    assert_eq!(slow_start_began_ms(1.0, duration, 0.24, NOW), NOW - 17_000);
}

fn at(ms: i64) -> Time {
    Time(ms * 1000)
}

#[test]
fn confirmed_lists_and_served_requests_make_service_full() {
    let mut service = ServiceRecovery::new(2, at(0));
    assert_eq!(
        service.state(),
        ServiceState::Recovering(RecoveringReason::UnconfirmedLists(2))
    );
    service.list_confirmed(0, at(300));
    assert_eq!(
        service.update(at(300)),
        Some(ServiceState::Recovering(
            RecoveringReason::UnconfirmedLists(1)
        ))
    );
    service.list_confirmed(1, at(500));
    for n in 0..20 {
        let result = if n % 2 == 0 {
            RequestResult::Served
        } else {
            RequestResult::Failed
        };
        service.request_finished(result, at(600 + n));
    }
    assert_eq!(
        service.update(at(700)),
        Some(ServiceState::Recovering(
            RecoveringReason::LowServedFraction
        ))
    );
    for ms in (700..4000).step_by(50) {
        service.request_finished(RequestResult::Served, at(ms));
        let state = service.update(at(ms));
        if let Some(ServiceState::Full { since, took }) = state {
            assert!(
                (at(2600)..=at(2800)).contains(&(since + STABILITY_PERIOD)),
                "{since:?}"
            );
            assert_eq!(took, since - at(0));
            service.request_finished(RequestResult::Failed, at(ms));
            assert_eq!(
                service.update(at(ms + 1)),
                None,
                "failures after the recovery do not change the state"
            );
            return;
        }
    }
    panic!("service did not become full: {:?}", service.state());
}

#[test]
fn confirmed_lists_without_requests_make_service_full() {
    let mut service = ServiceRecovery::new(1, at(0));
    service.list_confirmed(0, at(40));
    service.list_confirmed(0, at(9000));
    assert_eq!(
        service.update(at(2039)),
        Some(ServiceState::Recovering(RecoveringReason::NotYetStable))
    );
    assert_eq!(
        service.update(at(2040)),
        Some(ServiceState::Full {
            since: at(40),
            took: Span::from_millis(40)
        })
    );
}
