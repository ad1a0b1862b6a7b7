//! Conditions are reported once at each edge and storms as one notification; informs are sent again
//! with growing pauses, up to a limit.

use std::sync::Arc;

use valehatch_core::{LiveEndpoint, LiveView, OpenCounts};
use valehatch_notifications::*;
use valehatch_policy::*;
use valehatch_request_log::{Counters, FinalOutcome, RejectionReason, RequestRecord};

const fn ms(n: i64) -> Span {
    Span::from_millis(n)
}

fn thresholds() -> Thresholds {
    Thresholds {
        no_primary: ms(5000),
        search_lasting: ms(2000),
        rejections: Hysteresis {
            rising: 10_000,
            falling: 2_000,
        },
        rejections_window: ms(5000),
        quota: Hysteresis {
            rising: 1100,
            falling: 1000,
        },
        queue_wait: Hysteresis {
            rising: 400,
            falling: 100,
        },
        storm_limit: 5,
        storm_window: ms(10_000),
    }
}

fn wait(wait_ms: u64) -> TenantWait {
    TenantWait {
        front: "a".into(),
        tenant: "acme".into(),
        wait_ms,
    }
}

const fn informs(retries: u32) -> Retransmission {
    Retransmission {
        first_pause: ms(1000),
        retries,
    }
}

/// A front with one group of three endpoints.
struct GatewayFixture {
    monitor: NotificationMonitor,
    live: LiveView,
    counters: Counters,
    state_fault: Option<&'static str>,
    name: Arc<str>,
    tenants: Vec<(Arc<str>, f64)>,
}

impl GatewayFixture {
    fn new(thresholds: Thresholds) -> Self {
        let group = GroupView {
            group: GroupId(0),
            primary: Some(EndpointId(1)),
            known: PrimaryEvidence::EndpointList,
            since: Time(0),
            changes: 1,
            searching: None,
            queued_writes: 0,
            waiting: 0,
        };
        let member = |n: u32| LiveEndpoint {
            name: format!("m{n}").into(),
            address: "x".into(),
            view: EndpointView {
                endpoint: EndpointId(n),
                group: GroupId(0),
                state: EndpointState::Ready,
                role: None,
                health: EndpointHealth::Healthy,
                in_flight: 0,
                limit: 8.0,
                position: None,
                warm: None,
            },
        };
        let live = LiveView {
            taken_at: Time(0),
            groups: vec![group],
            endpoints: (1..=3).map(member).collect(),
            request_rates: vec![0],
            open: OpenCounts::default(),
            turns: 0,
            shutting_down: false,
            tenant_queues: vec![],
        };
        let tenants = vec![("acme".into(), 100.0)];
        let monitor = NotificationMonitor::new(thresholds);
        Self {
            monitor,
            live,
            counters: Counters::default(),
            state_fault: None,
            name: "a".into(),
            tenants,
        }
    }

    fn look(&mut self, at_ms: i64) -> Vec<Notification> {
        self.live.taken_at = Time(at_ms * 1000);
        let front = FrontStatus {
            name: &self.name,
            live: &self.live,
            tenants: &self.tenants,
        };
        self.monitor.look(
            self.live.taken_at,
            &[front],
            &self.counters,
            self.state_fault,
        )
    }

    fn kinds(&mut self, at_ms: i64) -> Vec<NotificationKind> {
        self.look(at_ms).iter().map(Notification::kind).collect()
    }

    fn lose_primary(&mut self, at_ms: i64) {
        let group = &mut self.live.groups[0];
        (group.primary, group.known, group.searching) =
            (None, PrimaryEvidence::Unknown, Some(Time(at_ms * 1000)));
        group.changes += 1;
    }

    fn find_primary(&mut self, endpoint: u32) {
        let group = &mut self.live.groups[0];
        (group.primary, group.known, group.searching) =
            (Some(EndpointId(endpoint)), PrimaryEvidence::Search, None);
        group.changes += 1;
    }

    fn reject_requests(&mut self, times: usize) {
        for _ in 0..times {
            self.counters.count(&RequestRecord {
                front: "a".into(),
                class: "read".into(),
                tenant: None,
                group: 0,
                outcome: FinalOutcome::Rejected(RejectionReason::Overloaded),
                attempts: vec![],
                queued_us: 0,
                total_us: 0,
            });
        }
    }
}

#[test]
fn lost_primary_is_reported_from_search_to_recovery() {
    let mut gateway = GatewayFixture::new(thresholds());
    assert_eq!(gateway.kinds(0), [NotificationKind::Started]);
    gateway.lose_primary(100);
    assert_eq!(
        gateway.kinds(200),
        [
            NotificationKind::PrimaryChanged,
            NotificationKind::SearchStarted
        ]
    );
    assert_eq!(gateway.kinds(2000), []);
    assert_eq!(gateway.kinds(2100), [NotificationKind::SearchLasting]);
    assert_eq!(gateway.kinds(3000), []);
    assert_eq!(gateway.kinds(5199), []);
    assert_eq!(gateway.kinds(5200), [NotificationKind::NoPrimary]);
    gateway.find_primary(2);
    let notifications = gateway.look(11_000);
    let [
        Notification::PrimaryChanged(changed),
        Notification::SearchEnded(ended),
        Notification::PrimaryRestored(back),
    ] = &notifications[..]
    else {
        panic!("{notifications:?}")
    };
    assert_eq!(
        (
            &*changed.previous_primary,
            &*changed.primary,
            changed.evidence
        ),
        ("", "m2", PrimaryEvidence::Search)
    );
    assert_eq!((ended.lasted_ms, back.lasted_ms), (10_900, 10_800));
    assert_eq!(gateway.kinds(11_100), []);
}

#[test]
fn primary_lost_and_restored_between_looks_is_reported() {
    let mut gateway = GatewayFixture::new(thresholds());
    gateway.look(0);
    gateway.lose_primary(10);
    gateway.find_primary(1);
    assert_eq!(gateway.kinds(100), [NotificationKind::PrimaryChanged]);
}

#[test]
fn primary_change_before_first_look_is_reported() {
    let mut gateway = GatewayFixture::new(thresholds());
    gateway.lose_primary(0);
    gateway.find_primary(2);
    assert_eq!(
        gateway.kinds(0),
        [NotificationKind::Started, NotificationKind::PrimaryChanged]
    );
    assert_eq!(gateway.kinds(100), []);
}

#[test]
fn rejections_are_reported_at_both_edges_only() {
    let mut gateway = GatewayFixture::new(thresholds());
    let mut reported = vec![];
    // Ten seconds with 12 rejections each, ten with 5 (between the edges), ten with none.
    for second in 0..30 {
        gateway.reject_requests([12, 5, 0][second / 10]);
        let at = i64::try_from(second).unwrap() * 1000;
        reported.extend(gateway.kinds(at).into_iter().map(|k| (second, k)));
    }
    assert_eq!(
        reported[1..],
        [
            (5, NotificationKind::RejectionsRising),
            (23, NotificationKind::RejectionsFallen)
        ],
        "{reported:?}"
    );
}

#[test]
fn quota_use_fluctuating_between_edges_is_reported_once() {
    let mut gateway = GatewayFixture::new(thresholds());
    let mut reported = vec![];
    for (n, rate) in [90, 110, 109, 111, 100, 111, 99, 90]
        .into_iter()
        .enumerate()
    {
        gateway.live.request_rates = vec![rate];
        reported.extend(
            gateway
                .kinds(i64::try_from(n).unwrap() * 1000)
                .into_iter()
                .map(|k| (n, k)),
        );
    }
    assert_eq!(
        reported[1..],
        [
            (1, NotificationKind::QuotaExceeded),
            (6, NotificationKind::QuotaRecovered)
        ]
    );
}

#[test]
fn long_queue_wait_is_reported_at_both_edges() {
    let mut gateway = GatewayFixture::new(thresholds());
    let mut reported = vec![];
    for (n, waited) in [0, 390, 410, 150, 399, 99, 0].into_iter().enumerate() {
        gateway.live.tenant_queues = vec![valehatch_admission::TenantQueueView {
            oldest: ms(waited),
            ..Default::default()
        }];
        reported.extend(gateway.look(i64::try_from(n).unwrap() * 1000));
    }
    assert_eq!(
        reported[1..],
        [
            Notification::QueueLong(wait(410)),
            Notification::QueueShort(wait(99))
        ]
    );
}

#[test]
fn endpoint_state_and_stop_are_reported() {
    let mut gateway = GatewayFixture::new(thresholds());
    gateway.look(0);
    gateway.live.endpoints[1].view.health = EndpointHealth::Unreachable;
    assert_eq!(gateway.kinds(100), [NotificationKind::EndpointUnavailable]);
    gateway.live.endpoints[1].view.health = EndpointHealth::Unresponsive;
    assert_eq!(gateway.kinds(200), [], "the endpoint is still unavailable");
    gateway.live.endpoints.remove(1);
    assert_eq!(gateway.kinds(300), [NotificationKind::EndpointAvailable]);
    gateway.state_fault = Some("disk full");
    assert_eq!(
        gateway.look(400),
        [Notification::StateFault("disk full".into())]
    );
    gateway.state_fault = None;
    assert_eq!(gateway.kinds(500), [NotificationKind::StateRecovered]);
    gateway.live.shutting_down = true;
    assert_eq!(gateway.kinds(600), [NotificationKind::Stopping]);
    assert_eq!(gateway.kinds(700), []);
}

#[test]
fn storm_is_reported_as_one_notification() {
    let mut gateway = GatewayFixture::new(thresholds());
    let members: Vec<LiveEndpoint> = (10..210)
        .map(|n| {
            let mut member = gateway.live.endpoints[0].clone();
            (member.view.endpoint, member.name) = (EndpointId(n), format!("n{n}").into());
            member
        })
        .collect();
    gateway.live.endpoints = members;
    gateway.look(0);
    let mut reported = vec![];
    for look in 1..100 {
        let health = if look % 2 == 1 {
            EndpointHealth::Unreachable
        } else {
            EndpointHealth::Healthy
        };
        for member in &mut gateway.live.endpoints {
            member.view.health = health;
        }
        reported.extend(gateway.look(look * 100));
    }
    assert_eq!(reported.len(), 5, "200 endpoints flap for ten seconds");
    let mut after = gateway.look(10_000);
    assert_eq!(after.len(), 1);
    let Some(Notification::Storm(kinds)) = after.pop() else {
        panic!()
    };
    let suppressed: u64 = kinds.iter().map(|(_, n)| n).sum();
    assert_eq!(
        suppressed,
        99 * 200 - 5,
        "each suppressed notification is counted once: {kinds:?}"
    );
    gateway.live.endpoints[0].view.health = EndpointHealth::Healthy;
    assert_eq!(gateway.kinds(10_100), [NotificationKind::EndpointAvailable]);
}

#[test]
fn inform_is_resent_with_doubling_pauses_until_given_up() {
    let mut queue = DeliveryQueue::new(100, Some(informs(3)), 0);
    queue.push(Time(0), "x");
    let mut sent = vec![];
    for at in 0..40 {
        sent.extend(queue.due(Time(at * 500_000)).iter().map(|p| (at, p.id)));
    }
    assert_eq!(
        sent,
        [(0, 1), (2, 1), (6, 1), (14, 1)],
        "sent at 0, 1, 3 and 7 s with the same ID"
    );
    assert_eq!((queue.counts().given_up, queue.len()), (1, 0));
    queue.push(Time(0), "y");
    let id = queue.due(Time(0))[0].id;
    assert!(!queue.acknowledge(id + 7));
    assert!(queue.acknowledge(id) && queue.is_empty() && !queue.acknowledge(id));
}

#[test]
fn unreachable_receiver_has_bounded_queue_and_few_informs_in_flight() {
    let mut queue = DeliveryQueue::new(20, Some(informs(5)), 0);
    let mut max_due = 0;
    for n in 0..1000 {
        queue.push(Time(n * 1000), n);
        max_due = max_due.max(queue.due(Time(n * 1000)).len());
        assert!(queue.len() <= 20);
    }
    assert_eq!(max_due, 1);
    assert_eq!(queue.counts().sent, 8, "few are in flight at once");
    assert_eq!(queue.counts().dropped, 980);
    let mut traps = DeliveryQueue::new(3, None, 0);
    for n in 0..5 {
        traps.push(Time(0), n);
    }
    assert_eq!(
        traps
            .due(Time(0))
            .iter()
            .map(|delivery| delivery.content)
            .collect::<Vec<_>>(),
        [2, 3, 4]
    );
    assert!(traps.is_empty());
}
