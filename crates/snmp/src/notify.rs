//! Sends notifications to each receiver as traps or informs, on a thread and sockets of its own. An
//! unreachable receiver costs the gateway a few datagrams and nothing else.

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
use crate::message::{self, AUTH, Incoming, PRIV, PduContent, V3Security};
use crate::schema;
use crate::snapshot::{Oid, Value, evidence_number, health_number};

/// Interval between two looks at the state of the fronts.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// sysUpTime.0 and snmpTrapOID.0 (RFC 3416, section 4.2.6).
const SYS_UP_TIME: [u32; 9] = [1, 3, 6, 1, 2, 1, 1, 3, 0];
const SNMP_TRAP_OID: [u32; 11] = [1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0];
/// usmStatsNotInTimeWindows.0: reported by a receiver's engine that rejects the time of an inform.
const NOT_IN_TIME_WINDOWS: [u32; 11] = [1, 3, 6, 1, 6, 3, 15, 1, 1, 2, 0];
/// Time for which a planned stop waits for informs to be acknowledged.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);

/// Values of the objects below [`schema::NOTIFICATION_OBJECTS_SUBID`], by subidentifier.
type CarriedValues = Vec<(u32, Value)>;

/// Converts the thresholds of the operators' file.
#[must_use]
pub fn thresholds(settings: &NotificationSettings) -> Thresholds {
    let ms = |n: u64| Span::from_millis(i64::try_from(n).unwrap_or(i64::MAX / 1000));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let per_mille = |rate: f64| (rate * 1000.0) as u64;
    Thresholds {
        no_primary: ms(settings.no_primary_ms),
        search_lasting: ms(settings.search_lasting_ms),
        rejections: Hysteresis {
            rising: per_mille(settings.rejections_rising_per_s),
            falling: per_mille(settings.rejections_falling_per_s),
        },
        rejections_window: ms(settings.rejections_window_ms),
        quota: Hysteresis {
            rising: settings.quota_rising_permille,
            falling: settings.quota_falling_permille,
        },
        queue_wait: Hysteresis {
            rising: settings.queue_wait_rising_ms,
            falling: settings.queue_wait_falling_ms,
        },
        storm_limit: settings.storm_limit,
        storm_window: ms(settings.storm_window_ms),
    }
}

fn text(t: &str) -> Value {
    Value::OctetString(t.as_bytes().to_vec())
}

fn gauge(n: u64) -> Value {
    Value::Gauge32(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Returns the values of a notification, of which those in [`schema::NOTIFICATION_TYPES`] are sent.
fn carried_values(notification: &Notification, gateway: &str) -> CarriedValues {
    let group = |g: &GroupNotification| {
        vec![
            (1, text(&g.front)),
            (2, gauge(g.group.0.into())),
            (3, text(&g.primary)),
            (4, text(&g.previous_primary)),
            (5, Value::Integer(evidence_number(g.evidence))),
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
            (10, Value::Integer(health_number(m.health))),
        ]
    };
    match notification {
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
            let counts: Vec<String> = kinds
                .iter()
                .map(|(kind, n)| format!("{n} {kind}"))
                .collect();
            vec![
                (15, text(&counts.join(", "))),
                (16, gauge(kinds.iter().map(|(_, n)| n).sum())),
            ]
        }
    }
}

/// Builds the variable bindings of a notification, which are the same for every receiver.
fn var_binds(notification: &Notification, gateway: &str, uptime_ticks: u32) -> Vec<VarBind> {
    let kind = notification.kind() as u32;
    let carried_subids = schema::NOTIFICATION_TYPES
        .iter()
        .find(|(_, subid, ..)| *subid == kind)
        .map_or(&[][..], |n| n.2);
    let name: Oid = [&ROOT[..], &[schema::NOTIFICATIONS_SUBID, kind]].concat();
    let mut all = vec![
        message::var_bind(&SYS_UP_TIME, Value::TimeTicks(uptime_ticks)),
        message::var_bind(&SNMP_TRAP_OID, Value::ObjectIdentifier(name)),
    ];
    for (subid, value) in carried_values(notification, gateway)
        .into_iter()
        .filter(|(subid, _)| carried_subids.contains(subid))
    {
        let object: Oid = [
            &ROOT[..],
            &[
                schema::OBJECTS_SUBID,
                schema::NOTIFICATION_OBJECTS_SUBID,
                subid,
                0,
            ],
        ]
        .concat();
        all.push(message::var_bind(&object, value));
    }
    all
}

/// A receiver and its queue of notifications.
struct ReceiverState {
    config: NotificationReceiver,
    queue: DeliveryQueue<Arc<Vec<VarBind>>>,
    /// Boots and time of the receiver's engine, which is authoritative for informs, and when they
    /// were learned.
    engine: Option<(EngineTime, Time)>,
    /// Whether the last datagram could not be sent.
    failing: bool,
}

impl ReceiverState {
    fn new(config: NotificationReceiver, first_id: i32) -> Self {
        let pause = Span::from_millis(i64::try_from(config.timeout_ms).unwrap_or(1000));
        let informs = config.inform.then_some(Retransmission {
            first_pause: pause,
            retries: config.retries,
        });
        Self {
            queue: DeliveryQueue::new(config.queue, informs, first_id),
            config,
            engine: None,
            failing: false,
        }
    }

    /// Encodes a notification for the receiver.
    fn message(
        &self,
        now: Time,
        shared: &Shared,
        salt: &mut Salt,
        id: i32,
        var_binds: &[VarBind],
    ) -> Option<Vec<u8>> {
        let pdus = message::notification(self.config.inform, id, var_binds.to_vec());
        let settings = shared.settings.load();
        match &self.config.credentials {
            Credentials::Community(community) => message::encode_v2c(community.as_bytes(), pdus),
            Credentials::User(user, engine) => {
                // The sender's engine is authoritative for a trap, the receiver's for an inform.
                let (engine, engine_time) = match engine {
                    None => (&settings.engine, shared.engine_time()),
                    Some(engine) => (engine, self.receiver_engine_time(now)),
                };
                let security = V3Security {
                    id,
                    max_size: settings.limits.max_size,
                    reportable: self.config.inform,
                    engine,
                    engine_time: (engine_time.boots, engine_time.time),
                    user: user.name.as_bytes(),
                    auth: Some(&user.auth_key),
                    privacy: user.privacy_key.as_ref().map(|key| (key, salt.next_salt())),
                };
                message::encode_v3(&security, &settings.engine, b"", pdus)
            }
        }
    }

    /// Estimates the current time of the receiver's engine; 0 until a report from it provides the
    /// time.
    fn receiver_engine_time(&self, now: Time) -> EngineTime {
        let Some((engine_time, at)) = self.engine else {
            return EngineTime { boots: 0, time: 0 };
        };
        let passed = u32::try_from((now - at).0 / 1_000_000).unwrap_or(0);
        EngineTime {
            time: engine_time.time.saturating_add(passed),
            ..engine_time
        }
    }

    /// Handles a datagram from the receiver: an acknowledgement, or a report of its engine's time.
    fn handle_datagram(&mut self, now: Time, datagram: &[u8]) {
        match (message::decode(datagram), &self.config.credentials) {
            (Some(Incoming::V2c(community, pdus)), Credentials::Community(own)) => {
                if let (PduContent::Response(id, _), true) =
                    (message::parse_pdu(pdus), community == own.as_bytes())
                {
                    self.queue.acknowledge(id);
                }
            }
            (Some(Incoming::V3(message_v3)), Credentials::User(user, Some(engine))) => {
                let (user, engine) = (user.clone(), engine.clone());
                self.handle_v3(now, datagram, &message_v3, &user, &engine);
            }
            _ => {}
        }
    }

    fn handle_v3(
        &mut self,
        now: Time,
        datagram: &[u8],
        message_v3: &message::V3Message,
        user: &SnmpUser,
        engine: &[u8],
    ) {
        let is_expected = message_v3.model == 3
            && message_v3.engine == engine
            && message_v3.user == user.name.as_bytes();
        if !is_expected
            || message_v3.flags & AUTH == 0
            || !message::has_valid_digest(datagram, &message_v3.digest, &user.auth_key)
        {
            return;
        }
        // A message with an older time may be a replay: it neither updates the time nor
        // acknowledges an inform.
        let current = self.engine.map(|_| self.receiver_engine_time(now));
        let (boots, time) = message_v3.engine_time;
        if current.is_some_and(|known| {
            boots < known.boots
                || boots == known.boots && time + valehatch_rate_limit::TIME_WINDOW_S < known.time
        }) {
            return;
        }
        let learned = current
            .unwrap_or(EngineTime { boots: 0, time: 0 })
            .updated_by(boots, time);
        self.engine = Some((learned, now));
        let key = if message_v3.flags & PRIV != 0 {
            user.privacy_key.as_ref()
        } else {
            None
        };
        let Some(scoped) = message::scoped_pdu(message_v3, key) else {
            return;
        };
        match message::parse_pdu(scoped.data) {
            PduContent::Response(id, _) => drop(self.queue.acknowledge(id)),
            PduContent::Report(Some(name)) if name == NOT_IN_TIME_WINDOWS => {
                self.queue.resend(now, message_v3.id)
            }
            _ => {}
        }
    }
}

/// Sends the notifications, on a thread of its own.
pub struct Notifier {
    shared: Arc<Shared>,
    monitor: NotificationMonitor,
    receivers: Vec<ReceiverState>,
    /// One socket each for IPv4 and IPv6, if there are receivers of that family.
    sockets: [Option<UdpSocket>; 2],
    salt: Salt,
    first_id: i32,
    stop: Arc<AtomicBool>,
}

impl Notifier {
    /// Creates a notifier on state that it shares with the agent. `stop` makes it send what is
    /// queued and end.
    #[must_use]
    pub fn new(shared: Arc<Shared>, stop: Arc<AtomicBool>) -> Self {
        let monitor = NotificationMonitor::new(thresholds(&shared.settings.load().notify));
        // Request IDs start at a value that recent starts did not use, so that a late
        // acknowledgement of theirs is not taken for one of these informs.
        let first_id = i32::try_from(shared.boots % 2048).unwrap_or(0) << 20;
        let mut notifier = Self {
            shared,
            monitor,
            receivers: vec![],
            sockets: [None, None],
            salt: Salt::default(),
            first_id,
            stop,
        };
        notifier.reload();
        notifier
    }

    /// Applies the current receivers and thresholds. A receiver whose settings are unchanged keeps
    /// its queue.
    fn reload(&mut self) {
        let settings = self.shared.settings.load_full();
        self.monitor.set_thresholds(thresholds(&settings.notify));
        let mut old = std::mem::take(&mut self.receivers);
        for config in &settings.receivers {
            let same = old.iter().position(|receiver| receiver.config == *config);
            let kept = same.map(|at| old.swap_remove(at));
            self.receivers
                .push(kept.unwrap_or_else(|| ReceiverState::new(config.clone(), self.first_id)));
        }
        for (family, unspecified) in [
            IpAddr::from(Ipv4Addr::UNSPECIFIED),
            Ipv6Addr::UNSPECIFIED.into(),
        ]
        .into_iter()
        .enumerate()
        {
            let has_receiver = settings
                .receivers
                .iter()
                .any(|r| usize::from(r.address.is_ipv6()) == family);
            if has_receiver && self.sockets[family].is_none() {
                match UdpSocket::bind(SocketAddr::new(unspecified, 0)) {
                    Ok(socket) => self.sockets[family] = Some(socket),
                    Err(e) => warn!("snmp: no socket for notifications: {e}"),
                }
            }
        }
    }

    /// Collects, sends and receives until a stop is requested.
    pub fn run(mut self) {
        let mut settings = self.shared.settings.load_full();
        loop {
            let stopping = self.stop.load(Ordering::Relaxed);
            let current = self.shared.settings.load_full();
            if !Arc::ptr_eq(&settings, &current) {
                settings = current;
                self.reload();
            }
            self.collect_notifications();
            self.send_due();
            if stopping {
                return self.flush_on_shutdown();
            }
            self.receive(LOOK_INTERVAL);
        }
    }

    fn collect_notifications(&mut self) {
        let shared = Arc::clone(&self.shared);
        let instrumentation = &shared.instrumentation;
        let core_snapshots: Vec<_> = instrumentation
            .fronts
            .iter()
            .map(|front| front.core_snapshot.load_full())
            .collect();
        let fronts: Vec<FrontStatus<'_>> = instrumentation
            .fronts
            .iter()
            .zip(&core_snapshots)
            .filter_map(|(front, core)| {
                Some(FrontStatus {
                    name: &front.name,
                    live: &core.as_ref()?.live,
                    tenants: &front.tenants,
                })
            })
            .collect();
        // The first look needs the snapshots of all cores.
        if fronts.len() < instrumentation.fronts.len() {
            return;
        }
        let (now, published) = (instrumentation.clock.now(), instrumentation.counters.load());
        let notifications = self.monitor.look(
            now,
            &fronts,
            &published.counters,
            published.status.fault.as_deref(),
        );
        for notification in notifications {
            info!(notice = %notification.kind(), "{}", log_text(&notification));
            shared.stats.add(Stat::Notifications);
            let var_binds = Arc::new(var_binds(
                &notification,
                &instrumentation.name,
                instrumentation.uptime_ticks(),
            ));
            self.receivers
                .iter_mut()
                .for_each(|receiver| receiver.queue.push(now, Arc::clone(&var_binds)));
        }
    }

    fn send_due(&mut self) {
        let now = self.shared.instrumentation.clock.now();
        for receiver in &mut self.receivers {
            for delivery in receiver.queue.due(now) {
                let Some(bytes) = receiver.message(
                    now,
                    &self.shared,
                    &mut self.salt,
                    delivery.id,
                    &delivery.content,
                ) else {
                    warn!("snmp: a notification cannot be encoded");
                    continue;
                };
                let address = receiver.config.address;
                let socket = self.sockets[usize::from(address.is_ipv6())].as_ref();
                let sent = socket.is_some_and(|s| s.send_to(&bytes, address).is_ok());
                // A receiver that fails is logged once, until a datagram can be sent again.
                if sent == receiver.failing {
                    receiver.failing = !sent;
                    if !sent {
                        warn!(receiver = %address, "snmp: a notification could not be sent");
                    }
                }
            }
        }
        let state = |receiver: &ReceiverState| {
            (
                receiver.config.address.to_string(),
                receiver.queue.len(),
                receiver.queue.counts(),
            )
        };
        self.shared
            .receivers
            .store(Arc::new(self.receivers.iter().map(state).collect()));
    }

    /// Handles datagrams from receivers for the given time.
    fn receive(&mut self, time: Duration) {
        let end = std::time::Instant::now() + time;
        let mut datagram = [0; 4096];
        let sockets: Vec<UdpSocket> = self
            .sockets
            .iter()
            .flatten()
            .filter_map(|s| s.try_clone().ok())
            .collect();
        if sockets.is_empty() {
            return std::thread::sleep(time);
        }
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            if left.is_zero() {
                return;
            }
            for socket in &sockets {
                let timeout = (left / u32::try_from(sockets.len()).unwrap_or(1))
                    .max(Duration::from_millis(1));
                let _ = socket.set_read_timeout(Some(timeout));
                match socket.recv_from(&mut datagram) {
                    Ok((length, from)) => {
                        let now = self.shared.instrumentation.clock.now();
                        let receivers = self
                            .receivers
                            .iter_mut()
                            .filter(|receiver| receiver.config.address == from);
                        receivers.for_each(|receiver| {
                            receiver.handle_datagram(now, &datagram[..length])
                        });
                        self.send_due();
                    }
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    // The receiver's host reports by ICMP that nothing listens there.
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn flush_on_shutdown(&mut self) {
        let end = std::time::Instant::now() + SHUTDOWN_TIMEOUT;
        while self
            .receivers
            .iter()
            .any(|receiver| !receiver.queue.is_empty())
            && std::time::Instant::now() < end
        {
            self.send_due();
            self.receive(Duration::from_millis(20));
        }
    }
}

/// Describes a notification for the log.
fn log_text(notification: &Notification) -> String {
    let group = |g: &GroupNotification, what: &str| {
        format!(
            "front {}, group {}: {what} ({:?} -> {:?}, {:?})",
            g.front, g.group.0, g.previous_primary, g.primary, g.evidence
        )
    };
    match notification {
        Notification::Started => "the gateway started to serve".into(),
        Notification::Stopping => "a planned stop was requested".into(),
        Notification::PrimaryChanged(g) => group(g, "primary changed"),
        Notification::SearchStarted(g) => group(g, "primary search started"),
        Notification::SearchLasting(g) => group(g, "primary search exceeds its threshold"),
        Notification::SearchEnded(g) => group(g, "primary search ended"),
        Notification::NoPrimary(g) => group(g, "no primary for longer than the threshold"),
        Notification::PrimaryRestored(g) => group(g, "primary available again"),
        Notification::EndpointUnavailable(m) => {
            format!(
                "front {}: endpoint {} is unavailable ({:?})",
                m.front, m.name, m.health
            )
        }
        Notification::EndpointAvailable(m) => {
            format!(
                "front {}: endpoint {} is available again or has left the list",
                m.front, m.name
            )
        }
        Notification::RejectionsRising(r) => {
            format!(
                "front {}, class {}: {} rejections in 1000 s",
                r.front, r.class, r.per_1000_s
            )
        }
        Notification::RejectionsFallen(r) => {
            format!(
                "front {}, class {}: down to {} rejections in 1000 s",
                r.front, r.class, r.per_1000_s
            )
        }
        Notification::QuotaExceeded(q) => {
            format!(
                "front {}, tenant {}: requests {} per mille of its quota",
                q.front, q.tenant, q.per_mille
            )
        }
        Notification::QuotaRecovered(q) => {
            format!(
                "front {}, tenant {}: back to {} per mille of its quota",
                q.front, q.tenant, q.per_mille
            )
        }
        Notification::QueueLong(w) => {
            format!(
                "front {}, tenant {}: oldest request waited {} ms in the admission queue",
                w.front, w.tenant, w.wait_ms
            )
        }
        Notification::QueueShort(w) => {
            format!(
                "front {}, tenant {}: down to {} ms in the admission queue",
                w.front, w.tenant, w.wait_ms
            )
        }
        Notification::StateFault(why) => format!("state: {why}"),
        Notification::StateRecovered => "state: request log is written again".into(),
        Notification::Storm(kinds) => {
            let counts: Vec<String> = kinds
                .iter()
                .map(|(kind, n)| format!("({kind}, {n})"))
                .collect();
            format!("notifications suppressed: [{}]", counts.join(", "))
        }
    }
}
