//! Whatever settings are accepted, a router made from them works: it does not panic, has no NaN or infinity in its state,
//! and every request ends.

mod site;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};
use site::{pointer, settings};
use valehatch_config::Site;
use valehatch_policy::*;

/// Values at and beyond the ends of what each key may hold, and some in between.
const NUMBERS: [f64; 16] = [
    0.0, 1e-9, 0.001, 0.1, 0.5, 1.0, 2.0, 7.0, 100.0, 1000.0, 60_000.0, 1e6, 1e9, 2.592e9, 1e300,
    -1.0,
];

const KEYS: [&str; 24] = [
    "classes.0.slo-ms",
    "classes.0.deadline-ms",
    "classes.0.worth",
    "classes.0.late-worth",
    "classes.1.worth",
    "classes.1.window-ms",
    "classes.1.slo-ms",
    "classes.2.worth",
    "classes.2.deadline-ms",
    "classes.3.worth",
    "family-info.staleness-bound-ms.0",
    "family-info.catch-up-wait-ms",
    "fleet-size",
    "tick-ms",
    "limits.conn-idle-ms",
    "limits.max-attempts",
    "limits.max-retry-after-ms",
    "limits.most-held",
    "rules.ask-within-ms",
    "rules.cold-from",
    "rules.cold-ms",
    "rules.tip-after-ms",
    "rules.tip-multiple",
    "tenants.0.allowance-per-s",
];

const FLAGS: [&str; 4] = [
    "limits.cancel",
    "limits.probing",
    "limits.retry-after",
    "rules.removal-not-binding",
];

#[derive(Clone, Debug)]
enum Change {
    Number(usize, usize),
    Flag(usize, bool),
    Ask,
    NoChecks,
    Brought,
    NoTenants,
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let one = prop_oneof![
        12 => (0..KEYS.len(), 0..NUMBERS.len()).prop_map(|(k, n)| Change::Number(k, n)),
        3 => (0..FLAGS.len(), any::<bool>()).prop_map(|(f, on)| Change::Flag(f, on)),
        1 => Just(Change::Ask),
        1 => Just(Change::NoChecks),
        1 => Just(Change::Brought),
        1 => Just(Change::NoTenants),
    ];
    prop::collection::vec(one, 1..8)
}

fn changed(changes: &[Change]) -> Value {
    let mut all = settings();
    for change in changes {
        let (key, value) = match change {
            Change::Number(key, n) => (KEYS[*key], json!(NUMBERS[*n])),
            Change::Flag(flag, on) => (FLAGS[*flag], json!(on)),
            Change::Ask => ("membership-mode", json!("ask")),
            Change::NoChecks => ("family-info.server-checks", json!("off")),
            Change::Brought => ("family-info.token-mode", json!("brought")),
            Change::NoTenants => ("tenants", json!([])),
        };
        // An earlier change may have removed the tenants.
        if let Some(place) = all.pointer_mut(&pointer(key)) {
            *place = value;
        }
    }
    all
}

/// A client and the endpoints, driven by random numbers.
struct World {
    router: Router,
    now: Time,
    timer: Option<Time>,
    out: BTreeMap<(RequestId, u32), (EndpointId, Time)>,
    sent: BTreeMap<RequestId, u32>,
    open: BTreeMap<RequestId, Time>,
    probes: Vec<EndpointId>,
    attempts: u32,
}

impl World {
    fn step(&mut self, events: &[PolicyEvent]) {
        let mut actions = vec![];
        self.router.step(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request, endpoint, ..
                } => {
                    let n = self.sent.entry(request).or_default();
                    assert!(
                        *n < self.attempts,
                        "{request:?} is sent more often than allowed"
                    );
                    self.out.insert((request, *n), (endpoint, self.now));
                    *n += 1;
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    assert!(
                        self.open.remove(&request).is_some(),
                        "two answers for {request:?}"
                    );
                }
                Action::HealthCheck { endpoint } => self.probes.push(endpoint),
                Action::SetTimer { at, .. } => {
                    self.timer = Some(self.timer.map_or(at, |t| t.min(at)))
                }
                Action::Cancel { .. } | Action::RefreshEndpointList => {}
            }
        }
        let shown = format!("{:?}", self.router);
        assert!(
            !shown.contains("NaN") && !shown.contains(": inf") && !shown.contains("[inf"),
            "{shown}"
        );
    }

    fn end(&mut self, how: u8) {
        let Some(((request, attempt), (endpoint, sent))) = self.out.pop_first() else {
            return;
        };
        let (outcome, role) = match how % 7 {
            0 | 1 => (Outcome::Ok, Some(Role::Primary)),
            2 => (Outcome::Misdirected, Some(Role::Replica)),
            3 => (Outcome::Rejected, None),
            4 => (Outcome::Error, None),
            5 => (Outcome::ConnectFailed, None),
            _ => (Outcome::Reset, None),
        };
        let request_ended = outcome == Outcome::Ok || !self.open.contains_key(&request);
        if request_ended {
            self.open.remove(&request);
        }
        let latency = self.now - sent;
        let (position, report) = (None, None);
        let end = AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            request_ended,
            latency,
            role,
            position,
            report,
        };
        self.step(&[PolicyEvent::AttemptEnded(end)]);
    }
}

fn play(site: &Site, moves: &[(u8, u8, u16)]) {
    let settings = site.settings.clone();
    let (classes, attempts) = (settings.classes.clone(), settings.limits.max_attempts);
    let router = Router::new(settings, 7).expect("accepted settings are sound");
    let mut world = World {
        router,
        now: Time(1_000_000_000),
        timer: None,
        out: BTreeMap::new(),
        sent: BTreeMap::new(),
        open: BTreeMap::new(),
        probes: vec![],
        attempts,
    };
    let entry = |n: u32, started| EndpointRecord {
        endpoint: EndpointId(n),
        group: GroupId(0),
        zone: ZoneId(1),
        kind: KindId(0),
        weight: 1.0,
        started,
        primary: n == 1,
        state: EndpointState::Ready,
    };
    let list = vec![
        entry(1, None),
        entry(2, None),
        entry(3, Some(world.now)),
        entry(4, Some(world.now)),
    ];
    world.step(&[PolicyEvent::EndpointList {
        complete: true,
        entries: list,
    }]);
    for (n, (what, how, after)) in moves.iter().enumerate() {
        match what % 6 {
            0 | 1 => {
                let (id, class) = (RequestId(n as u64 + 1), usize::from(*how) % classes.len());
                let time_left = classes[class].deadline;
                world.open.insert(id, world.now + time_left);
                world.step(&[PolicyEvent::Request(Request {
                    id,
                    session: Some(SessionKey(5)),
                    time_left,
                    group: GroupId(0),
                    class: ClassId(class),
                    tenant: None,
                    work: Some(Span::from_millis(i64::from(*how))),
                    is_client_retry: false,
                    since_last_write: None,
                })]);
            }
            2 | 3 => world.end(*how),
            4 => {
                let Some(endpoint) = world.probes.pop() else {
                    continue;
                };
                let position = Some(world.now - Span::from_millis(i64::from(*how)));
                let report = Some(LoadReport {
                    position,
                    primary: Some(endpoint == EndpointId(1)),
                    busy: None,
                });
                let outcome = if how % 3 > 0 {
                    Outcome::Ok
                } else {
                    Outcome::ConnectFailed
                };
                world.step(&[PolicyEvent::HealthCheckEnded {
                    endpoint,
                    outcome,
                    latency: Span(900),
                    report,
                }]);
            }
            _ => {
                world.now = world.now + Span(i64::from(*after).pow(2));
                world.step(&[PolicyEvent::Timer(0), PolicyEvent::DiscoveryFailed]);
            }
        }
    }
    // Attempts in flight end, whatever is retried, and time passes until no request is open.
    while !world.open.is_empty() {
        let deadlines = world.open.values().copied().min().expect("one is open");
        let soon = world.timer.take().unwrap_or(deadlines).min(deadlines);
        world.now = world.now.max(soon) + Span(1);
        if world.out.is_empty() {
            world.step(&[PolicyEvent::Timer(0)]);
            let late = world
                .open
                .values()
                .any(|at| world.now - *at > Span::from_millis(10_000));
            assert!(!late, "no end for {:?}", world.open);
        } else {
            world.end(6);
        }
    }
}

#[test]
fn accepted_settings_give_working_router() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[29; 32]));
    let moves = prop::collection::vec(any::<(u8, u8, u16)>(), 1..80);
    let accepted = std::cell::Cell::new(0);
    runner
        .run(&(changes(), moves), |(changes, moves)| {
            let settings = changed(&changes);
            match Site::from_json(&settings) {
                Ok(site) => {
                    accepted.set(accepted.get() + 1);
                    play(&site, &moves);
                }
                Err(error) => {
                    let message = error.to_string();
                    let names = |c: &Change| matches!(c, Change::Number(key, _) if named(&message, KEYS[*key]));
                    let poll_interval = message.contains("rules.ask-within-ms");
                    prop_assert!(poll_interval || changes.iter().any(names), "{message} names none of {changes:?}");
                }
            }
            Ok(())
        })
        .unwrap();
    assert!(
        accepted.get() > 50,
        "{} settings were accepted",
        accepted.get()
    );
}

fn named(message: &str, key: &str) -> bool {
    let list = key.strip_suffix(".0").map(|list| format!("{list} item 0"));
    message.contains(&list.unwrap_or_else(|| key.to_owned()))
}
