//! `[peers]`: the other gateways, and how they are spoken with.

use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;

use super::reader::Section;

/// `[peers]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Where datagrams are taken in.
    pub listen: SocketAddr,
    /// The address by which the others know this gateway.
    pub advertise: SocketAddr,
    /// The fleet's name: datagrams of another are dropped.
    pub fleet: String,
    /// Gateways to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Where gateways may be: nothing is taken from elsewhere, and nothing sent there.
    pub from: Vec<IpNet>,
    /// Time between two questions, in milliseconds.
    pub probe_ms: i64,
    /// Gateways that are known at the most.
    pub most: usize,
    /// Bytes sent in a second, in the mean.
    pub bytes_per_s: u32,
    /// How long the fleet must have been smaller before that is believed, in milliseconds.
    pub settle_ms: i64,
}

impl PeerSettings {
    /// Whether a gateway may be there.
    #[must_use]
    pub fn allows(&self, address: &SocketAddr) -> bool {
        self.seeds.contains(address) || self.from.iter().any(|net| net.contains(&address.ip()))
    }

    pub(crate) fn read(section: &Section<'_>) -> Self {
        let listen = section.address("listen");
        if section.has("listen") && (listen.ip().is_unspecified() || listen.port() == 0) {
            section.fault(
                "listen",
                format!("is {listen}, not an address of this machine with a port"),
            );
        }
        let advertise = if section.has("advertise") {
            section.address("advertise")
        } else {
            listen
        };
        if advertise.ip().is_unspecified() || advertise.port() == 0 && section.has("advertise") {
            section.fault(
                "advertise",
                format!("is {advertise}, not an address that others can send to"),
            );
        }
        let mut seeds = vec![];
        for text in section.texts("seeds", Some(&[])) {
            match text.parse::<SocketAddr>() {
                Ok(seed) if seed.port() == 0 || seed.ip().is_unspecified() => {
                    section.fault("seeds", format!("holds {seed}, which nobody can be at"));
                }
                Ok(seed) if seed.is_ipv4() != listen.is_ipv4() => {
                    section.fault(
                        "seeds",
                        format!("holds {seed}, which cannot be reached from {listen}"),
                    );
                }
                Ok(seed) => seeds.push(seed),
                Err(_) => section.fault(
                    "seeds",
                    format!("holds {text:?}, not an address with a port"),
                ),
            }
        }
        let mut from = vec![];
        for text in section.texts("from", Some(&[])) {
            match text
                .parse()
                .ok()
                .or(text.parse::<IpAddr>().ok().map(IpNet::from))
            {
                Some(net) => from.push(net),
                None => section.fault("from", format!("holds {text:?}, not a network")),
            }
        }
        if from.is_empty() && seeds.iter().all(|s| *s == advertise) {
            section.fault(
                "seeds",
                "names nobody else, and from allows nobody: there would be no peers",
            );
        }
        let bytes = section.whole("bytes-per-s", Some(8192), 1024..=1_048_576);
        Self {
            listen,
            advertise,
            fleet: section.name("fleet", None),
            seeds,
            from,
            probe_ms: section.whole("probe-ms", Some(500), 50..=60_000),
            most: section.size("most", 1024, 1..=10_000),
            bytes_per_s: u32::try_from(bytes).unwrap_or(u32::MAX),
            settle_ms: section.whole("settle-ms", Some(30_000), 0..=86_400_000),
        }
    }
}
