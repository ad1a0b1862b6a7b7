//! `[[snmp.receiver]]`: receivers of notifications, and how notifications are sent to them.

use std::net::SocketAddr;

use super::access::{AllowedNetworks, SnmpUser, SnmpView, read_key, read_privacy_key};
use super::parse_engine_id;
use crate::reader::Section;

/// The credentials by which a receiver authenticates notifications.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// SNMPv2c: the community string.
    Community(String),
    /// SNMPv3: the user, and for informs the receiver's engine id, to which the user's keys are
    /// localized.
    User(SnmpUser, Option<Vec<u8>>),
}

/// An entry of the list `[[snmp.receiver]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotificationReceiver {
    /// `address`: the address on which the receiver listens.
    pub address: SocketAddr,
    /// `kind`: whether the receiver acknowledges notifications (inform) or not (trap, the default).
    pub inform: bool,
    /// `community` or `user`: the credentials of notifications.
    pub credentials: Credentials,
    /// `timeout-ms`: time until the first retransmission of an inform, in milliseconds, 10 to
    /// 600,000, default 1,000; twice as long before each further one.
    pub timeout_ms: u64,
    /// `retries`: retransmissions of an inform, 0 to 100, default 5.
    pub retries: u32,
    /// `queue`: maximum number of notifications that wait for the receiver, 1 to 100,000, default
    /// 256.
    pub queue: usize,
}

pub(super) fn read_receivers(snmp: &Section<'_>, users: &[SnmpUser]) -> Vec<NotificationReceiver> {
    let mut receivers = vec![];
    let mut completed = vec![];
    for section in snmp.list("receiver") {
        receivers.push(read_receiver(&section, users));
        completed.push(section.finish());
    }
    snmp.put_list("receiver", completed);
    receivers
}

fn read_receiver(section: &Section<'_>, users: &[SnmpUser]) -> NotificationReceiver {
    let address = section.address("address");
    let kinds = [("trap", false), ("inform", true)];
    let inform = section.choice("kind", Some("trap"), &kinds);
    let community = section.optional_text("community");
    let credentials = match (community, section.has("user")) {
        (Some(community), false) => Credentials::Community(community),
        (None, true) if inform => read_inform_user(section),
        (None, true) => find_trap_user(section, users),
        _ => {
            section.fault("community", "or user: exactly one of them must be given");
            Credentials::Community(String::new())
        }
    };
    let timeout_ms = section.integer("timeout-ms", Some(1000), 10..=600_000);
    let retries = section.integer("retries", Some(5), 0..=100);
    NotificationReceiver {
        address,
        inform,
        credentials,
        timeout_ms: timeout_ms.unsigned_abs(),
        retries: u32::try_from(retries).unwrap_or(0),
        queue: section.size("queue", 256, 1..=100_000),
    }
}

/// Reads the user of informs. The receiver's engine is authoritative for an inform, so the keys are
/// localized to that engine and are read from the receiver's section.
fn read_inform_user(section: &Section<'_>) -> Credentials {
    let name = section.name("user", None);
    let engine = parse_engine_id(&section.text("engine-id", None));
    if engine.is_none() && section.has("engine-id") {
        section.fault("engine-id", "is not 5 to 32 bytes in hexadecimal digits");
    }
    let auth_key = read_key(section, "auth-key");
    let privacy_key = read_privacy_key(section);
    let user = SnmpUser {
        name,
        auth_key,
        privacy_key,
        allow_unencrypted: privacy_key.is_none(),
        view: SnmpView::default(),
        from: AllowedNetworks::default(),
    };
    Credentials::User(user, engine)
}

/// Finds the user of traps in `[[snmp.user]]`, since the agent's engine is authoritative for a
/// trap.
fn find_trap_user(section: &Section<'_>, users: &[SnmpUser]) -> Credentials {
    let name = section.text("user", None);
    let Some(user) = users.iter().find(|user| user.name == name) else {
        section.fault("user", format!("is {name:?}, which no user is named"));
        return Credentials::Community(String::new());
    };
    Credentials::User(user.clone(), None)
}
