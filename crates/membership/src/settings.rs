//! Settings of membership, and their validation.
//!
//! Spans are whole microseconds, rates are bytes per second.

use std::net::SocketAddr;

use valehatch_policy::Span;

/// Minimum probe interval.
const MIN_PROBE_INTERVAL: Span = Span::from_millis(10);
/// Minimum byte rate; a lower one would not suffice for the probes.
const MIN_BYTES_PER_SECOND: u32 = 1024;

/// Settings of one gateway's membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of this gateway, under which all others know and reach it.
    pub local_address: SocketAddr,
    /// Gateways to contact first; may include this gateway itself, which is skipped.
    pub seeds: Vec<SocketAddr>,
    /// Zone number of this gateway; 0 if the fleet has no zones.
    pub zone: u16,
    /// Program version number.
    pub version: u16,
    /// Protocol period: the time between two probes by this gateway, at least 10 ms. All other
    /// intervals are multiples of it.
    pub probe_interval: Span,
    /// Maximum number of other gateways in the member table, at least 1.
    pub max_members: usize,
    /// Bytes that may be sent per second on average, at least 1,024; twice as many may be sent in
    /// any one second.
    pub max_bytes_per_second: u32,
    /// Fleet size to assume while the actual one is unknown.
    pub configured_fleet_size: u32,
    /// How long the fleet must have been smaller before the smaller size is used.
    pub shrink_delay: Span,
}

/// Reason why settings were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidSettings {
    /// Other gateways cannot send to [`Settings::local_address`]: its IP address is unspecified or
    /// its port is 0.
    UnreachableLocalAddress,
    /// [`Settings::probe_interval`] is shorter than 10 ms.
    ProbeIntervalTooShort,
    /// [`Settings::max_members`] is 0.
    NoMembers,
    /// [`Settings::max_bytes_per_second`] is less than 1,024.
    ByteRateTooLow,
}

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::UnreachableLocalAddress => {
                "the local address is unspecified or has port 0, so other gateways cannot reach it"
            }
            Self::ProbeIntervalTooShort => "the probe interval is shorter than 10 ms",
            Self::NoMembers => "the maximum number of members is 0",
            Self::ByteRateTooLow => {
                "the byte rate is below 1,024 bytes per second, too low for the probes"
            }
        })
    }
}

impl std::error::Error for InvalidSettings {}

impl Settings {
    /// Checks the documented bounds of the fields.
    pub(crate) fn validate(&self) -> Result<(), InvalidSettings> {
        if self.local_address.ip().is_unspecified() || self.local_address.port() == 0 {
            return Err(InvalidSettings::UnreachableLocalAddress);
        }
        if self.probe_interval < MIN_PROBE_INTERVAL {
            return Err(InvalidSettings::ProbeIntervalTooShort);
        }
        if self.max_members == 0 {
            return Err(InvalidSettings::NoMembers);
        }
        if self.max_bytes_per_second < MIN_BYTES_PER_SECOND {
            return Err(InvalidSettings::ByteRateTooLow);
        }
        Ok(())
    }

    /// Whether no seed is configured other than this gateway itself.
    pub(crate) fn has_no_other_seeds(&self) -> bool {
        self.seeds.iter().all(|seed| *seed == self.local_address)
    }
}
