//! The slow-start budget of an endpoint that has just started, summed over all gateways, where some
//! queries are far longer than the mean.

mod support;

use rstest::rstest;
use support::*;
use valehatch_policy::*;

/// Gateways that share the group, each with its share of the traffic.
const GATEWAYS: u64 = 32;
/// Endpoints of the group. The first is its primary, the last one restarts.
const ENDPOINTS: u32 = 4;
/// Requests of mean work per second that tenants may send.
const ALLOWANCE: f64 = 240.0;
/// Time between two requests of one gateway.
const GAP_MS: i64 = 160;
/// Work of a short query and of a report, in milliseconds.
const SHORT_MS: i64 = 60;
const REPORT_MS: i64 = 1_100;
/// Time before and after the restart.
const BEFORE_RESTART_MS: i64 = 10_000;
const AFTER_RESTART_MS: i64 = 8_000;

/// The settings of [`support::settings`] with one more class: reports, which any endpoint may
/// serve.
fn settings_with_reports() -> (Settings, ClassId) {
    let mut settings = settings();
    let report = RequestClass {
        consistency: Consistency::Eventual,
        idempotency: Idempotency::Idempotent,
        latency_objective: ms(6_000),
        latency_objective_stretch: 0.0,
        deadline: ms(12_000),
        priority_weight: 4.0,
        late_priority_weight: 0.0,
    };
    settings.classes.push(report);
    settings.routers = GATEWAYS as u32;
    settings.tenants = vec![Tenant {
        allowance: ALLOWANCE,
    }];
    (settings.clone(), ClassId(settings.classes.len() - 1))
}

/// Requests that one gateway sends to the restarted endpoint: the time and the work of each.
fn sent_by_one(gateway: u64, seed: u64, one_report_in: u64, restarted: &[u32]) -> Vec<(Time, f64)> {
    let (cfg, report) = settings_with_reports();
    let mut script = Script::group_seeded(cfg, ENDPOINTS, 1, seed * GATEWAYS + gateway);
    let mut ends: Vec<(Time, u64)> = vec![];
    let mut sends_seen = 0;
    let mut sent = vec![];
    let started_at = script.now;
    script.advance(gateway as i64 * GAP_MS / GATEWAYS as i64);
    let mut id = 0;
    while script.now < started_at + ms(BEFORE_RESTART_MS + AFTER_RESTART_MS) {
        id += 1;
        // Reports are spread over the gateways, so that no gateway sends its reports in step with
        // another.
        let class = if (id + gateway * 7).is_multiple_of(one_report_in) {
            report
        } else {
            EVENTUAL
        };
        if id == (BEFORE_RESTART_MS / GAP_MS) as u64 {
            let now = script.now;
            let entries = restarted.iter().map(|endpoint| {
                let mut record = record(*endpoint, *endpoint == 1, EndpointState::Ready);
                record.started = Some(now);
                record
            });
            script.list(false, entries.collect());
        }
        script.request_with(
            id,
            class,
            if class == report { 12_000 } else { 3_000 },
            None,
        );
        let next = script.now + ms(GAP_MS);
        while script.now < next {
            script.advance(5);
            for (request, endpoint) in &script.sends[sends_seen..] {
                let is_report = (request.0 + gateway * 7).is_multiple_of(one_report_in);
                let work = if is_report { REPORT_MS } else { SHORT_MS };
                ends.push((script.now + ms(work), request.0));
                if *endpoint == EndpointId(ENDPOINTS) && id >= (BEFORE_RESTART_MS / GAP_MS) as u64 {
                    sent.push((script.now, work as f64));
                }
            }
            sends_seen = script.sends.len();
            let now = script.now;
            let due: Vec<u64> = ends
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, id)| *id)
                .collect();
            ends.retain(|(at, _)| *at > now);
            for id in due {
                let role = if script.sent_to(id) == Some(1) {
                    Role::Primary
                } else {
                    Role::Replica
                };
                let end = script.end_event(id, Outcome::Ok, Some(role), None);
                script.step(&end.into_iter().collect::<Vec<_>>());
            }
        }
    }
    sent
}

/// The largest work that reached the endpoint within one window, as a fraction of the work that
/// overloads the endpoint; and the latter, in requests of mean work.
fn worst_window(mut sent: Vec<(Time, f64)>, one_report_in: u64) -> (f64, f64) {
    sent.sort_by_key(|(at, _)| *at);
    let rules = settings().rules;
    let reports = 1.0 / one_report_in as f64;
    let mean = reports * REPORT_MS as f64 + (1.0 - reports) * SHORT_MS as f64;
    let started = Time(100_000_000) + ms(BEFORE_RESTART_MS / GAP_MS * GAP_MS);
    let mut worst = (0.0, 0.0);
    for (last, (at, _)) in sent.iter().enumerate() {
        let window = sent[..=last]
            .iter()
            .rev()
            .take_while(|(earlier, _)| *at - *earlier < rules.overload_duration);
        let units = window.map(|(_, work)| work / mean).sum::<f64>();
        let progress =
            ((*at - started).as_f64() / rules.slow_start_duration.as_f64()).clamp(0.0, 1.0);
        let capacity_fraction = rules.slow_start_initial_capacity
            + (1.0 - rules.slow_start_initial_capacity) * progress;
        let capacity =
            ALLOWANCE / f64::from(ENDPOINTS) * capacity_fraction * rules.overload_duration.as_f64()
                / 1e6;
        let n = rules.overload_multiple * capacity;
        let bound = n + 2.0 * n.sqrt() + 2.0;
        if units / bound > worst.0 {
            worst = (units / bound, bound);
        }
    }
    worst
}

#[rstest]
#[case::one_replica_restarts(&[4])]
#[case::the_whole_group_restarts(&[1, 2, 3, 4])]
fn long_queries_are_charged_by_their_work(#[case] restarted: &[u32]) {
    for (one_report_in, seed) in [(25, 1), (25, 2), (25, 3), (50, 1), (50, 2), (50, 3)] {
        let all =
            (0..GATEWAYS).flat_map(|gateway| sent_by_one(gateway, seed, one_report_in, restarted));
        let sent: Vec<_> = all.collect();
        let count = sent.len();
        let (fraction, bound) = worst_window(sent, one_report_in);
        println!(
            "one report in {one_report_in}, seed {seed}: {count} sent, at most {fraction:.2} of {bound:.0} requests of mean work"
        );
        assert!(count > 10, "{count} sent: too few to show anything");
        assert!(
            fraction <= 1.0,
            "{fraction:.2} times the work that overloads the endpoint ({bound:.0} requests of mean work)"
        );
    }
}
