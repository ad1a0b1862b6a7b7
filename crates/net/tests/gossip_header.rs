//! Tests of the header of each datagram between gateways: version, channel, and the hash of the
//! fleet's name.

use std::net::UdpSocket;
use std::time::Duration;

use valehatch_config::peers::PeerSettings;
use valehatch_membership::wire::Datagram;
use valehatch_net::gossip_transport::{GossipConfig, GossipTransport};

#[test]
fn sent_datagram_begins_with_version_channel_and_fleet() {
    let seed = UdpSocket::bind("127.0.0.1:0").unwrap();
    seed.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    // Uses a port that was free just before, because the transport has to know its own address.
    let own = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let peers = PeerSettings {
        listen: own,
        advertise: own,
        fleet: "test".into(),
        seeds: vec![seed.local_addr().unwrap()],
        allowed_networks: vec![],
        probe_interval_ms: 100,
        max_gateways: 8,
        bytes_per_s: 8192,
        shrink_delay_ms: 30_000,
    };
    let _transport = GossipTransport::start(GossipConfig {
        peers,
        configured_gateways: 1,
        seed: 1,
        cores: vec![],
        gateway_count: Default::default(),
        lists: vec![],
    })
    .unwrap();
    let mut bytes = [0; 512];
    let length = seed.recv(&mut bytes).unwrap();
    assert_eq!(bytes[..6], [2, 1, 0xe0, 0x96, 0x9d, 0xa9]);
    assert!(Datagram::decode(&bytes[6..length]).is_some());
}
