//! Byte forms of the snapshot file, the server list and the datagrams that gateways exchange about it. Files in `fixtures/`
//! were written by version 0.4.0; later versions must read them and write the same bytes.

use std::net::SocketAddr;

use valehatch_policy::{Span, Time};
use valehatch_recovery::book::{DiscoveredEndpoint, EndpointListCache};
use valehatch_recovery::peers::{Effect, Peers};
use valehatch_recovery::service::RecoveringReason;
use valehatch_recovery::snapshot::{Cold, Front, Primary, Snapshot};

const SNAPSHOT: &[u8] = include_bytes!("fixtures/snapshot.bin");
const LIST: &[u8] = include_bytes!("fixtures/list.bin");
const PIECE: &[u8] = include_bytes!("fixtures/list_piece.bin");
const MADE_MS: u64 = 1_700_000_000_000;
/// The number under which both sides know the list, and the message that asks for it from its beginning.
const MARK: u32 = 0x1234_5678;
const ASK: &[u8] = b"\x00\xf8\xac\xd1\x91\x01\x00";
const NOTHING: &[u8] = b"\x02\xf8\xac\xd1\x91\x01";

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn server(uid: &str, group: u16, state: &str, mode: &str) -> DiscoveredEndpoint {
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
    let servers = [
        server("s-2", 300, "leaving", "read-only"),
        server("s-1", 0, "active", "read-write"),
    ];
    list.take(address("[2001:db8::8]:8500"), 4_711, true, &servers);
    list
}

fn snapshot() -> Snapshot {
    let primary = |group, proved| Primary {
        group,
        member: "s-1".into(),
        since_ms: MADE_MS - 5_000,
        proved,
    };
    let front = Front {
        name: "platform".into(),
        book: list(),
        primaries: vec![primary(0, true), primary(300, false)],
        cold: vec![Cold {
            member: "s-2".into(),
            since_ms: MADE_MS - 3_000,
        }],
    };
    let fixed = Front {
        name: "fixed".into(),
        book: EndpointListCache::default(),
        primaries: vec![],
        cold: vec![],
    };
    Snapshot {
        gateway: "gateway-1".into(),
        at_ms: MADE_MS,
        fronts: vec![front, fixed],
        fleet: vec![address("10.0.0.1:7946"), address("[2001:db8::1]:7946")],
    }
}

#[test]
fn stored_snapshot_is_read_and_written_unchanged() {
    assert_eq!(
        Snapshot::decode(SNAPSHOT, "gateway-1", MADE_MS),
        Ok(snapshot())
    );
    assert_eq!(snapshot().encode().unwrap(), SNAPSHOT);
}

#[test]
fn stored_list_is_read_and_written_unchanged() {
    assert_eq!(EndpointListCache::decode(LIST), Some(list()));
    assert_eq!(list().encode(), LIST);
}

/// The datagram that a gateway without a list sends first, and that gateway.
fn asker() -> (Peers, Vec<Effect>) {
    let (mut peers, mut out) = (Peers::new(&[MARK], 1, Time(0)), vec![]);
    let living = || vec![address("10.0.0.1:7946")];
    // The first call only draws a delay.
    peers.tick(Time(0), |_| true, living, &mut out);
    peers.tick(Time(1_000_000), |_| true, living, &mut out);
    (peers, out)
}

#[test]
fn list_request_is_sent_unchanged_and_answered_with_stored_bytes() {
    let send = |to, bytes: &[u8]| {
        vec![Effect::Send {
            to: address(to),
            bytes: bytes.to_vec(),
        }]
    };
    assert_eq!(asker().1, send("10.0.0.1:7946", ASK));
    let list = list();
    for (held, answer) in [
        (Some((&list, Span::from_millis(1_500))), PIECE),
        (None, NOTHING),
    ] {
        let (mut peers, mut out) = (Peers::new(&[MARK], 2, Time(0)), vec![]);
        peers.receive(Time(0), address("10.0.0.2:7946"), ASK, |_| held, &mut out);
        assert_eq!(out, send("10.0.0.2:7946", answer));
    }
}

#[test]
fn stored_list_answers_are_understood() {
    let (mut peers, mut out) = asker();
    out.clear();
    peers.receive(
        Time(1_000_000),
        address("10.0.0.1:7946"),
        PIECE,
        |_| None,
        &mut out,
    );
    let (listed, told) = (list().members().cloned().collect(), list().told.unwrap());
    assert_eq!(
        out,
        [Effect::Learned {
            front: 0,
            listed,
            told
        }]
    );
    // Without a list to learn the asker goes on to its next round, which is later than a repeated request would be.
    let (mut peers, mut out) = asker();
    let repeat = peers.next_due();
    peers.receive(
        Time(1_000_000),
        address("10.0.0.1:7946"),
        NOTHING,
        |_| None,
        &mut out,
    );
    assert!(peers.next_due() > repeat);
}

#[test]
fn recovery_causes_keep_their_names() {
    assert_eq!(
        [
            RecoveringReason::List(1),
            RecoveringReason::Served,
            RecoveringReason::Steady
        ]
        .map(RecoveringReason::name),
        ["list", "served", "steady"]
    );
}
