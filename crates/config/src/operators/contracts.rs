//! Contracts: the request classes of a front, in the list `[[front.contract]]`. On a Cassandra
//! front the beginning of a statement determines its contract; on a PostgreSQL front the request
//! names it.

use super::Protocol;
use super::endpoints::read_group;
use super::sections::Budget;
use crate::names::{fits_metrics, validate_request_name};
use crate::reader::Section;
use crate::settings::MIN_DEADLINE_MS;

/// A day in milliseconds, which is longer than any client waits.
pub(super) const DAY_MS: f64 = 86_400_000.0;
const MAX_PRIORITY_WEIGHT: f64 = 1e9;
/// Default deadline of the built-in contracts, in milliseconds.
const BUILT_IN_DEADLINE_MS: f64 = 5000.0;
/// Latency objective of the built-in contracts, as a share of the deadline.
const BUILT_IN_OBJECTIVE: f64 = 0.25;

/// The class, tenant and group of the statements that a contract covers.
#[derive(Clone, Debug)]
pub struct Contract {
    /// Index of the request class, in the order of the settings.
    pub class: usize,
    /// Index of the tenant, in the order of the settings; `None` without a budget.
    pub tenant: Option<usize>,
    /// Number of the endpoint group that holds the data.
    pub group: u16,
    /// Prefixes of the contract's statements, normalized by [`normalize`].
    prefixes: Vec<String>,
}

/// The contracts of a front. A Cassandra front has two contracts in addition to those of the file:
/// for unknown statements and for PREPARE.
#[derive(Clone, Debug)]
pub struct Contracts(Vec<Contract>);

impl Contracts {
    /// The contract of a statement: the first in the file with a matching prefix, or else the
    /// contract for unknown statements.
    #[must_use]
    pub fn for_statement(&self, statement: &str) -> &Contract {
        let prefixes = self.0.iter().flat_map(|contract| &contract.prefixes);
        let longest = prefixes.map(String::len).max().unwrap_or(0);
        let statement = normalize(statement, longest);
        for contract in &self.0 {
            let matches = |prefix: &String| has_statement_prefix(&statement, prefix);
            if contract.prefixes.iter().any(matches) {
                return contract;
            }
        }
        self.for_unknown()
    }

    /// The contract of unknown statements, which are treated as writes that must not be repeated.
    #[must_use]
    pub fn for_unknown(&self) -> &Contract {
        &self.0[self.0.len() - 2]
    }

    /// The contract of PREPARE, which changes no data and which any endpoint can serve.
    #[must_use]
    pub fn for_prepare(&self) -> &Contract {
        &self.0[self.0.len() - 1]
    }
}

/// Whether a statement begins with a prefix, and the prefix does not end in the middle of a word.
fn has_statement_prefix(statement: &str, prefix: &str) -> bool {
    let is_word = |c: char| c.is_alphanumeric() || c == '_';
    let Some(rest) = statement.strip_prefix(prefix) else {
        return false;
    };
    !(prefix.ends_with(is_word) && rest.starts_with(is_word))
}

/// Normalizes a statement for comparison: lower case, one space between words, no semicolon at the
/// end. The result is truncated once it is longer than `max_bytes`.
fn normalize(statement: &str, max_bytes: usize) -> String {
    let mut text = String::with_capacity(max_bytes.min(statement.len()) + 8);
    for word in statement.trim().trim_end_matches(';').split_whitespace() {
        if !text.is_empty() {
            text.push(' ');
        }
        for letter in word.chars() {
            if text.len() > max_bytes {
                return text;
            }
            text.extend(letter.to_lowercase());
        }
    }
    text
}

/// A contract as read from the file, with the values that settings text takes.
pub(super) struct ContractSection {
    pub(super) name: String,
    /// Name of the budget; `None` if the contract has none.
    budget: Option<String>,
    group: u16,
    statements: Vec<String>,
    pub(super) consistency: &'static str,
    pub(super) staleness_bound_ms: f64,
    pub(super) idempotency: &'static str,
    pub(super) idempotency_window_ms: f64,
    pub(super) latency_objective_ms: f64,
    pub(super) deadline_ms: f64,
    pub(super) priority_weight: f64,
    pub(super) late_priority_weight: f64,
}

impl ContractSection {
    fn read(section: &Section<'_>, protocol: Protocol) -> Self {
        let consistency = section.choice("need", None, consistency_levels(protocol));
        let effects = [("safe", "safe"), ("keyed", "keyed"), ("unsafe", "unsafe")];
        let idempotency = section.choice("effect", None, &effects);
        let group = read_group(section);
        Self {
            name: section.name("name", None),
            budget: section.optional_text("budget"),
            group,
            statements: match protocol {
                Protocol::Cassandra => section.texts("statements", None),
                Protocol::Postgresql => vec![],
            },
            consistency,
            staleness_bound_ms: match consistency {
                "lag_bound" => section.above_zero("bound-ms", None, DAY_MS),
                _ => 0.0,
            },
            idempotency,
            idempotency_window_ms: match idempotency {
                "keyed" => section.above_zero("window-ms", None, DAY_MS),
                _ => 0.0,
            },
            latency_objective_ms: section.above_zero("aim-ms", None, DAY_MS),
            deadline_ms: section.number("deadline-ms", None, MIN_DEADLINE_MS..=DAY_MS),
            priority_weight: section.above_zero("worth", Some(1.0), MAX_PRIORITY_WEIGHT),
            late_priority_weight: section.number("late-worth", Some(0.0), 0.0..=1.0),
        }
    }

    /// A contract of a Cassandra front that the file does not list. The key `deadline_key` of the
    /// front sets the deadline.
    fn built_in(
        front: &Section<'_>,
        name: &str,
        deadline_key: &str,
        group: u16,
        consistency: &'static str,
        idempotency: &'static str,
    ) -> Self {
        let deadline_ms = front.number(
            deadline_key,
            Some(BUILT_IN_DEADLINE_MS),
            MIN_DEADLINE_MS..=DAY_MS,
        );
        Self {
            name: name.to_owned(),
            budget: None,
            group,
            statements: vec![],
            consistency,
            staleness_bound_ms: 0.0,
            idempotency,
            idempotency_window_ms: 0.0,
            latency_objective_ms: deadline_ms * BUILT_IN_OBJECTIVE,
            deadline_ms,
            priority_weight: 1.0,
            late_priority_weight: 0.0,
        }
    }

    /// Checks keys against each other, against the budgets, and against the groups that have
    /// endpoints.
    fn check(
        &self,
        section: &Section<'_>,
        protocol: Protocol,
        budgets: &[Budget],
        groups: Option<&[u16]>,
    ) {
        if self.deadline_ms < self.latency_objective_ms {
            section.fault(
                "deadline-ms",
                format!(
                    "is {}, below aim-ms, {}",
                    self.deadline_ms, self.latency_objective_ms
                ),
            );
        }
        if section.has("statements") && protocol == Protocol::Cassandra {
            let is_empty = |statement: &String| normalize(statement, 1).is_empty();
            if self.statements.is_empty() || self.statements.iter().any(is_empty) {
                section.fault("statements", "must say how the contract's statements begin");
            }
        }
        if let Some(name) = &self.budget
            && !budgets.iter().any(|budget| budget.name == *name)
        {
            section.fault("budget", format!("is {name:?}, which no budget is named"));
        }
        if groups.is_some_and(|groups| !groups.contains(&self.group)) {
            section.fault("group", format!("is {}, which has no member", self.group));
        }
    }

    fn contract(&self, class: usize, budgets: &[Budget]) -> Contract {
        let tenant = match &self.budget {
            None => None,
            Some(name) => budgets.iter().position(|budget| budget.name == *name),
        };
        Contract {
            class,
            tenant,
            group: self.group,
            prefixes: self
                .statements
                .iter()
                .map(|statement| normalize(statement, statement.len()))
                .collect(),
        }
    }
}

/// The values of the key `need`, with the corresponding values of `family-info.needs-by-class`.
const fn consistency_levels(protocol: Protocol) -> &'static [(&'static str, &'static str)] {
    match protocol {
        Protocol::Cassandra => &[("any", "eventual"), ("write", "mutate")],
        Protocol::Postgresql => &[
            ("any", "eventual"),
            ("write", "mutate"),
            ("fresh", "strong"),
            ("session", "causal"),
            ("bounded", "lag_bound"),
        ],
    }
}

/// Whether metrics are served, which restricts the names of contracts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Metrics {
    Served,
    NotServed,
}

/// Reads the list `[[front.contract]]`.
pub(super) fn read_contracts(
    front: &Section<'_>,
    protocol: Protocol,
    budgets: &[Budget],
    groups: Option<&[u16]>,
    metrics: Metrics,
) -> Vec<ContractSection> {
    let sections = front.list("contract");
    if protocol == Protocol::Postgresql {
        if sections.is_empty() {
            front.fault("contract", "is missing: requests name their contract");
        }
        check_budget_names(front, budgets);
    }
    let mut contracts: Vec<ContractSection> = vec![];
    let mut completed = vec![];
    for section in sections {
        let contract = ContractSection::read(&section, protocol);
        contract.check(&section, protocol, budgets, groups);
        let name = &contract.name;
        if contracts.iter().any(|other| other.name == *name) {
            section.fault("name", format!("is {name:?}, as another contract's"));
        }
        if metrics == Metrics::Served && !fits_metrics(name) {
            section.fault(
                "name",
                format!("is {name:?}: with [mgmt] it must hold neither ':' nor '|'"),
            );
        }
        if protocol == Protocol::Postgresql
            && let Err(unusable) = validate_request_name(name)
        {
            section.fault("name", unusable.to_string());
        }
        contracts.push(contract);
        completed.push(section.finish());
    }
    front.put_list("contract", completed);
    contracts
}

/// Reports the first budget whose name cannot occur in a request comment.
fn check_budget_names(front: &Section<'_>, budgets: &[Budget]) {
    for budget in budgets {
        if let Err(unusable) = validate_request_name(&budget.name) {
            front.fault(
                "protocol",
                format!("is postgresql, where requests name their budget, but a budget's name {unusable}"),
            );
            return;
        }
    }
}

/// The contracts that a Cassandra front has in addition to those of the file, in the order that
/// [`Contracts`] requires.
pub(super) fn built_in_contracts(
    front: &Section<'_>,
    groups: Option<&[u16]>,
) -> [ContractSection; 2] {
    let group = groups.into_iter().flatten().min().copied().unwrap_or(0);
    [
        ContractSection::built_in(
            front,
            "unknown",
            "unknown-deadline-ms",
            group,
            "mutate",
            "unsafe",
        ),
        ContractSection::built_in(
            front,
            "prepare",
            "prepare-deadline-ms",
            group,
            "eventual",
            "safe",
        ),
    ]
}

pub(super) fn contracts(sections: &[ContractSection], budgets: &[Budget]) -> Contracts {
    let contracts = sections.iter().enumerate();
    Contracts(
        contracts
            .map(|(class, section)| section.contract(class, budgets))
            .collect(),
    )
}
