//! When somebody is to be told of what. [`NotificationMonitor`] compares what is believed and counted now with what was, and says each
//! change once: thresholds have two edges, so that a figure that trembles on one is not told again and again, and what
//! comes too thick is told as one [`Notification::Storm`]. [`Outbox`] holds what a receiver has not taken yet. No I/O, no clock.

#![forbid(unsafe_code)]

mod outbox;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use valehatch_core::LiveView;
use valehatch_policy::{EndpointHealth, EndpointId, GroupId, PrimaryEvidence, Span, Time};
use valehatch_request_log::{Counters, Scope};

pub use outbox::{Outbox, Post, Tally};

/// When what is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Thresholds {
    /// A group without a primary for longer than this.
    pub no_primary: Span,
    /// A search that lasts for longer than this.
    pub search_lasting: Span,
    /// Refusals of a class in a second, in thousandths: from here on they are told, below the second they have ended.
    pub refusals: (u64, u64),
    /// Over so long a time.
    pub refusals_over: Span,
    /// The part of its allowance that a tenant uses, in thousandths: the same two edges.
    pub budget: (u64, u64),
    /// How long the oldest of a tenant at the door has waited: the same two edges, in milliseconds.
    pub queue: (u64, u64),
    /// Notices within the window, beyond which the rest are told as one.
    pub storm: usize,
    /// The window.
    pub storm_window: Span,
}

/// Something to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// The gateway serves.
    Started,
    /// A planned stop was asked for.
    Stopping,
    /// Another member is believed to be the primary, or none.
    PrimaryChanged(GroupNotification),
    /// A search for the primary has begun.
    SearchBegun(GroupNotification),
    /// It lasts.
    SearchLasting(GroupNotification),
    /// It is over.
    SearchEnded(GroupNotification),
    /// A group has been without a primary for long.
    NoPrimary(GroupNotification),
    /// It has one again.
    PrimaryBack(GroupNotification),
    /// A member cannot be used.
    MemberOutOfReach(EndpointNotification),
    /// It can again, or has left the list.
    MemberBack(EndpointNotification),
    /// A class is refused much: the front, the class, refusals a second in thousandths.
    RefusalsRising(Arc<str>, Arc<str>, u64),
    /// It no longer is.
    RefusalsFallen(Arc<str>, Arc<str>, u64),
    /// A tenant asks for more than its allowance: the front, the tenant, thousandths of it.
    BudgetOverrun(Arc<str>, Arc<str>, u64),
    /// It no longer does.
    BudgetBack(Arc<str>, Arc<str>, u64),
    /// What is counted cannot be kept: why.
    StateTrouble(Arc<str>),
    /// It can again.
    StateWell,
    /// So many notices were not told, by kind, since the window began.
    Storm(Vec<(Kind, u64)>),
    /// A tenant's requests wait long at the door: the front, the tenant, milliseconds.
    QueueLong(Arc<str>, Arc<str>, u64),
    /// They no longer do.
    QueueShort(Arc<str>, Arc<str>, u64),
}

/// Of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupNotification {
    /// The front.
    pub front: Arc<str>,
    /// The group.
    pub group: GroupId,
    /// The member that is believed to be the primary, empty if none is.
    pub primary: Arc<str>,
    /// The one before.
    pub before: Arc<str>,
    /// How it is known.
    pub known: PrimaryEvidence,
    /// How often another one has been believed in.
    pub changes: u64,
    /// Writes that wait.
    pub held: u64,
    /// For how long it has been so, in milliseconds.
    pub lasted_ms: u64,
}

/// Of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointNotification {
    /// The front.
    pub front: Arc<str>,
    /// The member.
    pub member: EndpointId,
    /// Its name.
    pub name: Arc<str>,
    /// Its group.
    pub group: GroupId,
    /// Whether it can be used.
    pub health: EndpointHealth,
}

/// A notice without its particulars.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs)]
pub enum Kind {
    Started = 1,
    Stopping,
    PrimaryChanged,
    SearchBegun,
    SearchLasting,
    SearchEnded,
    NoPrimary,
    PrimaryBack,
    MemberOutOfReach,
    MemberBack,
    RefusalsRising,
    RefusalsFallen,
    BudgetOverrun,
    BudgetBack,
    StateTrouble,
    StateWell,
    Storm,
    QueueLong,
    QueueShort,
}

impl Notification {
    /// Its kind.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Started => Kind::Started,
            Self::Stopping => Kind::Stopping,
            Self::PrimaryChanged(_) => Kind::PrimaryChanged,
            Self::SearchBegun(_) => Kind::SearchBegun,
            Self::SearchLasting(_) => Kind::SearchLasting,
            Self::SearchEnded(_) => Kind::SearchEnded,
            Self::NoPrimary(_) => Kind::NoPrimary,
            Self::PrimaryBack(_) => Kind::PrimaryBack,
            Self::MemberOutOfReach(_) => Kind::MemberOutOfReach,
            Self::MemberBack(_) => Kind::MemberBack,
            Self::RefusalsRising(..) => Kind::RefusalsRising,
            Self::RefusalsFallen(..) => Kind::RefusalsFallen,
            Self::BudgetOverrun(..) => Kind::BudgetOverrun,
            Self::BudgetBack(..) => Kind::BudgetBack,
            Self::StateTrouble(_) => Kind::StateTrouble,
            Self::StateWell => Kind::StateWell,
            Self::Storm(_) => Kind::Storm,
            Self::QueueLong(..) => Kind::QueueLong,
            Self::QueueShort(..) => Kind::QueueShort,
        }
    }
}

/// A front, as it is now.
#[derive(Clone, Copy, Debug)]
pub struct FrontNow<'a> {
    /// Its name.
    pub name: &'a Arc<str>,
    /// What its core published last.
    pub live: &'a LiveView,
    /// Its tenants, with what this gateway's part of their allowance is, in requests a second.
    pub tenants: &'a [(Arc<str>, f64)],
}

#[derive(Debug)]
struct GroupWatch {
    primary: Arc<str>,
    changes: u64,
    searching: Option<Time>,
    lasting: bool,
    without_since: Option<Time>,
    without_told: bool,
    seen: u64,
}

#[derive(Debug)]
struct MemberWatch {
    notice: EndpointNotification,
    seen: u64,
}

/// Totals over a time, oldest first.
#[derive(Debug, Default)]
struct Rate {
    samples: VecDeque<(Time, u64)>,
    over: bool,
}

impl Rate {
    /// The rate a second, in thousandths, over the window.
    fn note(&mut self, now: Time, total: u64, over: Span) -> Option<u64> {
        self.samples.push_back((now, total));
        while self.samples.get(1).is_some_and(|(at, _)| now - *at >= over) {
            self.samples.pop_front();
        }
        let (at, before) = *self.samples.front()?;
        let passed = u64::try_from((now - at).0)
            .ok()
            .filter(|p| *p > 0 && now - at >= over)?;
        Some((total - before.min(total)).saturating_mul(1_000_000_000) / passed)
    }

    /// Whether an edge was crossed: upwards, downwards.
    fn crossed(&mut self, value: u64, (rising, falling): (u64, u64)) -> Option<bool> {
        let over = if self.over {
            value >= falling
        } else {
            value >= rising
        };
        (std::mem::replace(&mut self.over, over) != over).then_some(over)
    }
}

/// Compares now with before.
#[derive(Debug)]
pub struct NotificationMonitor {
    thresholds: Thresholds,
    round: u64,
    groups: BTreeMap<(Arc<str>, GroupId), GroupWatch>,
    members: BTreeMap<(Arc<str>, EndpointId), MemberWatch>,
    refusals: BTreeMap<(Arc<str>, Arc<str>), Rate>,
    budgets: BTreeMap<(Arc<str>, Arc<str>), Rate>,
    queues: BTreeMap<(Arc<str>, Arc<str>), Rate>,
    trouble: bool,
    stopping: bool,
    /// When the storm's window began, what was told in it, what was not.
    window: Option<Time>,
    told: usize,
    left_out: BTreeMap<Kind, u64>,
    out: Vec<Notification>,
}

impl NotificationMonitor {
    /// Nothing was before: the first look tells that the gateway has started, and what is wrong already.
    #[must_use]
    pub fn new(thresholds: Thresholds) -> Self {
        Self {
            thresholds,
            round: 0,
            groups: BTreeMap::new(),
            members: BTreeMap::new(),
            refusals: BTreeMap::new(),
            budgets: BTreeMap::new(),
            queues: BTreeMap::new(),
            trouble: false,
            stopping: false,
            window: None,
            told: 0,
            left_out: BTreeMap::new(),
            out: vec![],
        }
    }

    /// Other thresholds from now on; what is over them stays so until it is below the lower edge.
    pub fn set(&mut self, thresholds: Thresholds) {
        self.thresholds = thresholds;
    }

    /// One look: what is to be told.
    pub fn look(
        &mut self,
        now: Time,
        fronts: &[FrontNow<'_>],
        counters: &Counters,
        trouble: Option<&str>,
    ) -> Vec<Notification> {
        self.round += 1;
        if self.round == 1 {
            self.out.push(Notification::Started);
        }
        for front in fronts {
            self.look_at_groups(front);
            self.look_at_members(front);
            self.look_at_budgets(front);
            self.look_at_queues(front);
        }
        self.look_at_refusals(now, counters);
        if trouble.is_some() != self.trouble {
            self.trouble = trouble.is_some();
            self.out
                .push(trouble.map_or(Notification::StateWell, |why| {
                    Notification::StateTrouble(why.into())
                }));
        }
        if !self.stopping && fronts.iter().any(|f| f.live.shutting_down) {
            self.stopping = true;
            self.out.push(Notification::Stopping);
        }
        let round = self.round;
        self.groups.retain(|_, g| g.seen == round);
        // A member that has left the list is not out of health any more: it is gone, and nobody waits for it.
        let gone: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| m.seen != round)
            .map(|(k, _)| k.clone())
            .collect();
        for key in gone {
            if let Some(watch) = self
                .members
                .remove(&key)
                .filter(|w| w.notice.health != EndpointHealth::Healthy)
            {
                self.out.push(Notification::MemberBack(watch.notice));
            }
        }
        self.coalesce(now)
    }

    fn look_at_groups(&mut self, front: &FrontNow<'_>) {
        let live = front.live;
        for group in &live.groups {
            let name = |endpoint: EndpointId| {
                let found = live.endpoints.iter().find(|m| m.view.endpoint == endpoint);
                found.map_or_else(
                    || Arc::from(format!("{:08x}", endpoint.0)),
                    |m| Arc::clone(&m.name),
                )
            };
            // What only stands in for a primary is none that anybody believes in.
            let primary = group
                .primary
                .filter(|_| group.known != PrimaryEvidence::Unknown);
            let primary: Arc<str> = primary.map_or_else(|| Arc::from(""), name);
            let without = primary.is_empty();
            let key = (Arc::clone(front.name), group.group);
            let first = !self.groups.contains_key(&key);
            let watch = self.groups.entry(key).or_insert_with(|| GroupWatch {
                primary: Arc::clone(&primary),
                // What changed before the first look at it is told as well: the first belief is no change.
                changes: group.changes.min(1),
                searching: None,
                lasting: false,
                without_since: None,
                without_told: false,
                seen: 0,
            });
            watch.seen = self.round;
            let notice = |before: &Arc<str>, since: Time| GroupNotification {
                front: Arc::clone(front.name),
                group: group.group,
                primary: Arc::clone(&primary),
                before: Arc::clone(before),
                known: group.known,
                changes: group.changes,
                held: group.queued_writes as u64,
                lasted_ms: u64::try_from((live.taken_at - since).0 / 1000).unwrap_or(0),
            };
            let before = std::mem::replace(&mut watch.primary, Arc::clone(&primary));
            // Two changes between two looks may lead back to the same member: they are changes all the same.
            let again = group.changes > watch.changes + 1 && !without;
            watch.changes = group.changes;
            if !first && before != primary || again {
                self.out
                    .push(Notification::PrimaryChanged(notice(&before, group.since)));
            }
            match (watch.searching, group.searching) {
                (None, Some(since)) => {
                    (watch.searching, watch.lasting) = (Some(since), false);
                    self.out
                        .push(Notification::SearchBegun(notice(&before, since)));
                }
                (Some(since), None) => {
                    (watch.searching, watch.lasting) = (None, false);
                    self.out
                        .push(Notification::SearchEnded(notice(&before, since)));
                }
                _ => {}
            }
            let lasts = watch
                .searching
                .filter(|s| live.taken_at - *s >= self.thresholds.search_lasting);
            if let Some(since) = lasts.filter(|_| !std::mem::replace(&mut watch.lasting, true)) {
                self.out
                    .push(Notification::SearchLasting(notice(&before, since)));
            }
            if !without {
                let since = watch.without_since.take();
                if std::mem::take(&mut watch.without_told) {
                    self.out.push(Notification::PrimaryBack(notice(
                        &before,
                        since.unwrap_or(live.taken_at),
                    )));
                }
            } else {
                let since = *watch.without_since.get_or_insert(live.taken_at);
                let long = live.taken_at - since >= self.thresholds.no_primary;
                if long && !std::mem::replace(&mut watch.without_told, true) {
                    self.out
                        .push(Notification::NoPrimary(notice(&before, since)));
                }
            }
        }
    }

    fn look_at_members(&mut self, front: &FrontNow<'_>) {
        for member in &front.live.endpoints {
            let key = (Arc::clone(front.name), member.view.endpoint);
            let notice = EndpointNotification {
                front: Arc::clone(front.name),
                member: member.view.endpoint,
                name: Arc::clone(&member.name),
                group: member.view.group,
                health: member.view.health,
            };
            let watch = self.members.entry(key).or_insert_with(|| MemberWatch {
                notice: EndpointNotification {
                    health: EndpointHealth::Healthy,
                    ..notice.clone()
                },
                seen: 0,
            });
            watch.seen = self.round;
            let (was, is) = (
                watch.notice.health == EndpointHealth::Healthy,
                notice.health == EndpointHealth::Healthy,
            );
            watch.notice = notice.clone();
            if was && !is {
                self.out.push(Notification::MemberOutOfReach(notice));
            } else if !was && is {
                self.out.push(Notification::MemberBack(notice));
            }
        }
    }

    fn look_at_budgets(&mut self, front: &FrontNow<'_>) {
        for ((tenant, allowance), rate) in front.tenants.iter().zip(&front.live.request_rates) {
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss
            )]
            let used = (*rate as f64 * 1000.0 / allowance.max(1e-9)) as u64;
            let key = (Arc::clone(front.name), Arc::clone(tenant));
            let watch = self.budgets.entry(key.clone()).or_default();
            match watch.crossed(used, self.thresholds.budget) {
                Some(true) => self
                    .out
                    .push(Notification::BudgetOverrun(key.0, key.1, used)),
                Some(false) => self.out.push(Notification::BudgetBack(key.0, key.1, used)),
                None => {}
            }
        }
    }

    fn look_at_queues(&mut self, front: &FrontNow<'_>) {
        for ((tenant, _), door) in front.tenants.iter().zip(&front.live.tenant_queues) {
            let waited = u64::try_from(door.oldest.0 / 1000).unwrap_or(0);
            let key = (Arc::clone(front.name), Arc::clone(tenant));
            match self
                .queues
                .entry(key.clone())
                .or_default()
                .crossed(waited, self.thresholds.queue)
            {
                Some(true) => self.out.push(Notification::QueueLong(key.0, key.1, waited)),
                Some(false) => self
                    .out
                    .push(Notification::QueueShort(key.0, key.1, waited)),
                None => {}
            }
        }
    }

    fn look_at_refusals(&mut self, now: Time, counters: &Counters) {
        for (key, row) in counters.rows().filter(|(key, _)| key.scope == Scope::Class) {
            let of = (Arc::clone(&key.front), Arc::clone(&key.name));
            let watch = self.refusals.entry(of.clone()).or_default();
            let Some(rate) = watch.note(now, row.rejected(), self.thresholds.refusals_over) else {
                continue;
            };
            match watch.crossed(rate, self.thresholds.refusals) {
                Some(true) => self
                    .out
                    .push(Notification::RefusalsRising(of.0, of.1, rate)),
                Some(false) => self
                    .out
                    .push(Notification::RefusalsFallen(of.0, of.1, rate)),
                None => {}
            }
        }
    }

    /// Lets through what the window has room for; what it has not is told as one at its end. That the gateway starts or
    /// stops is always told.
    fn coalesce(&mut self, now: Time) -> Vec<Notification> {
        let mut told = vec![];
        if self
            .window
            .is_some_and(|began| now - began >= self.thresholds.storm_window)
        {
            (self.window, self.told) = (None, 0);
            if !self.left_out.is_empty() {
                told.push(Notification::Storm(
                    std::mem::take(&mut self.left_out).into_iter().collect(),
                ));
            }
        }
        for notice in std::mem::take(&mut self.out) {
            let always = matches!(notice.kind(), Kind::Started | Kind::Stopping);
            self.window = self.window.or(Some(now));
            if always || self.told < self.thresholds.storm {
                self.told += usize::from(!always);
                told.push(notice);
            } else {
                *self.left_out.entry(notice.kind()).or_default() += 1;
            }
        }
        told
    }
}
