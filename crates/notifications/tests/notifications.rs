//! Each notice once, at its edge; storms told as one; informs repeated with growing pauses and never without end.

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
        refusals: (10_000, 2_000),
        refusals_over: ms(5000),
        budget: (1100, 1000),
        queue: (400, 100),
        storm: 5,
        storm_window: ms(10_000),
    }
}

/// A front with one group of three, looked at whenever the test says.
struct World {
    alarms: NotificationMonitor,
    live: LiveView,
    counters: Counters,
    trouble: Option<&'static str>,
    name: Arc<str>,
    tenants: Vec<(Arc<str>, f64)>,
}

impl World {
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
        let alarms = NotificationMonitor::new(thresholds);
        Self {
            alarms,
            live,
            counters: Counters::default(),
            trouble: None,
            name: "a".into(),
            tenants,
        }
    }

    fn look(&mut self, at_ms: i64) -> Vec<Notification> {
        self.live.taken_at = Time(at_ms * 1000);
        let front = FrontNow {
            name: &self.name,
            live: &self.live,
            tenants: &self.tenants,
        };
        self.alarms
            .look(self.live.taken_at, &[front], &self.counters, self.trouble)
    }

    fn kinds(&mut self, at_ms: i64) -> Vec<Kind> {
        self.look(at_ms).iter().map(Notification::kind).collect()
    }

    fn lose(&mut self, at_ms: i64) {
        let group = &mut self.live.groups[0];
        (group.primary, group.known, group.searching) =
            (None, PrimaryEvidence::Unknown, Some(Time(at_ms * 1000)));
        group.changes += 1;
    }

    fn find(&mut self, endpoint: u32) {
        let group = &mut self.live.groups[0];
        (group.primary, group.known, group.searching) =
            (Some(EndpointId(endpoint)), PrimaryEvidence::Search, None);
        group.changes += 1;
    }

    fn refuse(&mut self, times: usize) {
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
fn a_change_of_primary_is_told_from_its_begin_to_its_end() {
    let mut world = World::new(thresholds());
    assert_eq!(world.kinds(0), [Kind::Started]);
    world.lose(100);
    assert_eq!(world.kinds(200), [Kind::PrimaryChanged, Kind::SearchBegun]);
    assert_eq!(world.kinds(2000), []);
    assert_eq!(world.kinds(2100), [Kind::SearchLasting]);
    assert_eq!(world.kinds(3000), []);
    assert_eq!(world.kinds(5199), []);
    assert_eq!(world.kinds(5200), [Kind::NoPrimary]);
    world.find(2);
    let said = world.look(11_000);
    let [
        Notification::PrimaryChanged(changed),
        Notification::SearchEnded(ended),
        Notification::PrimaryBack(back),
    ] = &said[..]
    else {
        panic!("{said:?}")
    };
    assert_eq!(
        (&*changed.before, &*changed.primary, changed.known),
        ("", "m2", PrimaryEvidence::Search)
    );
    assert_eq!((ended.lasted_ms, back.lasted_ms), (10_900, 10_800));
    assert_eq!(world.kinds(11_100), []);
}

#[test]
fn changes_between_two_looks_are_told_though_they_lead_back() {
    let mut world = World::new(thresholds());
    world.look(0);
    world.lose(10);
    world.find(1);
    assert_eq!(world.kinds(100), [Kind::PrimaryChanged]);
}

#[test]
fn a_change_before_the_first_look_at_a_group_is_told() {
    let mut world = World::new(thresholds());
    world.lose(0);
    world.find(2);
    assert_eq!(world.kinds(0), [Kind::Started, Kind::PrimaryChanged]);
    assert_eq!(world.kinds(100), []);
}

#[test]
fn refusals_are_told_at_two_edges_and_nothing_between_them() {
    let mut world = World::new(thresholds());
    let mut told = vec![];
    // Ten seconds of 12 a second, ten of 5 (between the edges), ten of none.
    for second in 0..30 {
        world.refuse([12, 5, 0][second / 10]);
        let at = i64::try_from(second).unwrap() * 1000;
        told.extend(world.kinds(at).into_iter().map(|k| (second, k)));
    }
    assert_eq!(
        told[1..],
        [(5, Kind::RefusalsRising), (23, Kind::RefusalsFallen)],
        "{told:?}"
    );
}

#[test]
fn a_budget_that_trembles_on_its_edge_is_told_once() {
    let mut world = World::new(thresholds());
    let mut told = vec![];
    for (n, rate) in [90, 110, 109, 111, 100, 111, 99, 90]
        .into_iter()
        .enumerate()
    {
        world.live.request_rates = vec![rate];
        told.extend(
            world
                .kinds(i64::try_from(n).unwrap() * 1000)
                .into_iter()
                .map(|k| (n, k)),
        );
    }
    assert_eq!(told[1..], [(1, Kind::BudgetOverrun), (6, Kind::BudgetBack)]);
}

#[test]
fn a_queue_that_stands_long_is_told_at_two_edges() {
    let mut world = World::new(thresholds());
    let mut told = vec![];
    for (n, waited) in [0, 390, 410, 150, 399, 99, 0].into_iter().enumerate() {
        world.live.tenant_queues = vec![valehatch_admission::TenantQueueView {
            oldest: ms(waited),
            ..Default::default()
        }];
        told.extend(world.look(i64::try_from(n).unwrap() * 1000));
    }
    assert_eq!(
        told[1..],
        [
            Notification::QueueLong("a".into(), "acme".into(), 410),
            Notification::QueueShort("a".into(), "acme".into(), 99)
        ]
    );
}

#[test]
fn members_state_and_stop_are_told_and_a_member_that_left_is_not_waited_for() {
    let mut world = World::new(thresholds());
    world.look(0);
    world.live.endpoints[1].view.health = EndpointHealth::Unreachable;
    assert_eq!(world.kinds(100), [Kind::MemberOutOfReach]);
    world.live.endpoints[1].view.health = EndpointHealth::Unresponsive;
    assert_eq!(world.kinds(200), [], "it still cannot be used");
    world.live.endpoints.remove(1);
    assert_eq!(world.kinds(300), [Kind::MemberBack]);
    world.trouble = Some("disk full");
    assert_eq!(
        world.look(400),
        [Notification::StateTrouble("disk full".into())]
    );
    world.trouble = None;
    assert_eq!(world.kinds(500), [Kind::StateWell]);
    world.live.shutting_down = true;
    assert_eq!(world.kinds(600), [Kind::Stopping]);
    assert_eq!(world.kinds(700), []);
}

#[test]
fn a_storm_is_told_as_one_and_what_comes_after_it_one_by_one() {
    let mut world = World::new(thresholds());
    let members: Vec<LiveEndpoint> = (10..210)
        .map(|n| {
            let mut member = world.live.endpoints[0].clone();
            (member.view.endpoint, member.name) = (EndpointId(n), format!("n{n}").into());
            member
        })
        .collect();
    world.live.endpoints = members;
    world.look(0);
    let mut told = vec![];
    for look in 1..100 {
        let health = if look % 2 == 1 {
            EndpointHealth::Unreachable
        } else {
            EndpointHealth::Healthy
        };
        world
            .live
            .endpoints
            .iter_mut()
            .for_each(|m| m.view.health = health);
        told.extend(world.look(look * 100));
    }
    assert_eq!(told.len(), 5, "200 members flap for ten seconds");
    let mut after = world.look(10_000);
    assert_eq!(after.len(), 1);
    let Some(Notification::Storm(kinds)) = after.pop() else {
        panic!()
    };
    let left_out: u64 = kinds.iter().map(|(_, n)| n).sum();
    assert_eq!(left_out, 99 * 200 - 5, "each is counted once: {kinds:?}");
    world.live.endpoints[0].view.health = EndpointHealth::Healthy;
    assert_eq!(world.kinds(10_100), [Kind::MemberBack]);
}

#[test]
fn an_inform_is_repeated_with_growing_pauses_until_it_is_acknowledged_or_given_up() {
    let mut outbox = Outbox::new(100, Some((ms(1000), 3)), 0);
    outbox.push(Time(0), "x");
    let mut sent = vec![];
    for at in 0..40 {
        sent.extend(outbox.due(Time(at * 500_000)).iter().map(|p| (at, p.id)));
    }
    assert_eq!(
        sent,
        [(0, 1), (2, 1), (6, 1), (14, 1)],
        "after 0, 1, 3 and 7 s, under one number"
    );
    assert_eq!((outbox.tally().given_up, outbox.len()), (1, 0));
    outbox.push(Time(0), "y");
    let id = outbox.due(Time(0))[0].id;
    assert!(!outbox.acknowledged(id + 7));
    assert!(outbox.acknowledged(id) && outbox.is_empty() && !outbox.acknowledged(id));
}

#[test]
fn a_receiver_that_never_answers_holds_no_more_than_its_queue_and_few_are_out() {
    let mut outbox = Outbox::new(20, Some((ms(1000), 5)), 0);
    let mut most = 0;
    for n in 0..1000 {
        outbox.push(Time(n * 1000), n);
        most = most.max(outbox.due(Time(n * 1000)).len());
        assert!(outbox.len() <= 20);
    }
    assert_eq!(most, 1);
    assert_eq!(outbox.tally().sent, 8, "no more than a few are out at once");
    assert_eq!(outbox.tally().dropped, 980);
    let mut traps = Outbox::new(3, None, 0);
    (0..5).for_each(|n| traps.push(Time(0), n));
    assert_eq!(
        traps
            .due(Time(0))
            .iter()
            .map(|p| p.what)
            .collect::<Vec<_>>(),
        [2, 3, 4]
    );
    assert!(traps.is_empty());
}
