//! Wire format of membership datagrams and of the digests they carry. The file in `fixtures/` is
//! the concatenation of one datagram of each kind as written by version 0.4.0. Later versions must
//! read these datagrams and write the same bytes.

use std::net::SocketAddr;

use valehatch_membership::member_table::MemberTable;
use valehatch_membership::wire::{
    AgreeingMembers, Datagram, Incarnation, MemberMetadata, MemberState, MemberUpdate, Message,
    Phase, SyncCursor, ViewAgreement,
};
use valehatch_membership::{Effect, Membership, Settings};
use valehatch_policy::{Span, Time};

const DATAGRAMS: &[u8] = include_bytes!("fixtures/datagrams.bin");

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn updates() -> Vec<MemberUpdate> {
    let update = |(text, number, state, phase): (&str, u64, MemberState, Phase)| MemberUpdate {
        address: address(text),
        incarnation: Incarnation {
            number,
            nonce: 0x89ab_cdef,
        },
        state,
        reporter: 513,
        metadata: MemberMetadata {
            epoch: 300,
            zone: 7,
            version: 4,
            phase,
        },
    };
    let all = [
        (
            "10.0.0.2:7946",
            1_700_000_000_000,
            MemberState::Alive,
            Phase::Starting,
        ),
        ("10.0.0.3:7946", 1, MemberState::Suspect, Phase::Full),
        ("[2001:db8::4]:7946", 2, MemberState::Dead, Phase::Draining),
        ("10.0.0.5:7946", 3, MemberState::Left, Phase::Full),
    ];
    all.into_iter().map(update).collect()
}

fn datagrams() -> Vec<Datagram> {
    let (ipv4, ipv6) = (address("10.0.0.9:7946"), address("[2001:db8::9]:7946"));
    let some = AgreeingMembers::Some {
        complete_blocks: vec![0x81, 2],
        block: 3,
        bits: 0x8000_0000_0000_0001,
    };
    let all = [
        (
            Message::Ping(0x0102_0304),
            AgreeingMembers::Unknown,
            updates(),
        ),
        (Message::Ack(1), some, vec![]),
        (Message::IndirectPing(2, ipv4), AgreeingMembers::All, vec![]),
        (Message::Nack(3), AgreeingMembers::All, vec![]),
        (
            Message::SyncDigest([1, 2, 3, 4, 5, 6, 7, 0xff]),
            AgreeingMembers::All,
            vec![],
        ),
        (
            Message::BucketDigests(vec![0, 300, u32::MAX]),
            AgreeingMembers::All,
            vec![],
        ),
        (
            Message::Pull {
                cursor: SyncCursor {
                    bucket: 5,
                    bucket_count: 32,
                    after: Some(ipv6),
                },
                salt: 500,
                known: vec![1, 65_535],
            },
            AgreeingMembers::All,
            vec![],
        ),
        (
            Message::PullPage {
                cursor: SyncCursor {
                    bucket: 5,
                    bucket_count: 32,
                    after: None,
                },
                last: true,
            },
            AgreeingMembers::All,
            updates(),
        ),
        (Message::InSync, AgreeingMembers::All, vec![]),
        (Message::Gossip, AgreeingMembers::All, updates()),
    ];
    let datagram = |(message, members, updates)| Datagram {
        incarnation: Incarnation {
            number: 1_700_000_000_001,
            nonce: 0x0123_4567,
        },
        metadata: MemberMetadata {
            epoch: 2,
            zone: 1,
            version: 4,
            phase: Phase::Full,
        },
        agreement: ViewAgreement {
            digest: [0xfe, 0xdc, 0xba, 0x98, 0x76, 0x54, 0x32, 0x10],
            members,
        },
        message,
        updates,
    };
    all.into_iter().map(datagram).collect()
}

#[test]
fn fixture_datagrams_are_read_and_written_unchanged() {
    let (mut rest, mut read, mut written) = (DATAGRAMS, vec![], vec![]);
    while !rest.is_empty() {
        let (datagram, next) = postcard::take_from_bytes::<Datagram>(rest).unwrap();
        assert_eq!(
            Datagram::decode(&rest[..rest.len() - next.len()]).as_ref(),
            Some(&datagram)
        );
        written.extend(postcard::to_stdvec(&datagram).unwrap());
        read.push(datagram);
        rest = next;
    }
    assert_eq!(read, datagrams());
    assert_eq!(written, DATAGRAMS);
}

#[test]
fn received_ping_is_answered_in_the_same_wire_format() {
    let settings = Settings {
        local_address: address("10.0.0.1:7946"),
        seeds: vec![],
        zone: 1,
        version: 4,
        probe_interval: Span::from_millis(500),
        max_members: 8,
        max_bytes_per_second: 8192,
        configured_fleet_size: 12,
        shrink_delay: Span::from_millis(30_000),
    };
    let (mut membership, mut out) = (
        Membership::new(settings, 1_000, 1, Time(0)).unwrap(),
        vec![],
    );
    let ping = postcard::to_stdvec(&datagrams()[0]).unwrap();
    membership.receive(Time(1), address("10.0.0.9:7946"), &ping, &mut out);
    let sent = out.iter().find_map(|e| {
        if let Effect::Send { bytes, .. } = e {
            Some(bytes)
        } else {
            None
        }
    });
    let answer = Datagram::decode(sent.unwrap()).unwrap();
    assert_eq!(answer.message, Message::Ack(0x0102_0304));
    assert_eq!(&postcard::to_stdvec(&answer).unwrap(), sent.unwrap());
}

#[test]
fn table_digests_stay_equal_across_versions() {
    let mut table = MemberTable::new(8, Span::from_millis(1_000_000));
    for update in updates() {
        table.merge(&update, Time(0));
    }
    assert_eq!(
        (table.live_count(), table.digest(), table.view_digest()),
        (2, 0x9e5b_4927_205e_d954, 0x78f7_9a0f_bfbb_15b8)
    );
}
