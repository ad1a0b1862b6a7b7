//! `[snmp]`: who may see what of the agent, who is told of what, and its limits.

use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;

use super::reader::Section;

/// Bytes of a localized key for HMAC-SHA-256 (RFC 7860, section 4.2.2).
pub const AUTH_KEY: usize = 32;
/// Bytes of a localized key for AES-128 (RFC 3826, section 3.1.2.1).
pub const PRIV_KEY: usize = 16;
/// Where the project's objects stand: in the part of the tree that Net-SNMP leaves free for all to use.
pub const ROOT: [u32; 10] = [1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 5739];

/// Subtrees that may be seen: the longest that fits a name decides (RFC 3415, section 4, in small).
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct SnmpView {
    /// Its name.
    pub name: String,
    /// What is seen.
    pub include: Vec<Vec<u32>>,
    /// What of that is not.
    pub exclude: Vec<Vec<u32>>,
}

impl SnmpView {
    /// Whether an object may be seen.
    #[must_use]
    pub fn holds(&self, name: &[u32]) -> bool {
        let longest = |list: &[Vec<u32>]| {
            list.iter()
                .filter(|subtree| name.starts_with(subtree))
                .map(|subtree| subtree.len() + 1)
                .max()
        };
        longest(&self.include) > longest(&self.exclude)
    }
}

/// Which addresses.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct AllowedNetworks(pub Vec<IpNet>);

impl AllowedNetworks {
    /// Whether an address is among them.
    #[must_use]
    pub fn holds(&self, address: IpAddr) -> bool {
        self.0
            .iter()
            .any(|net| net.contains(&address.to_canonical()))
    }
}

/// `[[snmp.community]]`, for v2c.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Community {
    /// The word itself.
    pub name: String,
    /// What it may see.
    pub view: SnmpView,
    /// From where.
    pub from: AllowedNetworks,
}

/// `[[snmp.user]]`, for v3.
#[derive(Clone, PartialEq, Eq)]
pub struct SnmpUser {
    /// The user's name.
    pub name: String,
    /// The localized key for HMAC-SHA-256.
    pub auth: [u8; AUTH_KEY],
    /// The localized key for AES-128, where the user may encrypt.
    pub privacy: Option<[u8; PRIV_KEY]>,
    /// Whether what is not encrypted is answered too.
    pub plain: bool,
    /// What the user may see.
    pub view: SnmpView,
    /// From where.
    pub from: AllowedNetworks,
}

impl std::fmt::Debug for SnmpUser {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("User")
            .field("name", &self.name)
            .field("view", &self.view.name)
            .finish_non_exhaustive()
    }
}

/// What a receiver is told with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// v2c.
    Community(String),
    /// v3: the user, and for informs the receiver's engine, to which the user's keys are localized.
    User(SnmpUser, Option<Vec<u8>>),
}

/// `[[snmp.receiver]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotificationReceiver {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it acknowledges.
    pub inform: bool,
    /// What it is told with.
    pub with: Credentials,
    /// How long the first acknowledgement is waited for, in milliseconds; each further one twice as long.
    pub timeout_ms: u64,
    /// How often an inform is sent again.
    pub retries: u32,
    /// Notifications that may wait for it.
    pub queue: usize,
}

/// `[snmp.notify]`: when what is told.
#[derive(Clone, Debug, PartialEq)]
pub struct NotificationSettings {
    /// A group is without a primary for longer than this, in milliseconds.
    pub no_primary_ms: u64,
    /// A search lasts for longer than this, in milliseconds.
    pub search_lasting_ms: u64,
    /// Refusals of a class in a second from which it is told.
    pub refusals_rising: f64,
    /// And below which they have ended.
    pub refusals_falling: f64,
    /// Over so long a time, in milliseconds.
    pub refusals_over_ms: u64,
    /// The part of its allowance, in thousandths, from which a tenant has overrun its budget.
    pub budget_rising: u64,
    /// And below which it has come back.
    pub budget_falling: u64,
    /// How long the oldest of a tenant at the door has waited from which it is told, in milliseconds.
    pub queue_rising_ms: u64,
    /// And below which it no longer is.
    pub queue_falling_ms: u64,
    /// Notifications within the storm's window, beyond which the rest are told as one.
    pub storm: usize,
    /// The window, in milliseconds.
    pub storm_window_ms: u64,
}

/// What the agent may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest answer, in bytes.
    pub max_size: usize,
    /// Names in one request.
    pub max_bindings: usize,
    /// Requests in a second from one address, and in all.
    pub per_source: u32,
    /// In all.
    pub total: u32,
    /// The part of a core that it may take.
    pub cpu_share: f64,
}

/// `[snmp]`.
#[derive(Clone, Debug, PartialEq)]
pub struct SnmpSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The engine's id (RFC 3411, section 5).
    pub engine: Vec<u8>,
    /// sysContact and sysLocation.
    pub contact: String,
    /// Where it stands.
    pub location: String,
    /// Who may ask with v2c.
    pub communities: Vec<Community>,
    /// Who may ask with v3.
    pub users: Vec<SnmpUser>,
    /// Who is told.
    pub receivers: Vec<NotificationReceiver>,
    /// Of what.
    pub notify: NotificationSettings,
    /// Limits.
    pub limits: Limits,
}

/// The engine's id for a gateway's name: Net-SNMP's enterprise number, format 4 (text), and the name.
#[must_use]
pub fn engine_id(name: &str) -> Vec<u8> {
    let text: Vec<u8> = name.bytes().take(27).collect();
    [&(8072_u32 | 0x8000_0000).to_be_bytes()[..], &[4], &text].concat()
}

fn oid(text: &str) -> Option<Vec<u32>> {
    let name: Vec<u32> = text
        .trim_start_matches('.')
        .split('.')
        .map(|p| p.parse().ok())
        .collect::<Option<_>>()?;
    (name.len() <= 128).then_some(name)
}

impl SnmpSettings {
    /// Reads the section. Users need `[state]`: engine boots must be kept over restarts.
    pub(super) fn read(section: &Section<'_>, gateway: &str, durable: bool) -> Self {
        let listen = section.address("listen");
        let usual = hex::encode(engine_id(gateway));
        let engine = hex::decode(section.text("engine-id", Some(&usual))).unwrap_or_default();
        if !(5..=32).contains(&engine.len()) {
            section.fault("engine-id", "is not 5 to 32 bytes in hexadecimal digits");
        }
        let views = views(section);
        let mut communities = vec![];
        let mut shown = vec![];
        for community in section.list("community") {
            let name = community.text("name", None);
            if name.is_empty() && community.has("name") {
                community.fault("name", "is empty");
            }
            let (view, from) = access(&community, &views);
            communities.push(Community { name, view, from });
            shown.push(community.finish());
        }
        section.put_list("community", shown);
        let mut users: Vec<SnmpUser> = vec![];
        let mut shown = vec![];
        for entry in section.list("user") {
            let read = user(&entry, &views);
            if !durable {
                entry.fault(
                    "name",
                    "needs [state] dir: engine boots must be kept over restarts (RFC 3414, 2.2)",
                );
            }
            if users.iter().any(|u| u.name == read.name) {
                entry.fault("name", format!("is {:?}, as another user's", read.name));
            }
            users.push(read);
            shown.push(entry.finish());
        }
        section.put_list("user", shown);
        let receivers = receivers(section, &users);
        if communities.is_empty() && users.is_empty() && receivers.is_empty() {
            section.fault(
                "community",
                "is missing, as are users and receivers: the agent would serve nobody",
            );
        }
        let notify = section.section("notify");
        let read_notify = notify_of(&notify);
        section.put("notify", notify.finish());
        let limits = section.section("limits");
        let rate = |key: &str, usual| {
            u32::try_from(limits.whole(key, Some(usual), 1..=1_000_000)).unwrap_or(1)
        };
        let read_limits = Limits {
            max_size: limits.size("max-size", 1400, 484..=65_507),
            max_bindings: limits.size("max-bindings", 64, 1..=10_000),
            per_source: rate("per-source-per-s", 2000),
            total: rate("total-per-s", 5000),
            cpu_share: limits.above_zero("cpu-share", Some(0.1), 1.0),
        };
        section.put("limits", limits.finish());
        Self {
            listen,
            engine,
            contact: section.text("contact", Some("")),
            location: section.text("location", Some("")),
            communities,
            users,
            receivers,
            notify: read_notify,
            limits: read_limits,
        }
    }
}

fn views(section: &Section<'_>) -> Vec<SnmpView> {
    // Always there, unless the file has its own of that name.
    let all = SnmpView {
        name: "all".into(),
        include: vec![vec![1, 3, 6, 1]],
        exclude: vec![],
    };
    let mut views = vec![];
    let mut shown = vec![];
    for entry in section.list("view") {
        let name = entry.name("name", None);
        let subtrees = |key: &str, usual| {
            let texts = entry.texts(key, usual);
            let read: Vec<Option<Vec<u32>>> = texts.iter().map(|t| oid(t)).collect();
            if let Some(place) = read.iter().position(Option::is_none) {
                entry.fault(
                    key,
                    format!("holds {:?}, not numbers with dots between", texts[place]),
                );
            }
            read.into_iter().flatten().collect()
        };
        let view = SnmpView {
            name,
            include: subtrees("include", None),
            exclude: subtrees("exclude", Some(&[])),
        };
        if views.iter().any(|v: &SnmpView| v.name == view.name) {
            entry.fault("name", format!("is {:?}, as another view's", view.name));
        }
        views.push(view);
        shown.push(entry.finish());
    }
    section.put_list("view", shown);
    if !views.iter().any(|v| v.name == "all") {
        views.push(all);
    }
    views
}

fn access(entry: &Section<'_>, views: &[SnmpView]) -> (SnmpView, AllowedNetworks) {
    let name = entry.text("view", Some("all"));
    let view = views
        .iter()
        .find(|v| v.name == name)
        .cloned()
        .unwrap_or_else(|| {
            entry.fault("view", format!("is {name:?}, which no view is named"));
            SnmpView::default()
        });
    let texts = entry.texts("from", Some(&["127.0.0.0/8", "::1/128"]));
    let net = |text: &String| -> Option<IpNet> {
        text.parse()
            .ok()
            .or(text.parse::<IpAddr>().ok().map(IpNet::from))
    };
    if let Some(bad) = texts.iter().find(|t| net(t).is_none()) {
        entry.fault(
            "from",
            format!("holds {bad:?}, not a network such as 10.0.0.0/8"),
        );
    }
    (
        view,
        AllowedNetworks(texts.iter().filter_map(net).collect()),
    )
}

fn key<const N: usize>(entry: &Section<'_>, name: &str) -> [u8; N] {
    let text = entry.text(name, None);
    let bytes = hex::decode(&text)
        .ok()
        .and_then(|b| <[u8; N]>::try_from(b).ok());
    bytes.unwrap_or_else(|| {
        if entry.has(name) {
            let what = format!(
                "is not a localized key of {N} bytes in hexadecimal digits; `valehatch snmp key` makes one"
            );
            entry.fault(name, what);
        }
        [0; N]
    })
}

fn user(entry: &Section<'_>, views: &[SnmpView]) -> SnmpUser {
    let name = entry.name("name", None);
    let auth = key(entry, "auth-key");
    let privacy = entry.has("priv-key").then(|| key(entry, "priv-key"));
    let levels = [("auth-no-priv", true), ("auth-priv", false)];
    let plain = entry.choice(
        "level",
        Some(if privacy.is_some() {
            "auth-priv"
        } else {
            "auth-no-priv"
        }),
        &levels,
    );
    if !plain && privacy.is_none() {
        entry.fault("level", "is auth-priv, but there is no priv-key");
    }
    let (view, from) = access(entry, views);
    SnmpUser {
        name,
        auth,
        privacy,
        plain,
        view,
        from,
    }
}

fn receivers(section: &Section<'_>, users: &[SnmpUser]) -> Vec<NotificationReceiver> {
    let mut all = vec![];
    let mut shown = vec![];
    for entry in section.list("receiver") {
        let address = entry.address("address");
        let inform = entry.choice("kind", Some("trap"), &[("trap", false), ("inform", true)]);
        let with = match (entry.optional_text("community"), entry.has("user")) {
            (Some(community), false) => Credentials::Community(community),
            (None, true) if inform => {
                // The receiver's engine decides over an inform: the keys are localized to it, not to this engine.
                let name = entry.name("user", None);
                let text = entry.text("engine-id", None);
                let engine = hex::decode(&text)
                    .ok()
                    .filter(|e| (5..=32).contains(&e.len()));
                if engine.is_none() && entry.has("engine-id") {
                    entry.fault("engine-id", "is not 5 to 32 bytes in hexadecimal digits");
                }
                let (auth, privacy) = (
                    key(&entry, "auth-key"),
                    entry.has("priv-key").then(|| key(&entry, "priv-key")),
                );
                let (view, from) = (SnmpView::default(), AllowedNetworks::default());
                let plain = privacy.is_none();
                Credentials::User(
                    SnmpUser {
                        name,
                        auth,
                        privacy,
                        plain,
                        view,
                        from,
                    },
                    engine,
                )
            }
            (None, true) => {
                let name = entry.text("user", None);
                match users.iter().find(|u| u.name == name) {
                    Some(user) => Credentials::User(user.clone(), None),
                    None => {
                        entry.fault("user", format!("is {name:?}, which no user is named"));
                        Credentials::Community(String::new())
                    }
                }
            }
            _ => {
                entry.fault("community", "or user: exactly one of them must be there");
                Credentials::Community(String::new())
            }
        };
        all.push(NotificationReceiver {
            address,
            inform,
            with,
            timeout_ms: entry
                .whole("timeout-ms", Some(1000), 10..=600_000)
                .unsigned_abs(),
            retries: u32::try_from(entry.whole("retries", Some(5), 0..=100)).unwrap_or(0),
            queue: entry.size("queue", 256, 1..=100_000),
        });
        shown.push(entry.finish());
    }
    section.put_list("receiver", shown);
    all
}

fn notify_of(notify: &Section<'_>) -> NotificationSettings {
    let ms = |key: &str, usual| {
        notify
            .whole(key, Some(usual), 1..=86_400_000)
            .unsigned_abs()
    };
    let read = NotificationSettings {
        no_primary_ms: ms("no-primary-ms", 5000),
        search_lasting_ms: ms("search-lasting-ms", 2000),
        refusals_rising: notify.above_zero("refusals-rising-per-s", Some(10.0), 1e9),
        refusals_falling: notify.number("refusals-falling-per-s", Some(2.0), 0.0..=1e9),
        refusals_over_ms: ms("refusals-over-ms", 5000),
        budget_rising: notify
            .whole("budget-rising-permille", Some(1100), 1..=1_000_000)
            .unsigned_abs(),
        budget_falling: notify
            .whole("budget-falling-permille", Some(1000), 1..=1_000_000)
            .unsigned_abs(),
        queue_rising_ms: ms("queue-rising-ms", 400),
        queue_falling_ms: ms("queue-falling-ms", 100),
        storm: notify.size("storm", 20, 1..=100_000),
        storm_window_ms: ms("storm-window-ms", 10_000),
    };
    if read.refusals_falling >= read.refusals_rising {
        notify.fault(
            "refusals-falling-per-s",
            "must be below refusals-rising-per-s",
        );
    }
    if read.queue_falling_ms > read.queue_rising_ms {
        notify.fault("queue-falling-ms", "must not be above queue-rising-ms");
    }
    if read.budget_falling > read.budget_rising {
        notify.fault(
            "budget-falling-permille",
            "must not be above budget-rising-permille",
        );
    }
    read
}
