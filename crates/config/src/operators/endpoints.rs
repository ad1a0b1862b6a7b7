//! The source of a front's endpoint list: `discovery`, or the list `[[front.member]]`.

use std::net::SocketAddr;
use std::sync::Arc;

use valehatch_policy::{EndpointRecord, EndpointState, GroupId, KindId, ZoneId};

use crate::names::endpoint_id;
use crate::reader::Section;

const MAX_WEIGHT: f64 = 1e6;

/// An entry of the list `[[front.member]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct StaticEndpoint {
    /// `name`: the name of the endpoint.
    pub name: Arc<str>,
    /// The record of the endpoint, as in an endpoint list from discovery.
    pub record: EndpointRecord,
    /// `address`: the address on which the endpoint listens.
    pub address: SocketAddr,
}

/// The source of a front's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointSource {
    /// The file lists them.
    Static(Vec<StaticEndpoint>),
    /// Discovery at this address lists them.
    Discovery(SocketAddr),
}

impl EndpointSource {
    pub(super) fn read(front: &Section<'_>) -> Self {
        if front.has("discovery") {
            if front.has("member") {
                front.fault(
                    "member",
                    "is given in addition to discovery: remove one of them",
                );
                // Reads the endpoints to report their faults too.
                for section in front.list("member") {
                    let _ = read_endpoint(&section);
                }
            }
            return Self::Discovery(front.address("discovery"));
        }
        let mut endpoints: Vec<StaticEndpoint> = vec![];
        let mut completed = vec![];
        for section in front.list("member") {
            let endpoint = read_endpoint(&section);
            let id = endpoint.record.endpoint;
            if endpoints.iter().any(|other| other.record.endpoint == id) {
                section.fault(
                    "name",
                    format!(
                        "is {:?}, which gives the same id as another member's name",
                        endpoint.name
                    ),
                );
            }
            endpoints.push(endpoint);
            completed.push(section.finish());
        }
        if endpoints.is_empty() {
            front.fault("member", "is missing: a front needs members, or discovery");
        }
        front.put_list("member", completed);
        Self::Static(endpoints)
    }

    /// The groups that have endpoints; `None` if the endpoint list comes from discovery.
    pub(super) fn groups(&self) -> Option<Vec<u16>> {
        match self {
            Self::Static(endpoints) => Some(endpoints.iter().map(|e| e.record.group.0).collect()),
            Self::Discovery(_) => None,
        }
    }
}

fn read_endpoint(section: &Section<'_>) -> StaticEndpoint {
    let name = section.name("name", None);
    let states = [
        ("active", EndpointState::Ready),
        ("leaving", EndpointState::Draining),
    ];
    let record = EndpointRecord {
        // The id is derived from the name, so that it does not change when other endpoints are
        // removed from the file.
        endpoint: endpoint_id(&name),
        group: GroupId(read_group(section)),
        zone: ZoneId(0),
        kind: KindId(0),
        weight: section.above_zero("weight", Some(1.0), MAX_WEIGHT),
        started: None,
        primary: section.flag("primary", false),
        state: section.choice("state", Some("active"), &states),
    };
    StaticEndpoint {
        name: name.into(),
        record,
        address: section.address("address"),
    }
}

/// `group`: an endpoint group, 0 to 65,535, default 0.
pub(super) fn read_group(section: &Section<'_>) -> u16 {
    let group = section.integer("group", Some(0), 0..=i64::from(u16::MAX));
    u16::try_from(group).unwrap_or(0)
}
