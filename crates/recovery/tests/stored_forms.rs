//! Encodings of the snapshot file, the endpoint list and the datagrams of the list exchange. The
//! files in `fixtures/` were written by version 0.4.0. Later versions must read them and write the
//! same bytes.

use std::net::SocketAddr;

use valehatch_policy::{Span, Time};
use valehatch_recovery::endpoint_list::{
    DiscoveredEndpoint, EndpointListCache, ListScope, ListVersion,
};
use valehatch_recovery::list_exchange::{ConfirmedList, Effect, ListExchange};
use valehatch_recovery::service::RecoveringReason;
use valehatch_recovery::snapshot::{FrontSnapshot, PrimarySnapshot, Snapshot, WarmingEndpoint};

const SNAPSHOT: &[u8] = include_bytes!("fixtures/snapshot.bin");
const LIST: &[u8] = include_bytes!("fixtures/list.bin");
const CHUNK: &[u8] = include_bytes!("fixtures/list_piece.bin");
const MADE_MS: u64 = 1_700_000_000_000;
/// Identifies the front at both gateways. `REQUEST` and `NO_LIST` contain it.
const FRONT_ID: u32 = 0x1234_5678;
/// Requests the list of the front from its beginning.
const REQUEST: &[u8] = b"\x00\xf8\xac\xd1\x91\x01\x00";
const NO_LIST: &[u8] = b"\x02\xf8\xac\xd1\x91\x01";

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn endpoint(uid: &str, group: u16, state: &str, mode: &str) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        uid: uid.into(),
        endpoint: format!("10.1.0.7:{}", 5432 + group),
        az: "zone-b".into(),
        model: "m5.large".into(),
        pod_group: group,
        state: state.into(),
        capacity_hint: 12.5,
        boot_ms: 1.699e12,
        mode: mode.into(),
    }
}

fn list() -> EndpointListCache {
    let mut list = EndpointListCache::default();
    let endpoints = [
        endpoint("s-2", 300, "leaving", "read-only"),
        endpoint("s-1", 0, "active", "read-write"),
    ];
    let version = ListVersion {
        source: address("[2001:db8::8]:8500"),
        revision: 4_711,
    };
    list.apply(version, ListScope::Full, &endpoints);
    list
}

fn snapshot() -> Snapshot {
    let primary = |group, proved| PrimarySnapshot {
        group,
        endpoint: "s-1".into(),
        since_ms: MADE_MS - 5_000,
        proved,
    };
    let front = FrontSnapshot {
        name: "platform".into(),
        list: list(),
        primaries: vec![primary(0, true), primary(300, false)],
        warming: vec![WarmingEndpoint {
            endpoint: "s-2".into(),
            since_ms: MADE_MS - 3_000,
        }],
    };
    let without_discovery = FrontSnapshot {
        name: "fixed".into(),
        list: EndpointListCache::default(),
        primaries: vec![],
        warming: vec![],
    };
    Snapshot {
        gateway: "gateway-1".into(),
        at_ms: MADE_MS,
        fronts: vec![front, without_discovery],
        gateways: vec![address("10.0.0.1:7946"), address("[2001:db8::1]:7946")],
    }
}

#[test]
fn fixture_snapshot_is_read_and_written_unchanged() {
    assert_eq!(
        Snapshot::decode(SNAPSHOT, "gateway-1", MADE_MS),
        Ok(snapshot())
    );
    assert_eq!(snapshot().encode().unwrap(), SNAPSHOT);
}

#[test]
fn fixture_list_is_read_and_written_unchanged() {
    assert_eq!(EndpointListCache::decode(LIST), Some(list()));
    assert_eq!(list().encode(), LIST);
}

/// A gateway without a list, and the effects of its first request.
fn requester() -> (ListExchange, Vec<Effect>) {
    let (mut exchange, mut out) = (ListExchange::new(&[FRONT_ID], 1, Time(0)), vec![]);
    let live_gateways = || vec![address("10.0.0.1:7946")];
    // The first call only sets a random delay.
    exchange.tick(Time(0), |_| true, live_gateways, &mut out);
    exchange.tick(Time(1_000_000), |_| true, live_gateways, &mut out);
    (exchange, out)
}

#[test]
fn list_request_and_answers_match_fixture_bytes() {
    let send = |to, bytes: &[u8]| {
        vec![Effect::Send {
            to: address(to),
            bytes: bytes.to_vec(),
        }]
    };
    assert_eq!(requester().1, send("10.0.0.1:7946", REQUEST));
    let list = list();
    let confirmed = ConfirmedList {
        list: &list,
        age: Span::from_millis(1_500),
    };
    for (confirmed, answer) in [(Some(confirmed), CHUNK), (None, NO_LIST)] {
        let (mut exchange, mut out) = (ListExchange::new(&[FRONT_ID], 2, Time(0)), vec![]);
        exchange.receive(
            Time(0),
            address("10.0.0.2:7946"),
            REQUEST,
            |_| confirmed,
            &mut out,
        );
        assert_eq!(out, send("10.0.0.2:7946", answer));
    }
}

#[test]
fn fixture_list_answers_are_decoded() {
    let (mut exchange, mut out) = requester();
    out.clear();
    exchange.receive(
        Time(1_000_000),
        address("10.0.0.1:7946"),
        CHUNK,
        |_| None,
        &mut out,
    );
    let endpoints = list().endpoints().cloned().collect();
    let version = list().version.unwrap();
    assert_eq!(
        out,
        [Effect::ListReceived {
            front: 0,
            endpoints,
            version
        }]
    );
    // After the answer that there is no list, the requester backs off until its next round, which
    // is later than a repeated request would be.
    let (mut exchange, mut out) = requester();
    let repeat = exchange.next_due();
    exchange.receive(
        Time(1_000_000),
        address("10.0.0.1:7946"),
        NO_LIST,
        |_| None,
        &mut out,
    );
    assert!(exchange.next_due() > repeat);
}

#[test]
fn recovering_reasons_keep_their_names() {
    assert_eq!(
        [
            RecoveringReason::UnconfirmedLists(1),
            RecoveringReason::LowServedFraction,
            RecoveringReason::NotYetStable
        ]
        .map(RecoveringReason::name),
        ["list", "served", "steady"]
    );
}
