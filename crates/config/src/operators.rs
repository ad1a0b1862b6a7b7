//! The operators' file: all fronts of a gateway, their members, contracts and budgets, and what watches them.
//!
//! A front's part is turned into the same settings that the platform gives, and goes through the same parser.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use toml_edit::DocumentMut;
use valehatch_policy::{EndpointRecord, EndpointState, GroupId, KindId, ZoneId};

use super::peers::PeerSettings;
use super::reader::{ConfigError, Section, Source};
use super::settings::MIN_DEADLINE_MS;
use super::snmp::SnmpSettings;
use super::{Names, Site, endpoint_id, validate_request_name};

/// What a front speaks.
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

    /// Its name in the file.
    #[must_use]
    pub fn name(self) -> &'static str {
        Self::NAMES[usize::from(self == Self::Cassandra)].0
    }
}

/// How much the log says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// What must be looked at.
    Error,
    /// What should be.
    Warn,
    /// What happens.
    Info,
    /// What is done about it.
    Debug,
}

/// `[log]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least level that is written.
    pub level: LogLevel,
    /// Lines of JSON instead of text.
    pub json: bool,
    /// Lines in a second.
    pub lines_per_s: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            json: false,
            lines_per_s: 50,
        }
    }
}

/// `[state]`: the request log and the counters that outlive the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateSettings {
    /// The folder.
    pub dir: PathBuf,
    /// How often what was recorded is made durable, in milliseconds.
    pub sync_ms: u64,
    /// How often a checkpoint is written, in milliseconds.
    pub checkpoint_ms: u64,
    /// The size from which a segment of the request log is followed by the next, in bytes.
    pub segment_bytes: u64,
    /// Segments that are kept.
    pub segments: usize,
    /// Records that may wait to be written.
    pub queue: usize,
    /// How often what the next start begins with is written down, in milliseconds.
    pub snapshot_ms: u64,
}

/// `[door]`: fair queues in front of the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests that may wait, of each front.
    pub most: usize,
    /// Buckets that the clients of a tenant are hashed into.
    pub buckets: u32,
    /// Groups with something waiting at once, twice: for writes and for reads.
    pub lanes: usize,
}

/// `[[front.member]]`.
#[derive(Clone, Debug, PartialEq)]
pub struct StaticEndpoint {
    /// Its name.
    pub name: Arc<str>,
    /// As the list would tell it.
    pub entry: EndpointRecord,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Where a front's members are known from.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointSource {
    /// The file names them.
    Static(Vec<StaticEndpoint>),
    /// Discovery does, here.
    Discovery(SocketAddr),
}

/// What statements stand under.
#[derive(Clone, Debug)]
pub struct Contract {
    /// The class, in the settings' order.
    pub class: usize,
    /// The budget that pays, in the settings' order.
    pub tenant: Option<usize>,
    /// The group of members that holds the data.
    pub group: u16,
    /// How its statements begin, in the form of [`normal`].
    starts: Vec<String>,
}

/// The contracts of a front whose requests are known by their statements.
#[derive(Clone, Debug)]
pub struct Contracts(Vec<Contract>);

/// `[[front]]`.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Its name.
    pub name: Arc<str>,
    /// What it speaks.
    pub protocol: Protocol,
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Memory that it may take, in megabytes.
    pub memory_mb: usize,
    /// Its members.
    pub members: EndpointSource,
    /// Settings and names.
    pub site: Site,
    /// The contracts by statement.
    pub contracts: Contracts,
}

/// The operators' file.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The gateway's name.
    pub name: Arc<str>,
    /// `[log]`.
    pub log: LogSettings,
    /// `[state]`, unless nothing outlives the process.
    pub state: Option<StateSettings>,
    /// `[peers]`, unless this gateway knows of no other.
    pub peers: Option<PeerSettings>,
    /// Gateways in front of the same members, by the file.
    pub routers: u32,
    /// `[mgmt]`: where operators call for health and figures, unless nobody may.
    pub mgmt: Option<SocketAddr>,
    /// `[door]`, unless requests are handed to the decision module as they come.
    pub door: Option<AdmissionSettings>,
    /// The budgets' shares, in the settings' order.
    pub shares: Vec<f64>,
    /// The fronts.
    pub fronts: Vec<FrontSettings>,
    /// `[snmp]`, unless there is no agent.
    pub snmp: Option<SnmpSettings>,
}

/// A statement for comparing: words with one space between them, in small letters; no more of it than is asked for,
/// and a letter.
fn normal(statement: &str, most: usize) -> String {
    let mut text = String::with_capacity(most.min(statement.len()) + 8);
    for word in statement.trim().trim_end_matches(';').split_whitespace() {
        if !text.is_empty() {
            text.push(' ');
        }
        for letter in word.chars() {
            if text.len() > most {
                return text;
            }
            text.extend(letter.to_lowercase());
        }
    }
    text
}

impl Contracts {
    /// The contract that a statement stands under: the first of the file that knows how it begins.
    #[must_use]
    pub fn of(&self, statement: &str) -> &Contract {
        let longest = self
            .0
            .iter()
            .flat_map(|c| &c.starts)
            .map(String::len)
            .max()
            .unwrap_or(0);
        let text = normal(statement, longest);
        // Whole words: a beginning that ends in a word must not go on with the same word.
        let word = |c: char| c.is_alphanumeric() || c == '_';
        let begins = |s: &String| {
            text.strip_prefix(s.as_str())
                .is_some_and(|rest| !(s.ends_with(word) && rest.starts_with(word)))
        };
        let knows = |c: &&Contract| c.starts.iter().any(begins);
        self.0.iter().find(knows).unwrap_or_else(|| self.unknown())
    }

    /// The contract of statements that no other knows: a write that must not be repeated.
    #[must_use]
    pub fn unknown(&self) -> &Contract {
        &self.0[self.0.len() - 2]
    }

    /// The contract of PREPARE, which has no effect and which any member can serve.
    #[must_use]
    pub fn preparing(&self) -> &Contract {
        &self.0[self.0.len() - 1]
    }
}

/// A file that cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors {
    /// The file.
    pub file: String,
    /// All that is wrong with it.
    pub list: Vec<ConfigError>,
}

impl std::fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self
            .list
            .iter()
            .map(|fault| format!("{}: {fault}", self.file))
            .collect();
        f.write_str(&lines.join("\n"))
    }
}

impl OperatorConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Every key at fault, with its line.
    pub fn load(path: &Path) -> Result<Self, ConfigErrors> {
        Self::load_with_defaults(path).map(|(read, _)| read)
    }

    /// The same, with the file as it reads once every default is filled in.
    ///
    /// # Errors
    /// Every key at fault, with its line.
    pub fn load_with_defaults(path: &Path) -> Result<(Self, String), ConfigErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ConfigErrors {
            file: file.clone(),
            list: vec![ConfigError {
                line: 0,
                key: String::new(),
                what: e.to_string(),
            }],
        })?;
        Self::parse(text).map_err(|list| ConfigErrors { file, list })
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    /// Every key at fault, with its line.
    pub fn parse(text: String) -> Result<(Self, String), Vec<ConfigError>> {
        let source = Source::new(text);
        let read = source.document().map(|document| {
            let root = Section::root(&source, &document);
            let read = Self::read(&root);
            (read, DocumentMut::from(root.done()).to_string())
        });
        let faults = source.faults();
        match read {
            Some((Some(read), shown)) if faults.is_empty() => Ok((read, shown)),
            _ => Err(faults),
        }
    }

    fn read(root: &Section<'_>) -> Option<Self> {
        let gateway = root.section("gateway");
        let name: Arc<str> = gateway.name("name", Some("valehatch")).into();
        let routers = gateway.whole("routers", Some(1), 1..=100_000);
        let limits = (
            gateway.size("sockets", 1024, 64..=1_048_576),
            gateway.size("memory-mb", 192, 16..=1_048_576),
        );
        root.put("gateway", gateway.done());
        let log = root.section("log");
        let levels = [
            ("error", LogLevel::Error),
            ("warn", LogLevel::Warn),
            ("info", LogLevel::Info),
            ("debug", LogLevel::Debug),
        ];
        let lines = log.whole("lines-per-s", Some(50), 1..=1_000_000);
        let read_log = LogSettings {
            level: log.choice("level", Some("info"), &levels),
            json: log.choice("format", Some("text"), &[("text", false), ("json", true)]),
            lines_per_s: u32::try_from(lines).unwrap_or(u32::MAX),
        };
        root.put("log", log.done());
        let state = root.section_if("state").map(|state| {
            let read = state_of(&state);
            root.put("state", state.done());
            read
        });
        let peers = root.section_if("peers").map(|peers| {
            let read = PeerSettings::read(&peers);
            root.put("peers", peers.done());
            read
        });
        let door = root.section_if("door").map(|door| {
            let buckets = door.whole("buckets", Some(4096), 1..=65_536);
            let read = AdmissionSettings {
                most: door.size("most", 10_000, 1..=1_000_000),
                buckets: u32::try_from(buckets).unwrap_or(1),
                lanes: door.size("lanes", 64, 1..=100_000),
            };
            root.put("door", door.done());
            read
        });
        let mgmt = root
            .section_if("mgmt")
            .map(|mgmt| (mgmt.address("listen"), mgmt));
        let budgets = budgets(root);
        let sections = root.list("front");
        let mut fronts: Vec<FrontSettings> = vec![];
        let mut shown = vec![];
        for section in sections {
            if let Some(front) = front(&section, routers, &budgets, limits, mgmt.is_some()) {
                if fronts.iter().any(|f| f.name == front.name) {
                    section.fault("name", format!("is {:?}, as another front's", front.name));
                }
                if fronts.iter().any(|f| f.listen == front.listen) {
                    section.fault("listen", format!("is {}, as another front's", front.listen));
                }
                if let Some((listen, mgmt)) =
                    mgmt.as_ref().filter(|(listen, _)| *listen == front.listen)
                {
                    mgmt.fault("listen", format!("is {listen}, as front {}'s", front.name));
                }
                fronts.push(front);
            }
            shown.push(section.done());
        }
        if fronts.is_empty() && shown.is_empty() {
            root.fault("front", "is missing: a gateway needs one front at least");
        }
        root.put_list("front", shown);
        let mgmt = mgmt.map(|(listen, section)| {
            if listen.port() == 0 && section.has("listen") {
                section.fault("listen", "needs a port other than 0");
            }
            root.put("mgmt", section.done());
            listen
        });
        let snmp = root.section_if("snmp").map(|section| {
            let read = SnmpSettings::read(&section, &name, state.is_some());
            root.put("snmp", section.done());
            read
        });
        let shares = budgets.iter().map(|b| b.share).collect();
        let routers = u32::try_from(routers).unwrap_or(1);
        Some(Self {
            name,
            log: read_log,
            state,
            peers,
            routers,
            mgmt,
            door,
            shares,
            fronts,
            snmp,
        })
    }
}

fn state_of(state: &Section<'_>) -> StateSettings {
    let dir = state.text("dir", None);
    if dir.is_empty() && state.has("dir") {
        state.fault("dir", "is empty");
    }
    let ms =
        |key: &str, usual: i64, most: i64| state.whole(key, Some(usual), 1..=most).unsigned_abs();
    StateSettings {
        dir: dir.into(),
        sync_ms: ms("sync-ms", 200, 10_000),
        checkpoint_ms: ms("checkpoint-ms", 10_000, 3_600_000),
        segment_bytes: state
            .whole("segment-kb", Some(65_536), 4..=4_194_304)
            .unsigned_abs()
            * 1024,
        segments: state.size("segments", 8, 2..=10_000),
        queue: state.size("queue", 16_384, 16..=1_048_576),
        snapshot_ms: ms("snapshot-ms", 1_000, 3_600_000),
    }
}

struct Budget {
    name: String,
    share: f64,
    allowance: f64,
}

fn budgets(root: &Section<'_>) -> Vec<Budget> {
    let mut all: Vec<Budget> = vec![];
    let mut shown = vec![];
    for section in root.list("budget") {
        let budget = Budget {
            name: section.name("name", None),
            share: section.above_zero("share", None, 1.0),
            allowance: section.above_zero("allowance-per-s", None, 1e9),
        };
        if all.iter().any(|b| b.name == budget.name) {
            section.fault("name", format!("is {:?}, as another budget's", budget.name));
        }
        all.push(budget);
        shown.push(section.done());
    }
    root.put_list("budget", shown);
    all
}

/// A contract as the file has it, with all that the settings need.
struct Line {
    name: String,
    budget: Option<String>,
    group: u16,
    statements: Vec<String>,
    consistency: &'static str,
    bound_ms: f64,
    idempotency: &'static str,
    window_ms: f64,
    aim_ms: f64,
    deadline_ms: f64,
    priority_weight: f64,
    late_priority_weight: f64,
}

/// A day: longer than any client waits.
const DAY_MS: f64 = 86_400_000.0;

fn line(
    section: &Section<'_>,
    protocol: Protocol,
    budgets: &[Budget],
    groups: Option<&[u16]>,
) -> Line {
    let cassandra = protocol == Protocol::Cassandra;
    let needs: &[(&str, &'static str)] = if cassandra {
        &[("any", "eventual"), ("write", "mutate")]
    } else {
        &[
            ("any", "eventual"),
            ("write", "mutate"),
            ("fresh", "strong"),
            ("session", "causal"),
            ("bounded", "lag_bound"),
        ]
    };
    let consistency = section.choice("need", None, needs);
    let bounded = consistency == "lag_bound";
    let idempotency = section.choice(
        "effect",
        None,
        &[("safe", "safe"), ("keyed", "keyed"), ("unsafe", "unsafe")],
    );
    let keyed = idempotency == "keyed";
    let group = u16::try_from(section.whole("group", Some(0), 0..=65_535)).unwrap_or(0);
    let read = Line {
        name: section.name("name", None),
        budget: section.text_if("budget"),
        group,
        statements: if cassandra {
            section.texts("statements", None)
        } else {
            vec![]
        },
        consistency,
        bound_ms: if bounded {
            section.above_zero("bound-ms", None, DAY_MS)
        } else {
            0.0
        },
        idempotency,
        window_ms: if keyed {
            section.above_zero("window-ms", None, DAY_MS)
        } else {
            0.0
        },
        aim_ms: section.above_zero("aim-ms", None, DAY_MS),
        deadline_ms: section.number("deadline-ms", None, MIN_DEADLINE_MS..=DAY_MS),
        priority_weight: section.above_zero("worth", Some(1.0), 1e9),
        late_priority_weight: section.number("late-worth", Some(0.0), 0.0..=1.0),
    };
    if read.deadline_ms < read.aim_ms {
        section.fault(
            "deadline-ms",
            format!("is {}, below aim-ms, {}", read.deadline_ms, read.aim_ms),
        );
    }
    if section.has("statements") && cassandra {
        let empty =
            read.statements.iter().any(|s| normal(s, 1).is_empty()) || read.statements.is_empty();
        if empty {
            section.fault("statements", "must say how the contract's statements begin");
        }
    }
    if let Some(name) = read
        .budget
        .as_ref()
        .filter(|b| !budgets.iter().any(|known| known.name == **b))
    {
        section.fault("budget", format!("is {name:?}, which no budget is named"));
    }
    if groups.is_some_and(|known| !known.contains(&group)) {
        section.fault("group", format!("is {group}, which has no member"));
    }
    read
}

fn members(section: &Section<'_>) -> EndpointSource {
    if section.has("discovery") {
        if section.has("member") {
            section.fault("member", "is given beside discovery: one of them must go");
            section
                .list("member")
                .into_iter()
                .for_each(|m| drop(fixed(&m)));
        }
        return EndpointSource::Discovery(section.address("discovery"));
    }
    let mut all: Vec<StaticEndpoint> = vec![];
    let mut shown = vec![];
    for member in section.list("member") {
        let read = fixed(&member);
        if all
            .iter()
            .any(|other| other.entry.endpoint == read.entry.endpoint)
        {
            member.fault(
                "name",
                format!("is {:?}, which cannot be told from another's", read.name),
            );
        }
        all.push(read);
        shown.push(member.done());
    }
    if all.is_empty() {
        section.fault("member", "is missing: a front needs members, or discovery");
    }
    section.put_list("member", shown);
    EndpointSource::Static(all)
}

fn fixed(section: &Section<'_>) -> StaticEndpoint {
    let name = section.name("name", None);
    let states = [
        ("active", EndpointState::Ready),
        ("leaving", EndpointState::Draining),
    ];
    let entry = EndpointRecord {
        // By its name, so that it stays the same when others are taken out of the file.
        endpoint: endpoint_id(&name),
        group: GroupId(u16::try_from(section.whole("group", Some(0), 0..=65_535)).unwrap_or(0)),
        zone: ZoneId(0),
        kind: KindId(0),
        weight: section.above_zero("weight", Some(1.0), 1e6),
        started: None,
        primary: section.flag("primary", false),
        state: section.choice("state", Some("active"), &states),
    };
    StaticEndpoint {
        name: name.into(),
        entry,
        address: section.address("address"),
    }
}

fn front(
    section: &Section<'_>,
    routers: i64,
    budgets: &[Budget],
    limits: (usize, usize),
    told: bool,
) -> Option<FrontSettings> {
    let protocol = section.choice("protocol", None, &Protocol::NAMES);
    let name = section.name("name", Some(protocol.name()));
    let listen = section.address("listen");
    let sockets = section.size("sockets", limits.0, 64..=1_048_576);
    let memory_mb = section.size("memory-mb", limits.1, 16..=1_048_576);
    let members = members(section);
    let groups: Option<Vec<u16>> = match &members {
        EndpointSource::Static(all) => Some(all.iter().map(|m| m.entry.group.0).collect()),
        EndpointSource::Discovery(_) => None,
    };
    let sections = section.list("contract");
    if sections.is_empty() && protocol == Protocol::Postgresql {
        section.fault("contract", "is missing: requests name their contract");
    }
    if let (Protocol::Postgresql, Some(what)) = (
        protocol,
        budgets
            .iter()
            .find_map(|b| validate_request_name(&b.name).err()),
    ) {
        section.fault(
            "protocol",
            format!("is postgresql, where requests say a budget's name, and one {what}"),
        );
    }
    let mut lines: Vec<Line> = vec![];
    let mut shown = vec![];
    for contract in sections {
        let read = line(&contract, protocol, budgets, groups.as_deref());
        if lines.iter().any(|l| l.name == read.name) {
            contract.fault("name", format!("is {:?}, as another contract's", read.name));
        }
        if told && read.name.contains([':', '|']) {
            let what = format!(
                "is {:?}: with [mgmt] it must hold neither ':' nor '|'",
                read.name
            );
            contract.fault("name", what);
        }
        if protocol == Protocol::Postgresql {
            validate_request_name(&read.name)
                .unwrap_or_else(|what| contract.fault("name", what.to_string()));
        }
        lines.push(read);
        shown.push(contract.done());
    }
    section.put_list("contract", shown);
    let own = lines.len();
    let mut contracts = vec![];
    for (class, line) in lines.iter().enumerate() {
        let starts = line.statements.iter().map(|s| normal(s, s.len())).collect();
        let tenant = line
            .budget
            .as_ref()
            .and_then(|name| budgets.iter().position(|b| b.name == *name));
        contracts.push(Contract {
            class,
            tenant,
            group: line.group,
            starts,
        });
    }
    if protocol == Protocol::Cassandra {
        let group = groups.iter().flatten().min().copied().unwrap_or(0);
        for (n, (name, consistency, idempotency, key)) in [
            ("unknown", "mutate", "unsafe", "unknown-deadline-ms"),
            ("prepare", "eventual", "safe", "prepare-deadline-ms"),
        ]
        .into_iter()
        .enumerate()
        {
            let deadline_ms = section.number(key, Some(5000.0), MIN_DEADLINE_MS..=DAY_MS);
            contracts.push(Contract {
                class: own + n,
                tenant: None,
                group,
                starts: vec![],
            });
            let name = name.to_owned();
            let (budget, statements, aim_ms) = (None, vec![], deadline_ms / 4.0);
            let (bound_ms, window_ms, priority_weight, late_priority_weight) = (0.0, 0.0, 1.0, 0.0);
            lines.push(Line {
                name,
                budget,
                group,
                statements,
                consistency,
                bound_ms,
                idempotency,
                window_ms,
                aim_ms,
                deadline_ms,
                priority_weight,
                late_priority_weight,
            });
        }
    }
    let text = settings(section, protocol, routers, budgets, &lines);
    let names = Names {
        classes: lines.iter().map(|l| l.name.clone()).collect(),
        tenants: budgets.iter().map(|b| b.name.clone()).collect(),
        zones: vec!["site".into()],
        kinds: vec!["member".into()],
    };
    let site = Site::new(&text, names)
        .map_err(|what| section.fault("contract", format!("cannot be used: {what}")));
    Some(FrontSettings {
        name: name.into(),
        protocol,
        listen,
        sockets,
        memory_mb,
        members,
        site: site.ok().filter(|_| !lines.is_empty())?,
        contracts: Contracts(contracts),
    })
}

/// The front's part of the file as the settings of the simulator's form.
fn settings(
    section: &Section<'_>,
    protocol: Protocol,
    routers: i64,
    budgets: &[Budget],
    lines: &[Line],
) -> String {
    let mut out = String::new();
    let mut put = |key: String, value: String| {
        // Writing to a text cannot fail.
        let _ = writeln!(out, "{key}={value}");
    };
    for (n, line) in lines.iter().enumerate() {
        put(format!("classes.{n}.effect"), line.idempotency.into());
        put(format!("classes.{n}.group"), "cell".into());
        for (key, value) in [
            ("slo-ms", line.aim_ms),
            ("deadline-ms", line.deadline_ms),
            ("window-ms", line.window_ms),
            ("worth", line.priority_weight),
            ("late-worth", line.late_priority_weight),
        ] {
            put(format!("classes.{n}.{key}"), value.to_string());
        }
    }
    let joined = |of: &dyn Fn(&Line) -> String| lines.iter().map(of).collect::<Vec<_>>().join(",");
    put("classes.count".into(), lines.len().to_string());
    put(
        "family-info.needs-by-class".into(),
        joined(&|l| l.consistency.to_owned()),
    );
    put(
        "family-info.staleness-bound-ms".into(),
        joined(&|l| l.bound_ms.to_string()),
    );
    put("tenants.count".into(), budgets.len().to_string());
    for (n, b) in budgets.iter().enumerate() {
        put(format!("tenants.{n}.share"), b.share.to_string());
        put(
            format!("tenants.{n}.allowance-per-s"),
            b.allowance.to_string(),
        );
    }
    let limits = section.section("limits");
    let attempts = limits.whole("max-attempts", Some(6), 1..=6).to_string();
    let held = limits
        .whole("most-held", Some(20_000), 1..=10_000_000)
        .to_string();
    for (key, value) in [
        ("limits.max-attempts", attempts),
        ("limits.most-held", held),
        (
            "limits.max-retry-after-ms",
            limits
                .above_zero("max-retry-after-ms", Some(2000.0), 3_600_000.0)
                .to_string(),
        ),
        (
            "limits.conn-idle-ms",
            limits
                .above_zero("conn-idle-ms", Some(60_000.0), DAY_MS)
                .to_string(),
        ),
        (
            "limits.connect-timeout-ms",
            limits
                .number("connect-timeout-ms", Some(250.0), 1.0..=60_000.0)
                .to_string(),
        ),
    ] {
        put(key.into(), value);
    }
    section.put("limits", limits.done());
    let rules = section.section("rules");
    for (key, value) in [
        (
            "rules.cold-from",
            rules.above_zero("cold-from", Some(0.24), 1.0),
        ),
        (
            "rules.cold-ms",
            rules.above_zero("cold-ms", Some(17_000.0), DAY_MS),
        ),
        (
            "rules.tip-multiple",
            rules.above_zero("tip-multiple", Some(3.0), 1000.0),
        ),
        (
            "rules.tip-after-ms",
            rules.above_zero("tip-after-ms", Some(2000.0), DAY_MS),
        ),
        ("rules.ask-within-ms", 10_000.0),
        ("over-share-worth", 0.2),
        ("family-info.position-zero-ms", 0.0),
        ("zone", 0.0),
        ("tick-ms", 5.0),
    ] {
        put(key.into(), value.to_string());
    }
    section.put("rules", rules.done());
    put("fleet-size".into(), routers.to_string());
    let postgresql = protocol == Protocol::Postgresql;
    let mut checks = "off";
    let (mut listed, mut sessions, mut reports) = ("static", "kept", "off");
    if postgresql {
        let database = section.section("database");
        checks = database.choice(
            "checks",
            Some("bounce"),
            &[("off", "off"), ("bounce", "bounce"), ("await", "await")],
        );
        let wait = if checks == "await" {
            database.number("catch-up-wait-ms", Some(20.0), 0.0..=60_000.0)
        } else {
            0.0
        };
        put("family-info.catch-up-wait-ms".into(), wait.to_string());
        listed = database.choice(
            "listed-role",
            Some("trailing"),
            &[
                ("trailing", "trailing"),
                ("static", "static"),
                ("off", "off"),
            ],
        );
        sessions = database.choice(
            "sessions",
            Some("kept"),
            &[("kept", "kept"), ("brought", "brought")],
        );
        reports = if database.flag("reports", true) {
            "on_probe"
        } else {
            "off"
        };
        section.put("database", database.done());
    }
    for (key, value) in [
        ("family-info.role-listed", listed),
        ("family-info.server-checks", checks),
        ("family-info.token-mode", sessions),
        ("limits.cancel", "true"),
        ("limits.probing", "true"),
        ("limits.retry-after", "true"),
        ("limits.second-copies", "false"),
        ("membership-mode", "push"),
        ("telemetry.source", reports),
        ("telemetry.fields", "x0,x1,util,inflight"),
    ] {
        put(key.into(), value.into());
    }
    out
}
