//! `[snmp]`: the address and identity of the agent, access control, receivers of notifications, and
//! limits.
//!
//! | module | sections |
//! | --- | --- |
//! | `access` | `[[snmp.view]]`, `[[snmp.community]]`, `[[snmp.user]]` |
//! | `receivers` | `[[snmp.receiver]]` |
//! | `notifications` | `[snmp.notify]` |
//! | this module | `[snmp]`, `[snmp.limits]` |

pub(crate) mod access;
mod notifications;
mod receivers;

use std::net::SocketAddr;

pub use self::access::{AllowedNetworks, Community, SnmpUser, SnmpView};
pub use self::notifications::NotificationSettings;
pub use self::receivers::{Credentials, NotificationReceiver};
use crate::reader::Section;

/// Length in bytes of a localized key for HMAC-SHA-256 (RFC 7860, section 4.2.2).
pub const AUTH_KEY: usize = 32;
/// Length in bytes of a localized key for AES-128 (RFC 3826, section 3.1.2.1).
pub const PRIV_KEY: usize = 16;
/// The root of the gateway's objects, in the subtree that Net-SNMP reserves for experiments.
pub const ROOT: [u32; 10] = [1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 5739];

/// Net-SNMP's enterprise number.
const NET_SNMP: u32 = 8072;
/// The first bit of an engine id of RFC 3411's format.
const RFC_3411_FORMAT: u32 = 0x8000_0000;
/// Format octet of an engine id that consists of text.
const TEXT_FORMAT: u8 = 4;
/// Maximum length of the text in an engine id, in bytes.
const MAX_ENGINE_TEXT: usize = 27;

/// `[snmp.limits]`: limits on the resources of the agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// `max-size`: maximum size of a response, in bytes, 484 to 65,507, default 1,400.
    pub max_size: usize,
    /// `max-bindings`: maximum number of variable bindings in a request, 1 to 10,000, default 64.
    pub max_bindings: usize,
    /// `per-source-per-s`: requests per second from one address, 1 to 1,000,000, default 2,000.
    pub per_source: u32,
    /// `total-per-s`: requests per second from all addresses, 1 to 1,000,000, default 5,000.
    pub total: u32,
    /// `cpu-share`: maximum share of one core, above 0 to 1, default 0.1.
    pub cpu_share: f64,
}

impl Limits {
    fn read(snmp: &Section<'_>) -> Self {
        let section = snmp.section("limits");
        let rate = |key: &str, default| {
            let per_s = section.integer(key, Some(default), 1..=1_000_000);
            u32::try_from(per_s).unwrap_or(1)
        };
        let read = Self {
            max_size: section.size("max-size", 1400, 484..=65_507),
            max_bindings: section.size("max-bindings", 64, 1..=10_000),
            per_source: rate("per-source-per-s", 2000),
            total: rate("total-per-s", 5000),
            cpu_share: section.above_zero("cpu-share", Some(0.1), 1.0),
        };
        snmp.put("limits", section.finish());
        read
    }
}

/// The section `[snmp]`.
#[derive(Clone, Debug, PartialEq)]
pub struct SnmpSettings {
    /// `listen`: the address on which the agent listens.
    pub listen: SocketAddr,
    /// `engine-id`: 5 to 32 bytes (RFC 3411, section 5); default [`engine_id`] of the gateway's
    /// name.
    pub engine: Vec<u8>,
    /// `contact`: the value of sysContact; default empty.
    pub contact: String,
    /// `location`: the value of sysLocation; default empty.
    pub location: String,
    /// `[[snmp.community]]`: communities that may read with SNMPv2c.
    pub communities: Vec<Community>,
    /// `[[snmp.user]]`: users that may read with SNMPv3.
    pub users: Vec<SnmpUser>,
    /// `[[snmp.receiver]]`: receivers of notifications.
    pub receivers: Vec<NotificationReceiver>,
    /// `[snmp.notify]`: thresholds of notifications.
    pub notify: NotificationSettings,
    /// `[snmp.limits]`: limits on the resources of the agent.
    pub limits: Limits,
}

/// Whether engine boots are kept over restarts, which SNMPv3 needs (RFC 3414, section 2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineBoots {
    Kept,
    NotKept,
}

/// The engine id of a gateway's name: Net-SNMP's enterprise number, the text format, and the name.
#[must_use]
pub fn engine_id(name: &str) -> Vec<u8> {
    let mut id = (NET_SNMP | RFC_3411_FORMAT).to_be_bytes().to_vec();
    id.push(TEXT_FORMAT);
    id.extend(name.bytes().take(MAX_ENGINE_TEXT));
    id
}

/// An engine id of 5 to 32 bytes in hexadecimal digits.
fn parse_engine_id(text: &str) -> Option<Vec<u8>> {
    let id = hex::decode(text).ok()?;
    (5..=32).contains(&id.len()).then_some(id)
}

impl SnmpSettings {
    /// Reads the section; `gateway` is the gateway's name.
    pub(super) fn read(section: &Section<'_>, gateway: &str, boots: EngineBoots) -> Self {
        let listen = section.address("listen");
        let default_engine = hex::encode(engine_id(gateway));
        let engine = parse_engine_id(&section.text("engine-id", Some(&default_engine)));
        if engine.is_none() {
            section.fault("engine-id", "is not 5 to 32 bytes in hexadecimal digits");
        }
        let views = access::read_views(section);
        let communities = access::read_communities(section, &views);
        let users = access::read_users(section, &views, boots);
        let receivers = receivers::read_receivers(section, &users);
        if communities.is_empty() && users.is_empty() && receivers.is_empty() {
            section.fault(
                "community",
                "is missing, as are users and receivers: the agent would serve nobody",
            );
        }
        let notify = NotificationSettings::read(section);
        let limits = Limits::read(section);
        Self {
            listen,
            engine: engine.unwrap_or_default(),
            contact: section.text("contact", Some("")),
            location: section.text("location", Some("")),
            communities,
            users,
            receivers,
            notify,
            limits,
        }
    }
}
