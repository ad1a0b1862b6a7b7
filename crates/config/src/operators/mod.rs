//! The operators' file: all fronts of a gateway with their endpoints, contracts and budgets, and
//! the settings of its monitoring.
//!
//! Input: TOML. Output: [`OperatorConfig`], or all faults with their keys and lines. The sections
//! of a front are converted to settings text, which the parser of the platform's settings reads.
//!
//! | module | sections of the file |
//! | --- | --- |
//! | `sections` | `[gateway]`, `[log]`, `[state]`, `[door]`, `[[budget]]` |
//! | `fronts` | `[[front]]` |
//! | `endpoints` | `[[front.member]]` |
//! | `contracts` | `[[front.contract]]` |
//! | `front_settings` | `[front.limits]`, `[front.rules]`, `[front.database]` |
//! | [`crate::peers`], [`crate::snmp`] | `[peers]`, `[snmp]` |

mod contracts;
mod endpoints;
mod front_settings;
mod fronts;
mod sections;

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use toml_edit::DocumentMut;

use self::contracts::Metrics;
pub use self::contracts::{Contract, Contracts};
pub use self::endpoints::{EndpointSource, StaticEndpoint};
pub use self::fronts::FrontSettings;
use self::fronts::{SharedSettings, read_front};
use self::sections::GatewaySection;
pub use self::sections::{AdmissionSettings, LogLevel, LogSettings, StateSettings};
use crate::peers::PeerSettings;
use crate::reader::{ConfigError, Section, Source};
use crate::snmp::{EngineBoots, SnmpSettings};

/// The protocol of a front's clients and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// PostgreSQL's protocol, version 3, in the platform's form.
    Postgresql,
    /// The Cassandra native protocol.
    Cassandra,
}

impl Protocol {
    const NAMES: [(&'static str, Self); 2] = [
        ("postgresql", Self::Postgresql),
        ("cassandra", Self::Cassandra),
    ];

    /// The name of the protocol in the file.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Postgresql => "postgresql",
            Self::Cassandra => "cassandra",
        }
    }
}

/// The content of the operators' file.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// `gateway.name`: the name of the gateway.
    pub name: Arc<str>,
    /// `[log]`: level and format of the log.
    pub log: LogSettings,
    /// `[state]`: the state directory; without it no state survives a restart.
    pub state: Option<StateSettings>,
    /// `[peers]`: the other gateways; without it the gateway does not contact any.
    pub peers: Option<PeerSettings>,
    /// `gateway.routers`: gateways that share the endpoints, 1 to 100,000, default 1.
    pub gateways: u32,
    /// `mgmt.listen`: the address of the management endpoint; without it there is none.
    pub management: Option<SocketAddr>,
    /// `[door]`: admission control; without it requests go to the decision module directly.
    pub admission: Option<AdmissionSettings>,
    /// The tenants' quotas as shares of the capacity, in the order of the settings.
    pub quota_shares: Vec<f64>,
    /// All fronts, in the order of the file.
    pub fronts: Vec<FrontSettings>,
    /// `[snmp]`: the SNMP agent; without it there is no agent.
    pub snmp: Option<SnmpSettings>,
}

/// The faults of an operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors {
    /// Path of the file.
    pub file: String,
    /// All faults, ordered by line.
    pub list: Vec<ConfigError>,
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = &self.file;
        let lines = self.list.iter().map(|error| format!("{file}: {error}"));
        f.write_str(&lines.collect::<Vec<_>>().join("\n"))
    }
}

impl Error for ConfigErrors {}

impl OperatorConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// All faults, with their keys and lines.
    pub fn load(path: &Path) -> Result<Self, ConfigErrors> {
        let (config, _) = Self::load_with_defaults(path)?;
        Ok(config)
    }

    /// Reads and checks a file; also returns the file's text with all defaults filled in.
    ///
    /// # Errors
    /// All faults, with their keys and lines.
    pub fn load_with_defaults(path: &Path) -> Result<(Self, String), ConfigErrors> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(text).map_err(|list| ConfigErrors { file, list }),
            Err(error) => {
                let error = ConfigError {
                    line: 0,
                    key: String::new(),
                    what: error.to_string(),
                };
                let list = vec![error];
                Err(ConfigErrors { file, list })
            }
        }
    }

    /// Reads and checks a text; also returns the text with all defaults filled in.
    ///
    /// # Errors
    /// All faults, with their keys and lines.
    pub fn parse(text: String) -> Result<(Self, String), Vec<ConfigError>> {
        let source = Source::new(text);
        let Some(document) = source.document() else {
            return Err(source.faults());
        };
        let root = Section::root(&source, &document);
        let config = Self::read(&root);
        let completed = DocumentMut::from(root.finish()).to_string();
        let faults = source.faults();
        if faults.is_empty() {
            Ok((config, completed))
        } else {
            Err(faults)
        }
    }

    fn read(root: &Section<'_>) -> Self {
        let gateway = GatewaySection::read(root);
        let log = LogSettings::read(root);
        let state = StateSettings::read(root);
        let peers = root.optional_section("peers").map(|section| {
            let peers = PeerSettings::read(&section);
            root.put("peers", section.finish());
            peers
        });
        let admission = AdmissionSettings::read(root);
        let management = ManagementSection::read(root);
        let budgets = sections::read_budgets(root);
        let shared = SharedSettings {
            gateway: &gateway,
            budgets: &budgets,
            metrics: match management {
                Some(_) => Metrics::Served,
                None => Metrics::NotServed,
            },
        };
        let fronts = read_fronts(root, &shared, management.as_ref());
        let management = management.map(|management| management.finish(root));
        let snmp = root.optional_section("snmp").map(|section| {
            let boots = match state {
                Some(_) => EngineBoots::Kept,
                None => EngineBoots::NotKept,
            };
            let snmp = SnmpSettings::read(&section, &gateway.name, boots);
            root.put("snmp", section.finish());
            snmp
        });
        Self {
            name: gateway.name,
            log,
            state,
            peers,
            gateways: gateway.gateways,
            management,
            admission,
            quota_shares: budgets.iter().map(|budget| budget.share).collect(),
            fronts,
            snmp,
        }
    }
}

/// `[mgmt]`: the management endpoint. The section stays open until the fronts are read, since their
/// addresses are checked against it.
struct ManagementSection<'a> {
    section: Section<'a>,
    listen: SocketAddr,
}

impl<'a> ManagementSection<'a> {
    fn read(root: &Section<'a>) -> Option<Self> {
        let section = root.optional_section("mgmt")?;
        let listen = section.address("listen");
        Some(Self { section, listen })
    }

    fn finish(self, root: &Section<'_>) -> SocketAddr {
        if self.listen.port() == 0 && self.section.has("listen") {
            self.section.fault("listen", "needs a port other than 0");
        }
        root.put("mgmt", self.section.finish());
        self.listen
    }
}

fn read_fronts(
    root: &Section<'_>,
    shared: &SharedSettings<'_>,
    management: Option<&ManagementSection<'_>>,
) -> Vec<FrontSettings> {
    let mut fronts: Vec<FrontSettings> = vec![];
    let mut completed = vec![];
    for section in root.list("front") {
        if let Some(front) = read_front(&section, shared) {
            check_unique(&section, &front, &fronts, management);
            fronts.push(front);
        }
        completed.push(section.finish());
    }
    if completed.is_empty() {
        root.fault("front", "is missing: a gateway needs one front at least");
    }
    root.put_list("front", completed);
    fronts
}

/// Reports the name or address of a front that another front has too, and an address that the
/// management endpoint has too.
fn check_unique(
    section: &Section<'_>,
    front: &FrontSettings,
    others: &[FrontSettings],
    management: Option<&ManagementSection<'_>>,
) {
    if others.iter().any(|other| other.name == front.name) {
        section.fault("name", format!("is {:?}, as another front's", front.name));
    }
    if others.iter().any(|other| other.listen == front.listen) {
        section.fault("listen", format!("is {}, as another front's", front.listen));
    }
    if let Some(management) = management
        && management.listen == front.listen
    {
        management.section.fault(
            "listen",
            format!("is {}, as front {}'s", front.listen, front.name),
        );
    }
}
