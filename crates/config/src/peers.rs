//! `[peers]`: the other gateways of the fleet and how to reach them.

use std::net::SocketAddr;

use ipnet::IpNet;

use crate::reader::Section;
use crate::snmp::access::parse_network;

const MINUTE_MS: i64 = 60_000;
const DAY_MS: i64 = 86_400_000;

/// The section `[peers]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// `listen`: where datagrams are received; an address of this machine with a port.
    pub listen: SocketAddr,
    /// `advertise`: the address that other gateways send to; default the value of `listen`.
    pub advertise: SocketAddr,
    /// `fleet`: the fleet's name; datagrams of another fleet are dropped.
    pub fleet: String,
    /// `seeds`: gateways that are contacted first; default none.
    pub seeds: Vec<SocketAddr>,
    /// `from`: networks that gateways may be in; datagrams are exchanged only with addresses in
    /// these networks and with the seeds.
    pub allowed_networks: Vec<IpNet>,
    /// `probe-ms`: time between two probes, in milliseconds, 50 to 60,000, default 500.
    pub probe_interval_ms: i64,
    /// `most`: maximum number of known gateways, 1 to 10,000, default 1,024.
    pub max_gateways: usize,
    /// `bytes-per-s`: limit on the bytes sent per second on average, 1,024 to 1,048,576, default
    /// 8,192.
    pub bytes_per_s: u32,
    /// `settle-ms`: time for which the fleet must have been smaller before its size is lowered, in
    /// milliseconds, 0 to 86,400,000, default 30,000.
    pub shrink_delay_ms: i64,
}

impl PeerSettings {
    /// Whether a gateway may have this address.
    #[must_use]
    pub fn allows(&self, address: &SocketAddr) -> bool {
        let in_network = |network: &IpNet| network.contains(&address.ip());
        self.seeds.contains(address) || self.allowed_networks.iter().any(in_network)
    }

    pub(crate) fn read(section: &Section<'_>) -> Self {
        let listen = read_listen(section);
        let advertise = read_advertise(section, listen);
        let seeds = read_seeds(section, listen);
        let allowed_networks = read_networks(section);
        if allowed_networks.is_empty() && seeds.iter().all(|seed| *seed == advertise) {
            section.fault(
                "seeds",
                "lists no other gateway, and from lists no network: there would be no peers",
            );
        }
        let bytes_per_s = section.integer("bytes-per-s", Some(8192), 1024..=1_048_576);
        Self {
            listen,
            advertise,
            fleet: section.name("fleet", None),
            seeds,
            allowed_networks,
            probe_interval_ms: section.integer("probe-ms", Some(500), 50..=MINUTE_MS),
            max_gateways: section.size("most", 1024, 1..=10_000),
            bytes_per_s: u32::try_from(bytes_per_s).unwrap_or(u32::MAX),
            shrink_delay_ms: section.integer("settle-ms", Some(30_000), 0..=DAY_MS),
        }
    }
}

fn read_listen(section: &Section<'_>) -> SocketAddr {
    let listen = section.address("listen");
    let unusable = listen.ip().is_unspecified() || listen.port() == 0;
    if section.has("listen") && unusable {
        section.fault(
            "listen",
            format!("is {listen}, not an address of this machine with a port"),
        );
    }
    listen
}

fn read_advertise(section: &Section<'_>, listen: SocketAddr) -> SocketAddr {
    let given = section.has("advertise");
    let advertise = if given {
        section.address("advertise")
    } else {
        listen
    };
    // `read_listen` reports a missing port of `listen`.
    let without_port = advertise.port() == 0 && given;
    if advertise.ip().is_unspecified() || without_port {
        section.fault(
            "advertise",
            format!("is {advertise}, not an address that others can send to"),
        );
    }
    advertise
}

fn read_seeds(section: &Section<'_>, listen: SocketAddr) -> Vec<SocketAddr> {
    let mut seeds = vec![];
    for text in section.texts("seeds", Some(&[])) {
        let Ok(seed) = text.parse::<SocketAddr>() else {
            section.fault(
                "seeds",
                format!("holds {text:?}, not an address with a port"),
            );
            continue;
        };
        if seed.port() == 0 || seed.ip().is_unspecified() {
            section.fault(
                "seeds",
                format!("holds {seed}, not an address that a gateway can have"),
            );
        } else if seed.is_ipv4() != listen.is_ipv4() {
            section.fault(
                "seeds",
                format!("holds {seed}, which cannot be reached from {listen}"),
            );
        } else {
            seeds.push(seed);
        }
    }
    seeds
}

fn read_networks(section: &Section<'_>) -> Vec<IpNet> {
    let mut networks = vec![];
    for text in section.texts("from", Some(&[])) {
        match parse_network(&text) {
            Some(network) => networks.push(network),
            None => section.fault("from", format!("holds {text:?}, not a network")),
        }
    }
    networks
}
