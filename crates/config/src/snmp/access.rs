//! Access control: `[[snmp.view]]`, `[[snmp.community]]` and `[[snmp.user]]`.

use std::fmt;
use std::net::IpAddr;

use ipnet::IpNet;

use super::{AUTH_KEY, EngineBoots, PRIV_KEY};
use crate::reader::Section;

/// The predefined view, unless the file defines a view of that name.
const DEFAULT_VIEW: &str = "all";
/// `iso.org.dod.internet`.
const INTERNET: [u32; 4] = [1, 3, 6, 1];
/// Maximum number of sub-identifiers in an object name (RFC 3416, section 4).
const MAX_OBJECT_NAME: usize = 128;
const LOOPBACK: [&str; 2] = ["127.0.0.0/8", "::1/128"];

/// `[[snmp.view]]`: subtrees that may be read. The longest subtree that contains an object
/// determines its access (RFC 3415, section 4, without masks).
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct SnmpView {
    /// `name`: the name of the view.
    pub name: String,
    /// `include`: subtrees that may be read.
    pub include: Vec<Vec<u32>>,
    /// `exclude`: subtrees within the included ones that may not be read.
    pub exclude: Vec<Vec<u32>>,
}

impl SnmpView {
    /// Whether an object may be read.
    #[must_use]
    pub fn holds(&self, object: &[u32]) -> bool {
        longest_match(&self.include, object) > longest_match(&self.exclude, object)
    }
}

/// The length of the longest subtree that contains an object; `None` if none contains it.
fn longest_match(subtrees: &[Vec<u32>], object: &[u32]) -> Option<usize> {
    let matching = subtrees
        .iter()
        .filter(|subtree| object.starts_with(subtree));
    matching.map(Vec::len).max()
}

/// `from`: networks that may send requests; default the loopback networks.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct AllowedNetworks(pub Vec<IpNet>);

impl AllowedNetworks {
    /// Whether an address is in one of the networks.
    #[must_use]
    pub fn holds(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.0.iter().any(|network| network.contains(&address))
    }
}

/// `[[snmp.community]]`, for SNMPv2c.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Community {
    /// `name`: the community string.
    pub name: String,
    /// `view`: the view that the community may read.
    pub view: SnmpView,
    /// `from`: networks that requests may come from.
    pub from: AllowedNetworks,
}

/// `[[snmp.user]]`, for SNMPv3.
#[derive(Clone, PartialEq, Eq)]
pub struct SnmpUser {
    /// `name`: the name of the user.
    pub name: String,
    /// `auth-key`: the localized key for HMAC-SHA-256.
    pub auth_key: [u8; AUTH_KEY],
    /// `priv-key`: the localized key for AES-128; `None` if the user cannot encrypt.
    pub privacy_key: Option<[u8; PRIV_KEY]>,
    /// `level`: whether requests that are not encrypted are answered too.
    pub allow_unencrypted: bool,
    /// `view`: the view that the user may read.
    pub view: SnmpView,
    /// `from`: networks that requests may come from.
    pub from: AllowedNetworks,
}

/// Omits the keys, which must not appear in a log.
impl fmt::Debug for SnmpUser {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("User")
            .field("name", &self.name)
            .field("view", &self.view.name)
            .finish_non_exhaustive()
    }
}

/// Parses an object name: at most 128 numbers, separated by dots.
fn parse_object_name(text: &str) -> Option<Vec<u32>> {
    let mut name = vec![];
    for part in text.trim_start_matches('.').split('.') {
        name.push(part.parse().ok()?);
    }
    (name.len() <= MAX_OBJECT_NAME).then_some(name)
}

fn read_subtrees(section: &Section<'_>, key: &str, default: Option<&[&str]>) -> Vec<Vec<u32>> {
    let texts = section.texts(key, default);
    let invalid = texts.iter().find(|text| parse_object_name(text).is_none());
    if let Some(text) = invalid {
        section.fault(
            key,
            format!("holds {text:?}, not numbers separated by dots"),
        );
    }
    texts
        .iter()
        .filter_map(|text| parse_object_name(text))
        .collect()
}

pub(super) fn read_views(snmp: &Section<'_>) -> Vec<SnmpView> {
    let mut views: Vec<SnmpView> = vec![];
    let mut completed = vec![];
    for section in snmp.list("view") {
        let view = SnmpView {
            name: section.name("name", None),
            include: read_subtrees(&section, "include", None),
            exclude: read_subtrees(&section, "exclude", Some(&[])),
        };
        if views.iter().any(|other| other.name == view.name) {
            section.fault("name", format!("is {:?}, as another view's", view.name));
        }
        views.push(view);
        completed.push(section.finish());
    }
    snmp.put_list("view", completed);
    if !views.iter().any(|view| view.name == DEFAULT_VIEW) {
        views.push(SnmpView {
            name: DEFAULT_VIEW.into(),
            include: vec![INTERNET.to_vec()],
            exclude: vec![],
        });
    }
    views
}

pub(super) fn read_communities(snmp: &Section<'_>, views: &[SnmpView]) -> Vec<Community> {
    let mut communities = vec![];
    let mut completed = vec![];
    for section in snmp.list("community") {
        let name = section.text("name", None);
        if name.is_empty() && section.has("name") {
            section.fault("name", "is empty");
        }
        communities.push(Community {
            name,
            view: read_view_name(&section, views),
            from: read_networks(&section),
        });
        completed.push(section.finish());
    }
    snmp.put_list("community", completed);
    communities
}

pub(super) fn read_users(
    snmp: &Section<'_>,
    views: &[SnmpView],
    boots: EngineBoots,
) -> Vec<SnmpUser> {
    let mut users: Vec<SnmpUser> = vec![];
    let mut completed = vec![];
    for section in snmp.list("user") {
        let user = read_user(&section, views);
        if boots == EngineBoots::NotKept {
            section.fault(
                "name",
                "needs [state] dir: engine boots must be kept over restarts (RFC 3414, 2.2)",
            );
        }
        if users.iter().any(|other| other.name == user.name) {
            section.fault("name", format!("is {:?}, as another user's", user.name));
        }
        users.push(user);
        completed.push(section.finish());
    }
    snmp.put_list("user", completed);
    users
}

fn read_user(section: &Section<'_>, views: &[SnmpView]) -> SnmpUser {
    let name = section.name("name", None);
    let auth_key = read_key(section, "auth-key");
    let privacy_key = read_privacy_key(section);
    let levels = [("auth-no-priv", true), ("auth-priv", false)];
    let default_level = match privacy_key {
        Some(_) => "auth-priv",
        None => "auth-no-priv",
    };
    let allow_unencrypted = section.choice("level", Some(default_level), &levels);
    if !allow_unencrypted && privacy_key.is_none() {
        section.fault("level", "is auth-priv, but there is no priv-key");
    }
    SnmpUser {
        name,
        auth_key,
        privacy_key,
        allow_unencrypted,
        view: read_view_name(section, views),
        from: read_networks(section),
    }
}

/// Reads `view`, the name of a view; default [`DEFAULT_VIEW`].
fn read_view_name(section: &Section<'_>, views: &[SnmpView]) -> SnmpView {
    let name = section.text("view", Some(DEFAULT_VIEW));
    let Some(view) = views.iter().find(|view| view.name == name) else {
        section.fault("view", format!("is {name:?}, which no view is named"));
        return SnmpView::default();
    };
    view.clone()
}

fn read_networks(section: &Section<'_>) -> AllowedNetworks {
    let texts = section.texts("from", Some(&LOOPBACK));
    let invalid = texts.iter().find(|text| parse_network(text).is_none());
    if let Some(text) = invalid {
        section.fault(
            "from",
            format!("holds {text:?}, not a network such as 10.0.0.0/8"),
        );
    }
    let networks = texts.iter().filter_map(|text| parse_network(text));
    AllowedNetworks(networks.collect())
}

/// Parses a network, or an address as the network that contains it alone.
pub(crate) fn parse_network(text: &str) -> Option<IpNet> {
    if let Ok(network) = text.parse() {
        return Some(network);
    }
    text.parse::<IpAddr>().ok().map(IpNet::from)
}

/// Reads a localized key in hexadecimal digits.
pub(super) fn read_key<const N: usize>(section: &Section<'_>, name: &str) -> [u8; N] {
    let text = section.text(name, None);
    let bytes = hex::decode(&text).unwrap_or_default();
    let Ok(key) = <[u8; N]>::try_from(bytes) else {
        if section.has(name) {
            section.fault(
                name,
                format!(
                    "is not a localized key of {N} bytes in hexadecimal digits; `valehatch snmp key` makes one"
                ),
            );
        }
        return [0; N];
    };
    key
}

pub(super) fn read_privacy_key(section: &Section<'_>) -> Option<[u8; PRIV_KEY]> {
    let name = "priv-key";
    section.has(name).then(|| read_key(section, name))
}
