//! `[[front]]`: an address on which clients connect, with its endpoints, contracts and settings.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Protocol;
use super::contracts::{self, ContractSection, Contracts, Metrics};
use super::endpoints::EndpointSource;
use super::front_settings::settings_text;
use super::sections::{Budget, GatewaySection, MEMORY_MB, SOCKETS};
use crate::names::Names;
use crate::reader::Section;
use crate::site::Site;

/// An entry of the list `[[front]]`.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// `name`: the name of the front; default the name of its protocol.
    pub name: Arc<str>,
    /// `protocol`: the protocol of the front's clients and endpoints.
    pub protocol: Protocol,
    /// `listen`: the address on which clients connect.
    pub listen: SocketAddr,
    /// `sockets`: limit on descriptors, 64 to 1,048,576; default the value of `[gateway]`.
    pub sockets: usize,
    /// `memory-mb`: limit on memory, in megabytes, 16 to 1,048,576; default the value of
    /// `[gateway]`.
    pub memory_mb: usize,
    /// The source of the front's endpoint list.
    pub endpoints: EndpointSource,
    /// Settings and names of the front.
    pub site: Site,
    /// The contracts of the front's statements.
    pub contracts: Contracts,
}

/// Settings that all fronts of a file share.
pub(super) struct SharedSettings<'a> {
    pub(super) gateway: &'a GatewaySection,
    pub(super) budgets: &'a [Budget],
    pub(super) metrics: Metrics,
}

/// Reads a front; `None` if its settings cannot be built because of faults or a lack of contracts.
pub(super) fn read_front(
    section: &Section<'_>,
    shared: &SharedSettings<'_>,
) -> Option<FrontSettings> {
    let protocol = section.choice("protocol", None, &Protocol::NAMES);
    let name = section.name("name", Some(protocol.name()));
    let listen = section.address("listen");
    let sockets = section.size("sockets", shared.gateway.sockets, SOCKETS);
    let memory_mb = section.size("memory-mb", shared.gateway.memory_mb, MEMORY_MB);
    let endpoints = EndpointSource::read(section);
    let groups = endpoints.groups();
    let mut contracts = contracts::read_contracts(
        section,
        protocol,
        shared.budgets,
        groups.as_deref(),
        shared.metrics,
    );
    if protocol == Protocol::Cassandra {
        contracts.extend(contracts::built_in_contracts(section, groups.as_deref()));
    }
    let site = read_site(section, protocol, shared, &contracts)?;
    Some(FrontSettings {
        name: name.into(),
        protocol,
        listen,
        sockets,
        memory_mb,
        endpoints,
        site,
        contracts: contracts::contracts(&contracts, shared.budgets),
    })
}

fn read_site(
    section: &Section<'_>,
    protocol: Protocol,
    shared: &SharedSettings<'_>,
    contracts: &[ContractSection],
) -> Option<Site> {
    let text = settings_text(
        section,
        protocol,
        shared.gateway.gateways,
        shared.budgets,
        contracts,
    );
    let names = Names {
        classes: contracts.iter().map(|c| c.name.clone()).collect(),
        tenants: shared.budgets.iter().map(|b| b.name.clone()).collect(),
        zones: vec!["site".into()],
        kinds: vec!["member".into()],
    };
    match Site::new(&text, names) {
        Ok(_) if contracts.is_empty() => None,
        Ok(site) => Some(site),
        Err(error) => {
            section.fault("contract", format!("cannot be used: {error}"));
            None
        }
    }
}
