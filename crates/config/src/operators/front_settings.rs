//! Converts the sections of a front to settings text, which the parser of the platform's settings
//! reads.

use std::fmt::{Display, Write};

use super::Protocol;
use super::contracts::{ContractSection, DAY_MS};
use super::sections::Budget;
use crate::reader::Section;
use crate::settings::MAX_ATTEMPTS;

const HOUR_MS: f64 = 3_600_000.0;
const MINUTE_MS: f64 = 60_000.0;

/// Settings text under construction.
#[derive(Default)]
struct TextBuilder(String);

impl TextBuilder {
    fn put(&mut self, key: impl Display, value: impl Display) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.0, "{key}={value}");
    }
}

/// The settings text of a front. Reads the front's sections `limits`, `rules` and `database`.
pub(super) fn settings_text(
    front: &Section<'_>,
    protocol: Protocol,
    gateways: u32,
    budgets: &[Budget],
    contracts: &[ContractSection],
) -> String {
    let mut text = TextBuilder::default();
    put_classes(&mut text, contracts);
    put_tenants(&mut text, budgets);
    put_limits(&mut text, front);
    put_rules(&mut text, front);
    text.put("fleet-size", gateways);
    match protocol {
        Protocol::Postgresql => put_database(&mut text, front),
        Protocol::Cassandra => put_no_database(&mut text),
    }
    put_constants(&mut text);
    text.0
}

fn put_classes(text: &mut TextBuilder, contracts: &[ContractSection]) {
    text.put("classes.count", contracts.len());
    let mut consistency = vec![];
    let mut staleness_bounds = vec![];
    for (n, contract) in contracts.iter().enumerate() {
        let mut put = |key: &str, value: &dyn Display| {
            text.put(format_args!("classes.{n}.{key}"), value);
        };
        put("effect", &contract.idempotency);
        put("group", &"cell");
        put("slo-ms", &contract.latency_objective_ms);
        put("deadline-ms", &contract.deadline_ms);
        put("window-ms", &contract.idempotency_window_ms);
        put("worth", &contract.priority_weight);
        put("late-worth", &contract.late_priority_weight);
        consistency.push(contract.consistency.to_owned());
        staleness_bounds.push(contract.staleness_bound_ms.to_string());
    }
    text.put("family-info.needs-by-class", consistency.join(","));
    text.put("family-info.staleness-bound-ms", staleness_bounds.join(","));
}

fn put_tenants(text: &mut TextBuilder, budgets: &[Budget]) {
    text.put("tenants.count", budgets.len());
    for (n, budget) in budgets.iter().enumerate() {
        text.put(format_args!("tenants.{n}.share"), budget.share);
        text.put(
            format_args!("tenants.{n}.allowance-per-s"),
            budget.allowance_per_s,
        );
    }
}

fn put_limits(text: &mut TextBuilder, front: &Section<'_>) {
    let limits = front.section("limits");
    let max_attempts = i64::from(MAX_ATTEMPTS);
    text.put(
        "limits.max-attempts",
        limits.integer("max-attempts", Some(max_attempts), 1..=max_attempts),
    );
    text.put(
        "limits.most-held",
        limits.integer("most-held", Some(20_000), 1..=10_000_000),
    );
    text.put(
        "limits.max-retry-after-ms",
        limits.above_zero("max-retry-after-ms", Some(2000.0), HOUR_MS),
    );
    text.put(
        "limits.conn-idle-ms",
        limits.above_zero("conn-idle-ms", Some(MINUTE_MS), DAY_MS),
    );
    text.put(
        "limits.connect-timeout-ms",
        limits.number("connect-timeout-ms", Some(250.0), 1.0..=MINUTE_MS),
    );
    front.put("limits", limits.finish());
}

fn put_rules(text: &mut TextBuilder, front: &Section<'_>) {
    let rules = front.section("rules");
    text.put(
        "rules.cold-from",
        rules.above_zero("cold-from", Some(0.24), 1.0),
    );
    text.put(
        "rules.cold-ms",
        rules.above_zero("cold-ms", Some(17_000.0), DAY_MS),
    );
    text.put(
        "rules.tip-multiple",
        rules.above_zero("tip-multiple", Some(3.0), 1000.0),
    );
    text.put(
        "rules.tip-after-ms",
        rules.above_zero("tip-after-ms", Some(2000.0), DAY_MS),
    );
    front.put("rules", rules.finish());
}

/// Adds `[front.database]` of a PostgreSQL front.
fn put_database(text: &mut TextBuilder, front: &Section<'_>) {
    let database = front.section("database");
    let checks = database.choice(
        "checks",
        Some("bounce"),
        &[("off", "off"), ("bounce", "bounce"), ("await", "await")],
    );
    let catch_up_wait_ms = match checks {
        "await" => database.number("catch-up-wait-ms", Some(20.0), 0.0..=MINUTE_MS),
        _ => 0.0,
    };
    let listed_role = database.choice(
        "listed-role",
        Some("trailing"),
        &[
            ("trailing", "trailing"),
            ("static", "static"),
            ("off", "off"),
        ],
    );
    let sessions = database.choice(
        "sessions",
        Some("kept"),
        &[("kept", "kept"), ("brought", "brought")],
    );
    let reports = if database.flag("reports", true) {
        "on_probe"
    } else {
        "off"
    };
    front.put("database", database.finish());
    text.put("family-info.catch-up-wait-ms", catch_up_wait_ms);
    text.put("family-info.role-listed", listed_role);
    text.put("family-info.server-checks", checks);
    text.put("family-info.token-mode", sessions);
    text.put("telemetry.source", reports);
}

/// Adds the values used instead of `[front.database]` for other fronts, where all endpoints are
/// equal and send no load reports.
fn put_no_database(text: &mut TextBuilder) {
    text.put("family-info.role-listed", "static");
    text.put("family-info.server-checks", "off");
    text.put("family-info.token-mode", "kept");
    text.put("telemetry.source", "off");
}

/// Adds settings that have no key in the operators' file.
fn put_constants(text: &mut TextBuilder) {
    text.put("rules.ask-within-ms", 10_000);
    text.put("over-share-worth", 0.2);
    text.put("family-info.position-zero-ms", 0);
    text.put("zone", 0);
    text.put("tick-ms", 5);
    text.put("limits.cancel", true);
    text.put("limits.probing", true);
    text.put("limits.retry-after", true);
    text.put("limits.second-copies", false);
    text.put("membership-mode", "push");
    text.put("telemetry.fields", "x0,x1,util,inflight");
}
