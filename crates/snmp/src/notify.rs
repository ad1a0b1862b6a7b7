//! Notifications: what the alarms say, as traps and informs to each receiver, from a socket and a thread of their own. A
//! receiver that is gone costs the gateway a few datagrams and nothing else.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rasn_snmp::v2::VarBind;
use tracing::{info, warn};
use valehatch_config::snmp::{
    Credentials, NotificationReceiver, NotificationSettings, ROOT, SnmpUser,
};
use valehatch_notifications::{
    DeliveryQueue, EndpointNotification, FrontStatus, GroupNotification, Hysteresis, Notification,
    NotificationMonitor, Retransmission, Thresholds,
};
use valehatch_policy::{Span, Time};
use valehatch_rate_limit::EngineTime;

use crate::engine::{Salt, Shared, Stat};
use crate::message::{self, AUTH, Incoming, PRIV, Said, Sealing};
use crate::picture::{Oid, Value, known, reach};
use crate::schema;

/// How often what is believed is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// sysUpTime.0 and snmpTrapOID.0 (RFC 3416, section 4.2.6).
const UP_TIME: [u32; 9] = [1, 3, 6, 1, 2, 1, 1, 3, 0];
const TRAP_OID: [u32; 11] = [1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0];
/// The report that an engine answers an inform with whose time it does not take.
const NOT_IN_WINDOW: [u32; 11] = [1, 3, 6, 1, 6, 3, 15, 1, 1, 2, 0];
/// The last word at a planned stop waits so long for acknowledgements.
const LAST_WORD: Duration = Duration::from_millis(300);

/// What is carried: objects below [`schema::CARRIED_AT`], by their number.
type Carried = Vec<(u32, Value)>;

/// Thresholds as the file has them.
#[must_use]
pub fn thresholds(notify: &NotificationSettings) -> Thresholds {
    let ms = |n: u64| Span::from_millis(i64::try_from(n).unwrap_or(i64::MAX / 1000));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let parts = |rate: f64| (rate * 1000.0) as u64;
    Thresholds {
        no_primary: ms(notify.no_primary_ms),
        search_lasting: ms(notify.search_lasting_ms),
        rejections: Hysteresis {
            rising: parts(notify.rejections_rising_per_s),
            falling: parts(notify.rejections_falling_per_s),
        },
        rejections_window: ms(notify.rejections_window_ms),
        quota: Hysteresis {
            rising: notify.quota_rising_permille,
            falling: notify.quota_falling_permille,
        },
        queue_wait: Hysteresis {
            rising: notify.queue_wait_rising_ms,
            falling: notify.queue_wait_falling_ms,
        },
        storm_limit: notify.storm_limit,
        storm_window: ms(notify.storm_window_ms),
    }
}

fn text(t: &str) -> Value {
    Value::Bytes(t.as_bytes().to_vec())
}

fn gauge(n: u64) -> Value {
    Value::Gauge(u32::try_from(n).unwrap_or(u32::MAX))
}

/// The values of a notice that [`schema::NOTICES`] says it carries.
fn carried(notice: &Notification, gateway: &str) -> Carried {
    let group = |g: &GroupNotification| {
        vec![
            (1, text(&g.front)),
            (2, gauge(g.group.0.into())),
            (3, text(&g.primary)),
            (4, text(&g.previous_primary)),
            (5, Value::Integer(known(g.evidence))),
            (6, Value::Counter64(g.changes)),
            (7, gauge(g.queued_writes)),
            (8, gauge(g.lasted_ms)),
        ]
    };
    let member = |m: &EndpointNotification| {
        vec![
            (1, text(&m.front)),
            (2, gauge(m.group.0.into())),
            (9, text(&m.name)),
            (10, Value::Integer(reach(m.health))),
        ]
    };
    match notice {
        Notification::Started | Notification::Stopping | Notification::StateRecovered => {
            vec![(15, text(gateway))]
        }
        Notification::PrimaryChanged(g)
        | Notification::SearchStarted(g)
        | Notification::SearchLasting(g)
        | Notification::SearchEnded(g)
        | Notification::NoPrimary(g)
        | Notification::PrimaryRestored(g) => group(g),
        Notification::EndpointUnavailable(m) | Notification::EndpointAvailable(m) => member(m),
        Notification::RejectionsRising(rate) | Notification::RejectionsFallen(rate) => vec![
            (1, text(&rate.front)),
            (11, text(&rate.class)),
            (13, gauge(rate.per_1000_s)),
        ],
        Notification::QuotaExceeded(quota) | Notification::QuotaRecovered(quota) => vec![
            (1, text(&quota.front)),
            (12, text(&quota.tenant)),
            (14, gauge(quota.per_mille)),
        ],
        Notification::QueueLong(wait) | Notification::QueueShort(wait) => vec![
            (1, text(&wait.front)),
            (12, text(&wait.tenant)),
            (8, gauge(wait.wait_ms)),
        ],
        Notification::StateFault(why) => vec![(15, text(why))],
        Notification::Storm(kinds) => {
            let words: Vec<String> = kinds
                .iter()
                .map(|(kind, n)| format!("{n} {kind}"))
                .collect();
            vec![
                (15, text(&words.join(", "))),
                (16, gauge(kinds.iter().map(|(_, n)| n).sum())),
            ]
        }
    }
}

/// A notice as it goes to every receiver.
fn bindings(notice: &Notification, gateway: &str, up: u32) -> Vec<VarBind> {
    let kind = notice.kind() as u32;
    let carries = schema::NOTICES
        .iter()
        .find(|(_, arc, ..)| *arc == kind)
        .map_or(&[][..], |n| n.2);
    let name: Oid = [&ROOT[..], &[schema::NOTIFICATIONS, kind]].concat();
    let mut all = vec![
        message::binding(&UP_TIME, Value::Ticks(up)),
        message::binding(&TRAP_OID, Value::Name(name)),
    ];
    for (arc, value) in carried(notice, gateway)
        .into_iter()
        .filter(|(arc, _)| carries.contains(arc))
    {
        let object: Oid = [&ROOT[..], &[schema::OBJECTS, schema::CARRIED_AT, arc, 0]].concat();
        all.push(message::binding(&object, value));
    }
    all
}

/// One receiver, and what it has not taken yet.
struct Line {
    receiver: NotificationReceiver,
    queue: DeliveryQueue<Arc<Vec<VarBind>>>,
    /// What is known of the receiver's engine, where it decides over informs, and when that was learned.
    engine: Option<(EngineTime, Time)>,
    failing: bool,
}

impl Line {
    fn new(receiver: NotificationReceiver, first: i32) -> Self {
        let pause = Span::from_millis(i64::try_from(receiver.timeout_ms).unwrap_or(1000));
        let informs = receiver.inform.then_some(Retransmission {
            first_pause: pause,
            retries: receiver.retries,
        });
        Self {
            queue: DeliveryQueue::new(receiver.queue, informs, first),
            receiver,
            engine: None,
            failing: false,
        }
    }

    /// The message that goes out now.
    fn message(
        &self,
        now: Time,
        shared: &Shared,
        salt: &mut Salt,
        id: i32,
        list: &[VarBind],
    ) -> Option<Vec<u8>> {
        let pdus = message::notification(self.receiver.inform, id, list.to_vec());
        let access = shared.access.load();
        match &self.receiver.credentials {
            Credentials::Community(community) => message::write_v2c(community.as_bytes(), pdus),
            Credentials::User(user, engine) => {
                // A trap's sender is its own authority; over an inform the receiver's engine is.
                let (engine, window) = match engine {
                    None => (&access.engine, shared.window()),
                    Some(engine) => (engine, self.receivers_window(now)),
                };
                let sealing = Sealing {
                    id,
                    max_size: access.limits.max_size,
                    reportable: self.receiver.inform,
                    engine,
                    window: (window.boots, window.time),
                    user: user.name.as_bytes(),
                    auth: Some(&user.auth_key),
                    privacy: user.privacy_key.as_ref().map(|key| (key, salt.draw())),
                };
                message::write_v3(&sealing, &access.engine, b"", pdus)
            }
        }
    }

    /// What the receiver's engine's time is by now. Nothing is known at first: the report that comes back tells.
    fn receivers_window(&self, now: Time) -> EngineTime {
        let Some((window, at)) = self.engine else {
            return EngineTime { boots: 0, time: 0 };
        };
        let passed = u32::try_from((now - at).0 / 1_000_000).unwrap_or(0);
        EngineTime {
            time: window.time.saturating_add(passed),
            ..window
        }
    }

    /// Takes what came from the receiver's address: an acknowledgement, or the time of its engine.
    fn take(&mut self, now: Time, datagram: &[u8]) {
        match (message::read(datagram), &self.receiver.credentials) {
            (Some(Incoming::V2c(community, pdus)), Credentials::Community(own)) => {
                if let (Said::Response(id, _), true) =
                    (message::said(pdus), community == own.as_bytes())
                {
                    self.queue.acknowledge(id);
                }
            }
            (Some(Incoming::V3(secured)), Credentials::User(user, Some(engine))) => {
                let (user, engine) = (user.clone(), engine.clone());
                self.take_secured(now, datagram, &secured, &user, &engine);
            }
            _ => {}
        }
    }

    fn take_secured(
        &mut self,
        now: Time,
        datagram: &[u8],
        secured: &message::Secured,
        user: &SnmpUser,
        engine: &[u8],
    ) {
        let ours =
            secured.model == 3 && secured.engine == engine && secured.user == user.name.as_bytes();
        if !ours
            || secured.flags & AUTH == 0
            || !message::authentic(datagram, &secured.digest, &user.auth_key)
        {
            return;
        }
        // What is older than what is known may be a replay: nothing is learned from it, nothing acknowledged.
        let known = self.engine.map(|_| self.receivers_window(now));
        let (boots, time) = secured.window;
        if known.is_some_and(|k| {
            boots < k.boots
                || boots == k.boots && time + valehatch_rate_limit::TIME_WINDOW_S < k.time
        }) {
            return;
        }
        let learned = known
            .unwrap_or(EngineTime { boots: 0, time: 0 })
            .updated_by(boots, time);
        self.engine = Some((learned, now));
        let key = if secured.flags & PRIV != 0 {
            user.privacy_key.as_ref()
        } else {
            None
        };
        let Some(scoped) = message::scoped(secured, key) else {
            return;
        };
        match message::said(scoped.data) {
            Said::Response(id, _) => drop(self.queue.acknowledge(id)),
            Said::Report(Some(name)) if name == NOT_IN_WINDOW => self.queue.resend(now, secured.id),
            _ => {}
        }
    }
}

/// The notifier's thread.
pub struct Notifier {
    shared: Arc<Shared>,
    alarms: NotificationMonitor,
    lines: Vec<Line>,
    /// One for each family, as far as there are receivers.
    sockets: [Option<UdpSocket>; 2],
    salt: Salt,
    first: i32,
    stop: Arc<AtomicBool>,
}

impl Notifier {
    /// For what is shared with the agent. `stop` makes it say its last word and end.
    #[must_use]
    pub fn new(shared: Arc<Shared>, stop: Arc<AtomicBool>) -> Self {
        let alarms = NotificationMonitor::new(thresholds(&shared.access.load().notify));
        // Numbers that no earlier start used lately: a late acknowledgement must not be taken for another.
        let first = i32::try_from(shared.boots % 2048).unwrap_or(0) << 20;
        let mut notifier = Self {
            shared,
            alarms,
            lines: vec![],
            sockets: [None, None],
            salt: Salt::default(),
            first,
            stop,
        };
        notifier.reread();
        notifier
    }

    /// Takes over receivers and thresholds from what is set now; what waits for a receiver that stays goes on to.
    fn reread(&mut self) {
        let access = self.shared.access.load_full();
        self.alarms.set_thresholds(thresholds(&access.notify));
        let mut old = std::mem::take(&mut self.lines);
        for receiver in &access.receivers {
            let same = old.iter().position(|line| line.receiver == *receiver);
            let line = same.map(|at| old.swap_remove(at));
            self.lines
                .push(line.unwrap_or_else(|| Line::new(receiver.clone(), self.first)));
        }
        for (family, any) in [
            IpAddr::from(Ipv4Addr::UNSPECIFIED),
            Ipv6Addr::UNSPECIFIED.into(),
        ]
        .into_iter()
        .enumerate()
        {
            let wanted = access
                .receivers
                .iter()
                .any(|r| usize::from(r.address.is_ipv6()) == family);
            if wanted && self.sockets[family].is_none() {
                match UdpSocket::bind(SocketAddr::new(any, 0)) {
                    Ok(socket) => self.sockets[family] = Some(socket),
                    Err(e) => warn!("snmp: no socket for notifications: {e}"),
                }
            }
        }
    }

    /// Looks, tells, listens, until it is to stop.
    pub fn run(mut self) {
        let mut access = self.shared.access.load_full();
        loop {
            let stopping = self.stop.load(Ordering::Relaxed);
            let current = self.shared.access.load_full();
            if !Arc::ptr_eq(&access, &current) {
                access = current;
                self.reread();
            }
            self.look();
            self.send();
            if stopping {
                return self.last_word();
            }
            self.listen(LOOK);
        }
    }

    fn look(&mut self) {
        let shared = Arc::clone(&self.shared);
        let instrumentation = &shared.instrumentation;
        let boards: Vec<_> = instrumentation
            .fronts
            .iter()
            .map(|f| f.core_snapshot.load_full())
            .collect();
        let fronts: Vec<FrontStatus<'_>> = instrumentation
            .fronts
            .iter()
            .zip(&boards)
            .filter_map(|(f, b)| {
                Some(FrontStatus {
                    name: &f.name,
                    live: &b.as_ref()?.live,
                    tenants: &f.tenants,
                })
            })
            .collect();
        // Before every core has published there is nothing to compare.
        if fronts.len() < instrumentation.fronts.len() {
            return;
        }
        let (now, shown) = (instrumentation.clock.now(), instrumentation.counters.load());
        let notices =
            self.alarms
                .look(now, &fronts, &shown.counters, shown.status.fault.as_deref());
        for notice in notices {
            info!(notice = %notice.kind(), "{}", told(&notice));
            shared.stats.add(Stat::Notices);
            let list = Arc::new(bindings(
                &notice,
                &instrumentation.name,
                instrumentation.uptime_ticks(),
            ));
            self.lines
                .iter_mut()
                .for_each(|line| line.queue.push(now, Arc::clone(&list)));
        }
    }

    fn send(&mut self) {
        let now = self.shared.instrumentation.clock.now();
        for line in &mut self.lines {
            for post in line.queue.due(now) {
                let Some(bytes) =
                    line.message(now, &self.shared, &mut self.salt, post.id, &post.content)
                else {
                    warn!("snmp: a notification cannot be written down");
                    continue;
                };
                let address = line.receiver.address;
                let socket = self.sockets[usize::from(address.is_ipv6())].as_ref();
                let sent = socket.is_some_and(|s| s.send_to(&bytes, address).is_ok());
                // That a receiver is gone is said once.
                if sent == line.failing {
                    line.failing = !sent;
                    if !sent {
                        warn!(receiver = %address, "snmp: a notification could not be sent");
                    }
                }
            }
        }
        let state = |l: &Line| {
            (
                l.receiver.address.to_string(),
                l.queue.len(),
                l.queue.counts(),
            )
        };
        self.shared
            .receivers
            .store(Arc::new(self.lines.iter().map(state).collect()));
    }

    /// Takes what receivers send back, for so long.
    fn listen(&mut self, time: Duration) {
        let end = std::time::Instant::now() + time;
        let mut datagram = [0; 4096];
        let some: Vec<UdpSocket> = self
            .sockets
            .iter()
            .flatten()
            .filter_map(|s| s.try_clone().ok())
            .collect();
        if some.is_empty() {
            return std::thread::sleep(time);
        }
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            if left.is_zero() {
                return;
            }
            for socket in &some {
                let part =
                    (left / u32::try_from(some.len()).unwrap_or(1)).max(Duration::from_millis(1));
                let _ = socket.set_read_timeout(Some(part));
                match socket.recv_from(&mut datagram) {
                    Ok((length, from)) => {
                        let now = self.shared.instrumentation.clock.now();
                        let lines = self.lines.iter_mut().filter(|l| l.receiver.address == from);
                        lines.for_each(|line| line.take(now, &datagram[..length]));
                        self.send();
                    }
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    // A receiver that is not there: its machine says so.
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn last_word(&mut self) {
        let end = std::time::Instant::now() + LAST_WORD;
        while self.lines.iter().any(|l| !l.queue.is_empty()) && std::time::Instant::now() < end {
            self.send();
            self.listen(Duration::from_millis(20));
        }
    }
}

/// A notice in words, for the log.
fn told(notice: &Notification) -> String {
    let group = |g: &GroupNotification, what: &str| {
        format!(
            "front {}, group {}: {what} ({:?} -> {:?}, {:?})",
            g.front, g.group.0, g.previous_primary, g.primary, g.evidence
        )
    };
    match notice {
        Notification::Started => "the gateway serves".into(),
        Notification::Stopping => "the gateway stops".into(),
        Notification::PrimaryChanged(g) => group(g, "another primary is believed in"),
        Notification::SearchStarted(g) => group(g, "the primary is searched for"),
        Notification::SearchLasting(g) => group(g, "the search lasts"),
        Notification::SearchEnded(g) => group(g, "the search is over"),
        Notification::NoPrimary(g) => group(g, "there has been no primary for long"),
        Notification::PrimaryRestored(g) => group(g, "there is a primary again"),
        Notification::EndpointUnavailable(m) => {
            format!(
                "front {}: {} cannot be used ({:?})",
                m.front, m.name, m.health
            )
        }
        Notification::EndpointAvailable(m) => {
            format!("front {}: {} is back, or gone for good", m.front, m.name)
        }
        Notification::RejectionsRising(r) => {
            format!(
                "front {}, class {}: {} refusals in 1000 s",
                r.front, r.class, r.per_1000_s
            )
        }
        Notification::RejectionsFallen(r) => {
            format!(
                "front {}, class {}: down to {} refusals in 1000 s",
                r.front, r.class, r.per_1000_s
            )
        }
        Notification::QuotaExceeded(q) => {
            format!(
                "front {}, tenant {}: asks for {} thousandths of its budget",
                q.front, q.tenant, q.per_mille
            )
        }
        Notification::QuotaRecovered(q) => {
            format!(
                "front {}, tenant {}: back to {} thousandths of its budget",
                q.front, q.tenant, q.per_mille
            )
        }
        Notification::QueueLong(w) => {
            format!(
                "front {}, tenant {}: the oldest has waited {} ms at the door",
                w.front, w.tenant, w.wait_ms
            )
        }
        Notification::QueueShort(w) => {
            format!(
                "front {}, tenant {}: down to {} ms at the door",
                w.front, w.tenant, w.wait_ms
            )
        }
        Notification::StateFault(why) => format!("state: {why}"),
        Notification::StateRecovered => "state: all is written again".into(),
        Notification::Storm(kinds) => {
            let counts: Vec<String> = kinds
                .iter()
                .map(|(kind, n)| format!("({kind}, {n})"))
                .collect();
            format!("notifications left out: [{}]", counts.join(", "))
        }
    }
}
