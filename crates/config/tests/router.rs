//! A router works with any accepted settings: it does not panic, has no NaN or infinity in its
//! state, and every request ends.

mod site;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};
use site::{pointer, settings};
use valehatch_config::Site;
use valehatch_policy::*;

/// Values at, beyond and between the bounds of the keys.
const NUMBERS: [f64; 16] = [
    0.0, 1e-9, 0.001, 0.1, 0.5, 1.0, 2.0, 7.0, 100.0, 1000.0, 60_000.0, 1e6, 1e9, 2.592e9, 1e300,
    -1.0,
];

const NUMBER_KEYS: [&str; 24] = [
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
        12 => (0..NUMBER_KEYS.len(), 0..NUMBERS.len()).prop_map(|(k, n)| Change::Number(k, n)),
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
            Change::Number(key, n) => (NUMBER_KEYS[*key], json!(NUMBERS[*n])),
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

/// A simulated client and endpoints, driven by random numbers.
struct Simulation {
    router: Router,
    now: Time,
    timer: Option<Time>,
    out: BTreeMap<(RequestId, u32), (EndpointId, Time)>,
    sent: BTreeMap<RequestId, u32>,
    open: BTreeMap<RequestId, Time>,
    probes: Vec<EndpointId>,
    attempts: u32,
}

impl Simulation {
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
                        "{request:?} has more attempts than allowed"
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
        let state = format!("{:?}", self.router);
        assert!(
            !state.contains("NaN") && !state.contains(": inf") && !state.contains("[inf"),
            "{state}"
        );
    }

    fn end(&mut self, choice: u8) {
        let Some(((request, attempt), (endpoint, sent))) = self.out.pop_first() else {
            return;
        };
        let (outcome, role) = match choice % 7 {
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

fn simulate(site: &Site, steps: &[(u8, u8, u16)]) {
    let settings = site.settings.clone();
    let (classes, attempts) = (settings.classes.clone(), settings.limits.max_attempts);
    let router = Router::new(settings, 7).expect("accepted settings are valid");
    let mut sim = Simulation {
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
        entry(3, Some(sim.now)),
        entry(4, Some(sim.now)),
    ];
    sim.step(&[PolicyEvent::EndpointList {
        complete: true,
        entries: list,
    }]);
    for (n, (what, choice, after)) in steps.iter().enumerate() {
        match what % 6 {
            0 | 1 => {
                let (id, class) = (
                    RequestId(n as u64 + 1),
                    usize::from(*choice) % classes.len(),
                );
                let time_left = classes[class].deadline;
                sim.open.insert(id, sim.now + time_left);
                sim.step(&[PolicyEvent::Request(Request {
                    id,
                    session: Some(SessionKey(5)),
                    time_left,
                    group: GroupId(0),
                    class: ClassId(class),
                    tenant: None,
                    work: Some(Span::from_millis(i64::from(*choice))),
                    is_client_retry: false,
                    since_last_write: None,
                })]);
            }
            2 | 3 => sim.end(*choice),
            4 => {
                let Some(endpoint) = sim.probes.pop() else {
                    continue;
                };
                let position = Some(sim.now - Span::from_millis(i64::from(*choice)));
                let report = Some(LoadReport {
                    position,
                    primary: Some(endpoint == EndpointId(1)),
                    busy: None,
                });
                let outcome = if choice % 3 > 0 {
                    Outcome::Ok
                } else {
                    Outcome::ConnectFailed
                };
                sim.step(&[PolicyEvent::HealthCheckEnded {
                    endpoint,
                    outcome,
                    latency: Span(900),
                    report,
                }]);
            }
            _ => {
                sim.now = sim.now + Span(i64::from(*after).pow(2));
                sim.step(&[PolicyEvent::Timer(0), PolicyEvent::DiscoveryFailed]);
            }
        }
    }
    // Attempts in flight end, including retries, and time passes until no request is open.
    while !sim.open.is_empty() {
        let deadlines = sim.open.values().copied().min().expect("one is open");
        let next = sim.timer.take().unwrap_or(deadlines).min(deadlines);
        sim.now = sim.now.max(next) + Span(1);
        if sim.out.is_empty() {
            sim.step(&[PolicyEvent::Timer(0)]);
            let late = sim
                .open
                .values()
                .any(|at| sim.now - *at > Span::from_millis(10_000));
            assert!(!late, "no end for {:?}", sim.open);
        } else {
            sim.end(6);
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
    let steps = prop::collection::vec(any::<(u8, u8, u16)>(), 1..80);
    let accepted = std::cell::Cell::new(0);
    runner
        .run(&(changes(), steps), |(changes, steps)| {
            let settings = changed(&changes);
            match Site::from_json(&settings) {
                Ok(site) => {
                    accepted.set(accepted.get() + 1);
                    simulate(&site, &steps);
                }
                Err(error) => {
                    let message = error.to_string();
                    let names = |c: &Change| matches!(c, Change::Number(key, _) if named(&message, NUMBER_KEYS[*key]));
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
