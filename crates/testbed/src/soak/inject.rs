//! Turns the faults of a schedule on and off, and tells the oracle what gateways count as told.

use std::collections::BTreeMap;
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, UNIX_EPOCH};

use valehatch_fault_control::Switch;

use super::agents::AgentPath;
use super::oracle::Invariant;
use super::processes::{Gateway, Lifetimes, signal_to};
use super::schedule::{Fault, FaultKind, Schedule};
use super::world::{GROUP_SIZE, World, lock};

/// A planned stop is over by then: the longest deadline, 3 s at most, and 0.7 s; and the rig's own lateness.
const STOP_MOST: Duration = Duration::from_millis(3_700 + 150);
/// The earliest time from SIGTERM to SIGKILL that the page allows: the longest deadline of the classes, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// A second process of a gateway has so long to say that it is ready.
const SECOND_READY: Duration = Duration::from_millis(6_000);
/// A new configuration counts after this.
const RELOADED: Duration = Duration::from_secs(4);
/// How long a process is stopped, and how often, while its machine pauses.
const PAUSE: Duration = Duration::from_millis(120);
const PAUSES_EACH: Duration = Duration::from_millis(400);
/// How long a group has no primary while that changes.
const NO_PRIMARY: Duration = Duration::from_millis(500);
/// How long an endpoint that restarts is down.
const DOWN: Duration = Duration::from_millis(400);
/// The agent's silence ends for a gateway at the latest this long after it was reachable again.
const AGENT_BACK: Duration = Duration::from_millis(300);
/// Offsets of a wall clock, chosen by the fault's first number.
const OFFSETS_S: [i64; 6] = [3_600, -3_600, 2, -2, 30, -1];

/// A process that is on its way out.
struct Leaving {
    child: Child,
    gateway: usize,
    by: Duration,
    /// When it is killed as the platform does; `None` if it has to end by itself.
    killed_at: Option<Duration>,
    /// The next process starts once this one has ended.
    restarts: bool,
}

/// Half of the gateways are killed at the earliest, the others must show that they end by themselves.
fn planned_kill(gateway: usize, now: Duration) -> Option<Duration> {
    gateway.is_multiple_of(2).then_some(now + EARLIEST_KILL)
}

/// A second process that is starting beside the first.
struct Second {
    first: Option<Child>,
    gateway: usize,
    by: Duration,
}

/// Something to be done later.
enum Later {
    PrimaryIs(usize, usize),
    EndpointUp(usize),
    Continue(usize),
}

/// Plays a schedule.
pub struct Injector {
    world: Arc<World>,
    lifetimes: Arc<Lifetimes>,
    pub gateways: Vec<Gateway>,
    paths: Vec<Arc<AgentPath>>,
    /// Faults that are on, by place in the schedule; those that are over.
    on: BTreeMap<usize, Fault>,
    over: Vec<usize>,
    leaving: Vec<Leaving>,
    seconds: Vec<Second>,
    later: Vec<(Duration, Later)>,
    /// Until when a gateway's agent cannot be reached, and from when its last configuration counts.
    unreachable: BTreeMap<usize, Duration>,
    paused: BTreeMap<usize, Duration>,
}

impl Injector {
    /// With all well.
    #[must_use]
    pub fn new(
        world: Arc<World>,
        lifetimes: Arc<Lifetimes>,
        gateways: Vec<Gateway>,
        paths: Vec<Arc<AgentPath>>,
    ) -> Self {
        Self {
            world,
            lifetimes,
            gateways,
            paths,
            on: BTreeMap::new(),
            over: vec![],
            leaving: vec![],
            seconds: vec![],
            later: vec![],
            unreachable: BTreeMap::new(),
            paused: BTreeMap::new(),
        }
    }

    /// Brings all up to a time since the faults' beginning.
    pub fn step(&mut self, at: Duration, schedule: &Schedule) {
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        for (n, fault) in schedule.fault.iter().enumerate() {
            let begun = self.on.contains_key(&n) || self.over.contains(&n);
            if !begun && fault.at_ms <= at_ms {
                self.on.insert(n, fault.clone());
                self.begin(fault);
            }
        }
        let ended =
            |(n, fault): (&usize, &Fault)| (fault.at_ms + fault.for_ms <= at_ms).then_some(*n);
        for n in self.on.iter().filter_map(ended).collect::<Vec<_>>() {
            if let Some(fault) = self.on.remove(&n) {
                self.over.push(n);
                self.end(&fault);
            }
        }
        self.tend();
    }

    fn chosen(fault: &Fault, of: usize) -> Vec<usize> {
        let mut chosen: Vec<usize> = fault.targets.iter().map(|target| target % of).collect();
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    fn gateways_of(&self, fault: &Fault) -> Vec<usize> {
        Self::chosen(fault, self.gateways.len())
    }

    fn endpoints_of(&self, fault: &Fault) -> Vec<usize> {
        Self::chosen(fault, self.world.endpoints.len())
    }

    fn begin(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::PlannedRestart => self
                .gateways_of(fault)
                .into_iter()
                .for_each(|n| self.terminate(n)),
            FaultKind::HotRestart => self
                .gateways_of(fault)
                .into_iter()
                .for_each(|n| self.start_second(n)),
            FaultKind::Kill => self
                .gateways_of(fault)
                .into_iter()
                .for_each(|n| self.kill(n)),
            FaultKind::Reload => {
                for n in self.gateways_of(fault) {
                    let _ = self.gateways[n].reload(n);
                    self.unreachable_until(n, self.world.now() + RELOADED);
                }
            }
            FaultKind::Pauses => {}
            FaultKind::WallClock => {
                let offset =
                    OFFSETS_S[fault.targets.first().copied().unwrap_or(0) % OFFSETS_S.len()];
                self.switch(fault, Switch::WallClockOffset, offset * 1_000_000);
            }
            FaultKind::AcceptFails => self.switch(fault, Switch::AcceptFails, 300),
            FaultKind::ConnectFails => {
                self.switch(fault, Switch::ConnectFails, 300);
                self.switch(fault, Switch::SocketFails, 100);
            }
            FaultKind::ShortTransfers => {
                self.switch(fault, Switch::ShortTransfers, 300);
                self.switch(fault, Switch::Interrupts, 200);
                self.switch(fault, Switch::LateErrors, 500);
            }
            FaultKind::LateWrites => self.switch(fault, Switch::PauseBeforeWrite, 100_000),
            FaultKind::AgentSilent => {
                for n in self.gateways_of(fault) {
                    self.paths[n].held.store(true, Ordering::SeqCst);
                    self.unreachable_until(
                        n,
                        self.world.now() + Duration::from_millis(fault.for_ms) + AGENT_BACK,
                    );
                }
            }
            FaultKind::AgentResets => self.gateways_of(fault).into_iter().for_each(|n| {
                self.paths[n].reset_open();
                self.paths[n].splits.store(true, Ordering::SeqCst);
            }),
            FaultKind::EndpointHangs => self.flag(fault, |e| &e.hangs, true),
            FaultKind::EndpointResets => self.flag(fault, |e| &e.resets, true),
            FaultKind::EndpointDialsLate => self.flag(fault, |e| &e.dials_late, true),
            FaultKind::EndpointSpoils => self.flag(fault, |e| &e.spoils, true),
            FaultKind::EndpointRestarts => self.restart_endpoints(fault),
            FaultKind::EndpointDrains => self.drain(fault),
            FaultKind::ReplicasLag => {
                let since = u64::try_from(self.world.now().as_micros()).unwrap_or(1);
                for n in self.endpoints_of(fault) {
                    self.world.endpoints[n]
                        .lags_since_us
                        .store(since, Ordering::SeqCst);
                }
            }
            FaultKind::PrimaryMoves => self.move_primaries(fault),
            FaultKind::ClientsLeave => self.world.manners.leave.store(true, Ordering::SeqCst),
            FaultKind::ClientsStop => self.world.manners.stop.store(true, Ordering::SeqCst),
            FaultKind::ClientsPipeline => self.world.manners.pipeline.store(true, Ordering::SeqCst),
        }
    }

    fn end(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::PlannedRestart
            | FaultKind::HotRestart
            | FaultKind::Kill
            | FaultKind::Reload
            | FaultKind::Pauses
            | FaultKind::EndpointRestarts
            | FaultKind::PrimaryMoves => {}
            FaultKind::WallClock => self.switch(fault, Switch::WallClockOffset, 0),
            FaultKind::AcceptFails => self.switch(fault, Switch::AcceptFails, 0),
            FaultKind::ConnectFails => {
                self.switch(fault, Switch::ConnectFails, 0);
                self.switch(fault, Switch::SocketFails, 0);
            }
            FaultKind::ShortTransfers => {
                self.switch(fault, Switch::ShortTransfers, 0);
                self.switch(fault, Switch::Interrupts, 0);
                self.switch(fault, Switch::LateErrors, 0);
            }
            FaultKind::LateWrites => self.switch(fault, Switch::PauseBeforeWrite, 0),
            FaultKind::AgentSilent => {
                self.gateways_of(fault)
                    .into_iter()
                    .for_each(|n| self.paths[n].held.store(false, Ordering::SeqCst));
            }
            FaultKind::AgentResets => {
                self.gateways_of(fault)
                    .into_iter()
                    .for_each(|n| self.paths[n].splits.store(false, Ordering::SeqCst));
            }
            FaultKind::EndpointHangs => self.flag(fault, |e| &e.hangs, false),
            FaultKind::EndpointResets => self.flag(fault, |e| &e.resets, false),
            FaultKind::EndpointDialsLate => self.flag(fault, |e| &e.dials_late, false),
            FaultKind::EndpointSpoils => self.flag(fault, |e| &e.spoils, false),
            FaultKind::EndpointDrains => self.undrain(fault),
            FaultKind::ReplicasLag => {
                for n in self.endpoints_of(fault) {
                    self.world.endpoints[n]
                        .lags_since_us
                        .store(0, Ordering::SeqCst);
                }
            }
            FaultKind::ClientsLeave => self.world.manners.leave.store(false, Ordering::SeqCst),
            FaultKind::ClientsStop => self.world.manners.stop.store(false, Ordering::SeqCst),
            FaultKind::ClientsPipeline => {
                self.world.manners.pipeline.store(false, Ordering::SeqCst)
            }
        }
    }

    fn switch(&self, fault: &Fault, switch: Switch, value: i64) {
        for n in self.gateways_of(fault) {
            let _ = self.gateways[n].control.set(switch, value);
        }
    }

    fn flag(
        &self,
        fault: &Fault,
        of: impl Fn(&super::world::Endpoint) -> &AtomicBool,
        value: bool,
    ) {
        self.endpoints_of(fault)
            .into_iter()
            .for_each(|n| of(&self.world.endpoints[n]).store(value, Ordering::SeqCst));
    }

    fn unreachable_until(&mut self, gateway: usize, until: Duration) {
        let now = self.unreachable.entry(gateway).or_default();
        *now = until.max(*now);
    }

    /// When a gateway counts as told of a change of the list that is made now.
    fn told_at(&self, gateway: usize) -> Duration {
        self.world
            .now()
            .max(self.unreachable.get(&gateway).copied().unwrap_or_default())
    }

    /// Whether a gateway's process is being replaced.
    fn is_replaced(&self, gateway: usize) -> bool {
        self.leaving.iter().any(|l| l.gateway == gateway)
            || self.seconds.iter().any(|s| s.gateway == gateway)
    }

    fn terminate(&mut self, n: usize) {
        if self.is_replaced(n) {
            return;
        }
        self.gateways[n].signal(libc::SIGTERM);
        if let Some(child) = self.gateways[n].take() {
            let by = self.world.now() + STOP_MOST;
            self.leaving.push(Leaving {
                child,
                gateway: n,
                by,
                killed_at: planned_kill(n, self.world.now()),
                restarts: true,
            });
        }
    }

    fn start_second(&mut self, n: usize) {
        if self.is_replaced(n) {
            return;
        }
        if let Ok(first) = self.gateways[n].start_second() {
            let by = self.world.now() + SECOND_READY;
            self.seconds.push(Second {
                first,
                gateway: n,
                by,
            });
        }
    }

    fn kill(&mut self, n: usize) {
        if self.is_replaced(n) {
            return;
        }
        self.lifetimes.on_killed(n, self.world.now());
        self.gateways[n].kill();
        self.lifetimes.on_killed(n, self.world.now());
        self.start_again(n);
    }

    fn start_again(&mut self, n: usize) {
        let _ = self.gateways[n].start();
        let ready = self.gateways[n].is_ready();
        if !ready {
            let now = self.world.now();
            self.world.oracle().breaks(
                Invariant::NotInTime,
                now,
                format!("gateway {n} was not ready in 10 s"),
            );
        }
    }

    fn restart_endpoints(&mut self, fault: &Fault) {
        let now = self.world.now();
        for n in self.endpoints_of(fault) {
            let endpoint = &self.world.endpoints[n];
            endpoint.down.store(true, Ordering::SeqCst);
            endpoint.incarnation.fetch_add(1, Ordering::SeqCst);
            self.later.push((now + DOWN, Later::EndpointUp(n)));
        }
    }

    fn drain(&mut self, fault: &Fault) {
        for n in self.endpoints_of(fault) {
            self.world.endpoints[n]
                .draining
                .store(true, Ordering::SeqCst);
            self.world.list_changed();
            for gateway in 0..self.gateways.len() {
                let told = self.told_at(gateway);
                self.world.oracle().on_drain_told(gateway, n, Some(told));
            }
        }
    }

    fn undrain(&mut self, fault: &Fault) {
        for n in self.endpoints_of(fault) {
            self.world.endpoints[n]
                .draining
                .store(false, Ordering::SeqCst);
            (0..self.gateways.len())
                .for_each(|gateway| self.world.oracle().on_drain_told(gateway, n, None));
            self.world.list_changed();
        }
    }

    fn move_primaries(&mut self, fault: &Fault) {
        let now = self.world.now();
        let mut primaries = lock(&self.world.primaries);
        for group in Self::chosen(fault, primaries.len()) {
            if let Some(old) = primaries[group].take() {
                self.later.push((
                    now + NO_PRIMARY,
                    Later::PrimaryIs(group, (old + 1) % GROUP_SIZE),
                ));
            }
        }
    }

    /// What goes on by itself: processes that end and start, pauses, and what was put off.
    fn tend(&mut self) {
        let now = self.world.now();
        self.tend_leaving(now);
        self.tend_seconds(now);
        self.tend_pauses(now);
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = rest;
        due.into_iter().for_each(|(_, later)| self.do_later(later));
        for n in 0..self.gateways.len() {
            if let Some(status) = self.gateways[n].has_ended() {
                self.world.oracle().breaks(
                    Invariant::Crash,
                    now,
                    format!("gateway {n} ended by itself: {status}"),
                );
                let _ = self.gateways[n].take();
                self.start_again(n);
            }
        }
    }

    fn tend_leaving(&mut self, now: Duration) {
        let mut ended = vec![];
        for leaving in &mut self.leaving {
            let mut done = matches!(leaving.child.try_wait(), Ok(Some(_)));
            // What it has not answered by then is lost: no kill that comes unannounced.
            if !done && leaving.killed_at.is_some_and(|at| now >= at) {
                let _ = leaving.child.kill();
                let _ = leaving.child.wait();
                done = true;
            }
            if done {
                self.lifetimes.on_ended(leaving.gateway, self.world.now());
            }
            if !done && now > leaving.by {
                let what = format!(
                    "gateway {} had not ended after a planned stop",
                    leaving.gateway
                );
                self.world.oracle().breaks(Invariant::NotInTime, now, what);
                self.lifetimes.on_killed(leaving.gateway, now);
                let _ = leaving.child.kill();
                let _ = leaving.child.wait();
            }
            ended.push(done || now > leaving.by);
        }
        let mut ended = ended.into_iter();
        let (gone, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.leaving)
            .into_iter()
            .partition(|_| ended.next().unwrap_or(false));
        self.leaving = rest;
        gone.into_iter()
            .filter(|leaving| leaving.restarts)
            .for_each(|leaving| self.start_again(leaving.gateway));
    }

    fn tend_seconds(&mut self, now: Duration) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.seconds)
            .into_iter()
            .partition(|second| now + SECOND_READY > second.by + Duration::from_millis(600));
        self.seconds = rest;
        for second in due {
            if let Some(child) = second.first {
                signal_to(&child, libc::SIGTERM);
                let by = now + STOP_MOST;
                self.leaving.push(Leaving {
                    child,
                    gateway: second.gateway,
                    by,
                    killed_at: planned_kill(second.gateway, now),
                    restarts: false,
                });
            }
        }
    }

    fn tend_pauses(&mut self, now: Duration) {
        let faults = self
            .on
            .values()
            .filter(|fault| fault.kind == FaultKind::Pauses);
        let paused: Vec<usize> = faults
            .flat_map(|fault| Self::chosen(fault, self.gateways.len()))
            .collect();
        for n in paused {
            if self
                .paused
                .get(&n)
                .is_none_or(|last| now > *last + PAUSES_EACH)
            {
                self.paused.insert(n, now);
                self.gateways[n].signal(libc::SIGSTOP);
                self.later.push((now + PAUSE, Later::Continue(n)));
            }
        }
    }

    fn do_later(&mut self, later: Later) {
        match later {
            Later::PrimaryIs(group, place) => {
                lock(&self.world.primaries)[group] = Some(place);
                self.world.endpoints[group * GROUP_SIZE + place]
                    .lags_since_us
                    .store(0, Ordering::SeqCst);
                self.world.list_changed();
            }
            Later::EndpointUp(n) => {
                let unix = UNIX_EPOCH
                    .elapsed()
                    .map_or(1, |d| u64::try_from(d.as_millis()).unwrap_or(1));
                let endpoint = &self.world.endpoints[n];
                endpoint.boot_ms.store(unix, Ordering::SeqCst);
                self.world.list_changed();
                endpoint.down.store(false, Ordering::SeqCst);
                let now = self.world.now();
                self.world.oracle().on_endpoint_started(n, now);
            }
            Later::Continue(n) => self.gateways[n].signal(libc::SIGCONT),
        }
    }

    /// All faults are over: switches off, processes running.
    pub fn finish(&mut self) {
        for n in 0..self.gateways.len() {
            self.gateways[n].signal(libc::SIGCONT);
            self.gateways[n].calm();
        }
    }
}
