//! The list of servers as it is held.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A server, in the words of discovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind of machine.
    #[serde(default)]
    pub model: String,
    /// Its group.
    #[serde(default)]
    pub pod_group: u16,
    /// `active`, `leaving` or `left`.
    pub state: String,
    /// Its size.
    #[serde(default)]
    pub capacity_hint: f64,
    /// When it started, in Unix milliseconds; 0 where that is not told.
    #[serde(default)]
    pub boot_ms: f64,
    /// `read-write` for a primary.
    #[serde(default)]
    pub mode: String,
}

/// The list, as whole lists and changes have made it. Bounded by what discovery lists; those that left are not in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Book {
    /// Who told it, and up to which version; `None` before anything was told.
    pub told: Option<(SocketAddr, u64)>,
    members: BTreeMap<String, Listed>,
}

impl Book {
    /// Takes a list, whole or its changes only.
    pub fn take(&mut self, from: SocketAddr, rev: u64, whole: bool, listed: &[Listed]) {
        self.told = Some((from, rev));
        if whole {
            self.members.clear();
        }
        for server in listed {
            if server.state == "left" {
                self.members.remove(&server.uid);
            } else {
                self.members.insert(server.uid.clone(), server.clone());
            }
        }
    }

    /// The servers, by name.
    pub fn members(&self) -> impl Iterator<Item = &Listed> {
        self.members.values()
    }

    pub(crate) fn members_mut(&mut self) -> impl Iterator<Item = &mut Listed> {
        self.members.values_mut()
    }
}
