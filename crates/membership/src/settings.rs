//! Settings of membership, and their validation.
//!
//! Spans are whole microseconds, rates are bytes per second.

use std::net::SocketAddr;

use valehatch_policy::Span;

/// Shortest probe interval that is accepted.
const MIN_PROBE_INTERVAL: Span = Span::from_millis(10);
/// Least byte rate that is accepted: less would leave probes unsent.
const MIN_BYTES_PER_SECOND: u32 = 1024;

/// Settings of one gateway's membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's address, by which all others know it.
    pub local_address: SocketAddr,
    /// Gateways to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Number of this gateway's zone; 0 if there are none.
    pub zone: u16,
    /// Number of the program's version.
    pub version: u16,
    /// Time between two probes of this gateway, at least 10 ms. All other intervals are multiples
    /// of it.
    pub probe_interval: Span,
    /// Other gateways that are known at most.
    pub max_members: usize,
    /// Bytes that may be sent per second on average, at least 1,024; twice as many may be sent in
    /// any one second.
    pub max_bytes_per_second: u32,
    /// Size of the fleet while it is not known.
    pub configured_fleet_size: u32,
    /// How long the fleet must have been smaller before the smaller size is used.
    pub shrink_delay: Span,
}

/// Why settings were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidSettings {
    /// Others cannot send to [`Settings::local_address`]: its IP address is unspecified or its port
    /// is 0.
    UnreachableLocalAddress,
    /// [`Settings::probe_interval`] is too short.
    ProbeIntervalTooShort,
    /// [`Settings::max_members`] is 0.
    NoMembers,
    /// [`Settings::max_bytes_per_second`] is too low.
    ByteRateTooLow,
}

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::UnreachableLocalAddress => "the own address is none that others could send to",
            Self::ProbeIntervalTooShort => "the period is under 10 ms",
            Self::NoMembers => "no gateway may be known",
            Self::ByteRateTooLow => "under 1,024 bytes a second leave questions unasked",
        })
    }
}

impl std::error::Error for InvalidSettings {}

impl Settings {
    /// Checks the bounds that the fields document.
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

    /// Whether there is no seed but this gateway itself.
    pub(crate) fn has_no_other_seeds(&self) -> bool {
        self.seeds.iter().all(|seed| *seed == self.local_address)
    }
}
