//! Starts and ends the faults of a schedule, and reports to the invariant checker which changes
//! each gateway must know.

use std::collections::BTreeMap;
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, UNIX_EPOCH};

use valehatch_fault_control::Switch;

use super::agents::AgentPath;
use super::oracle::Invariant;
use super::processes::{Gateway, ProcessExits, signal_to};
use super::schedule::{Fault, FaultKind, Schedule};
use super::world::{GROUP_SIZE, World, lock};

/// Limit for a planned stop: the longest deadline (at most 3 s) and 0.7 s, with 0.15 s for delays
/// of the harness.
const STOP_TIMEOUT: Duration = Duration::from_millis(3_700 + 150);
/// Shortest time from SIGTERM to SIGKILL that operators may configure: the longest class deadline
/// and 0.7 s.
const MIN_KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Time limit for a hot restart's successor to become ready.
const SUCCESSOR_READY_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Time after which a reloaded configuration must be in effect.
const RELOAD_GRACE: Duration = Duration::from_secs(4);
/// Length of one pause of a process, and the time between pauses.
const PAUSE_LENGTH: Duration = Duration::from_millis(120);
const PAUSE_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a primary during a change of primary.
const PRIMARY_GAP: Duration = Duration::from_millis(500);
/// Downtime of a restarting endpoint.
const ENDPOINT_DOWNTIME: Duration = Duration::from_millis(400);
/// Time limit for a gateway to hear from its agent after the agent is reachable again.
const AGENT_RECOVERY: Duration = Duration::from_millis(300);
/// Wall-clock offsets in hot_restarts, selected by the first target of the fault.
const CLOCK_OFFSETS_S: [i64; 6] = [3_600, -3_600, 2, -2, 30, -1];

/// A process that was asked to stop and has not exited yet.
struct StoppingProcess {
    child: Child,
    gateway: usize,
    by: Duration,
    /// Time of the platform's SIGKILL; `None` if the process must exit by itself.
    killed_at: Option<Duration>,
    /// Whether a new process starts after this one has exited.
    restarts: bool,
}

/// Half of the gateways are killed at the earliest permitted time; the others must exit by
/// themselves.
fn planned_kill(gateway: usize, now: Duration) -> Option<Duration> {
    gateway.is_multiple_of(2).then_some(now + MIN_KILL_DELAY)
}

/// A hot restart in progress: the successor is starting beside the first process.
struct HotRestart {
    first: Option<Child>,
    gateway: usize,
    by: Duration,
}

/// An action with a due time.
enum DeferredAction {
    SetPrimary(usize, usize),
    EndpointUp(usize),
    Continue(usize),
}

/// Applies the faults of a schedule to gateways, endpoints and clients.
pub struct Injector {
    world: Arc<World>,
    process_exits: Arc<ProcessExits>,
    pub gateways: Vec<Gateway>,
    paths: Vec<Arc<AgentPath>>,
    /// Active faults by index in the schedule, and indexes of the ended ones.
    on: BTreeMap<usize, Fault>,
    over: Vec<usize>,
    stopping: Vec<StoppingProcess>,
    hot_restarts: Vec<HotRestart>,
    deferred: Vec<(Duration, DeferredAction)>,
    /// Time up to which a gateway's agent is unreachable or its reloaded configuration may not be
    /// in effect yet.
    unreachable: BTreeMap<usize, Duration>,
    paused: BTreeMap<usize, Duration>,
}

impl Injector {
    /// An injector with no active fault.
    #[must_use]
    pub fn new(
        world: Arc<World>,
        process_exits: Arc<ProcessExits>,
        gateways: Vec<Gateway>,
        paths: Vec<Arc<AgentPath>>,
    ) -> Self {
        Self {
            world,
            process_exits,
            gateways,
            paths,
            on: BTreeMap::new(),
            over: vec![],
            stopping: vec![],
            hot_restarts: vec![],
            deferred: vec![],
            unreachable: BTreeMap::new(),
            paused: BTreeMap::new(),
        }
    }

    /// Starts and ends the faults due at `at`, measured from the start of the schedule, and runs
    /// the periodic work.
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
        self.poll();
    }

    fn select_targets(fault: &Fault, of: usize) -> Vec<usize> {
        let mut chosen: Vec<usize> = fault.targets.iter().map(|target| target % of).collect();
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    fn gateways_of(&self, fault: &Fault) -> Vec<usize> {
        Self::select_targets(fault, self.gateways.len())
    }

    fn endpoints_of(&self, fault: &Fault) -> Vec<usize> {
        Self::select_targets(fault, self.world.endpoints.len())
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
                    self.unreachable_until(n, self.world.now() + RELOAD_GRACE);
                }
            }
            FaultKind::Pauses => {}
            FaultKind::WallClock => {
                let offset = CLOCK_OFFSETS_S
                    [fault.targets.first().copied().unwrap_or(0) % CLOCK_OFFSETS_S.len()];
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
                    self.paths[n].held_back.store(true, Ordering::SeqCst);
                    self.unreachable_until(
                        n,
                        self.world.now() + Duration::from_millis(fault.for_ms) + AGENT_RECOVERY,
                    );
                }
            }
            FaultKind::AgentResets => self.gateways_of(fault).into_iter().for_each(|n| {
                self.paths[n].reset_open();
                self.paths[n].fragments.store(true, Ordering::SeqCst);
            }),
            FaultKind::EndpointHangs => self.set_endpoint_flag(fault, |e| &e.hangs, true),
            FaultKind::EndpointResets => self.set_endpoint_flag(fault, |e| &e.resets, true),
            FaultKind::EndpointDialsLate => {
                self.set_endpoint_flag(fault, |e| &e.delays_handshake, true)
            }
            FaultKind::EndpointSpoils => {
                self.set_endpoint_flag(fault, |e| &e.corrupts_answers, true)
            }
            FaultKind::EndpointRestarts => self.restart_endpoints(fault),
            FaultKind::EndpointDrains => self.drain(fault),
            FaultKind::ReplicasLag => {
                let since = u64::try_from(self.world.now().as_micros()).unwrap_or(1);
                for n in self.endpoints_of(fault) {
                    self.world.endpoints[n]
                        .lag_started_us
                        .store(since, Ordering::SeqCst);
                }
            }
            FaultKind::PrimaryMoves => self.move_primaries(fault),
            FaultKind::ClientsLeave => self
                .world
                .client_behavior
                .disconnect
                .store(true, Ordering::SeqCst),
            FaultKind::ClientsStop => self
                .world
                .client_behavior
                .stall
                .store(true, Ordering::SeqCst),
            FaultKind::ClientsPipeline => self
                .world
                .client_behavior
                .pipeline
                .store(true, Ordering::SeqCst),
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
                    .for_each(|n| self.paths[n].held_back.store(false, Ordering::SeqCst));
            }
            FaultKind::AgentResets => {
                self.gateways_of(fault)
                    .into_iter()
                    .for_each(|n| self.paths[n].fragments.store(false, Ordering::SeqCst));
            }
            FaultKind::EndpointHangs => self.set_endpoint_flag(fault, |e| &e.hangs, false),
            FaultKind::EndpointResets => self.set_endpoint_flag(fault, |e| &e.resets, false),
            FaultKind::EndpointDialsLate => {
                self.set_endpoint_flag(fault, |e| &e.delays_handshake, false)
            }
            FaultKind::EndpointSpoils => {
                self.set_endpoint_flag(fault, |e| &e.corrupts_answers, false)
            }
            FaultKind::EndpointDrains => self.undrain(fault),
            FaultKind::ReplicasLag => {
                for n in self.endpoints_of(fault) {
                    self.world.endpoints[n]
                        .lag_started_us
                        .store(0, Ordering::SeqCst);
                }
            }
            FaultKind::ClientsLeave => self
                .world
                .client_behavior
                .disconnect
                .store(false, Ordering::SeqCst),
            FaultKind::ClientsStop => self
                .world
                .client_behavior
                .stall
                .store(false, Ordering::SeqCst),
            FaultKind::ClientsPipeline => self
                .world
                .client_behavior
                .pipeline
                .store(false, Ordering::SeqCst),
        }
    }

    fn switch(&self, fault: &Fault, switch: Switch, value: i64) {
        for n in self.gateways_of(fault) {
            let _ = self.gateways[n].control.set(switch, value);
        }
    }

    fn set_endpoint_flag(
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

    /// Time from which a gateway must know a change of the endpoint list that is made now.
    fn list_known_at(&self, gateway: usize) -> Duration {
        self.world
            .now()
            .max(self.unreachable.get(&gateway).copied().unwrap_or_default())
    }

    /// Whether a gateway's process is being replaced.
    fn is_replaced(&self, gateway: usize) -> bool {
        self.stopping.iter().any(|l| l.gateway == gateway)
            || self.hot_restarts.iter().any(|s| s.gateway == gateway)
    }

    fn terminate(&mut self, n: usize) {
        if self.is_replaced(n) {
            return;
        }
        self.gateways[n].signal(libc::SIGTERM);
        if let Some(child) = self.gateways[n].take() {
            let by = self.world.now() + STOP_TIMEOUT;
            self.stopping.push(StoppingProcess {
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
            let by = self.world.now() + SUCCESSOR_READY_TIMEOUT;
            self.hot_restarts.push(HotRestart {
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
        self.process_exits.on_killed(n, self.world.now());
        self.gateways[n].kill();
        self.process_exits.on_killed(n, self.world.now());
        self.restart(n);
    }

    fn restart(&mut self, n: usize) {
        let _ = self.gateways[n].start();
        let ready = self.gateways[n].is_ready();
        if !ready {
            let now = self.world.now();
            self.world.oracle().record_violation(
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
            self.deferred
                .push((now + ENDPOINT_DOWNTIME, DeferredAction::EndpointUp(n)));
        }
    }

    fn drain(&mut self, fault: &Fault) {
        for n in self.endpoints_of(fault) {
            self.world.endpoints[n]
                .draining
                .store(true, Ordering::SeqCst);
            self.world.list_changed();
            for gateway in 0..self.gateways.len() {
                let known_at = self.list_known_at(gateway);
                self.world
                    .oracle()
                    .on_drain_announced(gateway, n, Some(known_at));
            }
        }
    }

    fn undrain(&mut self, fault: &Fault) {
        for n in self.endpoints_of(fault) {
            self.world.endpoints[n]
                .draining
                .store(false, Ordering::SeqCst);
            (0..self.gateways.len())
                .for_each(|gateway| self.world.oracle().on_drain_announced(gateway, n, None));
            self.world.list_changed();
        }
    }

    fn move_primaries(&mut self, fault: &Fault) {
        let now = self.world.now();
        let mut primaries = lock(&self.world.primaries);
        for group in Self::select_targets(fault, primaries.len()) {
            if let Some(old) = primaries[group].take() {
                self.deferred.push((
                    now + PRIMARY_GAP,
                    DeferredAction::SetPrimary(group, (old + 1) % GROUP_SIZE),
                ));
            }
        }
    }

    /// Periodic work: processes that exit and restart, pauses, and due actions.
    fn poll(&mut self) {
        let now = self.world.now();
        self.poll_stopping(now);
        self.poll_hot_restarts(now);
        self.poll_pauses(now);
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.deferred = rest;
        due.into_iter()
            .for_each(|(_, deferred)| self.run_deferred(deferred));
        for n in 0..self.gateways.len() {
            if let Some(status) = self.gateways[n].has_ended() {
                self.world.oracle().record_violation(
                    Invariant::Crash,
                    now,
                    format!("gateway {n} ended by itself: {status}"),
                );
                let _ = self.gateways[n].take();
                self.restart(n);
            }
        }
    }

    fn poll_stopping(&mut self, now: Duration) {
        let mut ended = vec![];
        for stopping in &mut self.stopping {
            let mut done = matches!(stopping.child.try_wait(), Ok(Some(_)));
            // Requests left unanswered count as lost: this kill was announced by SIGTERM.
            if !done && stopping.killed_at.is_some_and(|at| now >= at) {
                let _ = stopping.child.kill();
                let _ = stopping.child.wait();
                done = true;
            }
            if done {
                self.process_exits
                    .on_ended(stopping.gateway, self.world.now());
            }
            if !done && now > stopping.by {
                let what = format!(
                    "gateway {} had not ended after a planned stop",
                    stopping.gateway
                );
                self.world
                    .oracle()
                    .record_violation(Invariant::NotInTime, now, what);
                self.process_exits.on_killed(stopping.gateway, now);
                let _ = stopping.child.kill();
                let _ = stopping.child.wait();
            }
            ended.push(done || now > stopping.by);
        }
        let mut ended = ended.into_iter();
        let (gone, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.stopping)
            .into_iter()
            .partition(|_| ended.next().unwrap_or(false));
        self.stopping = rest;
        gone.into_iter()
            .filter(|stopping| stopping.restarts)
            .for_each(|stopping| self.restart(stopping.gateway));
    }

    fn poll_hot_restarts(&mut self, now: Duration) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.hot_restarts)
            .into_iter()
            .partition(|second| {
                now + SUCCESSOR_READY_TIMEOUT > second.by + Duration::from_millis(600)
            });
        self.hot_restarts = rest;
        for second in due {
            if let Some(child) = second.first {
                signal_to(&child, libc::SIGTERM);
                let by = now + STOP_TIMEOUT;
                self.stopping.push(StoppingProcess {
                    child,
                    gateway: second.gateway,
                    by,
                    killed_at: planned_kill(second.gateway, now),
                    restarts: false,
                });
            }
        }
    }

    fn poll_pauses(&mut self, now: Duration) {
        let faults = self
            .on
            .values()
            .filter(|fault| fault.kind == FaultKind::Pauses);
        let paused: Vec<usize> = faults
            .flat_map(|fault| Self::select_targets(fault, self.gateways.len()))
            .collect();
        for n in paused {
            if self
                .paused
                .get(&n)
                .is_none_or(|last| now > *last + PAUSE_INTERVAL)
            {
                self.paused.insert(n, now);
                self.gateways[n].signal(libc::SIGSTOP);
                self.deferred
                    .push((now + PAUSE_LENGTH, DeferredAction::Continue(n)));
            }
        }
    }

    fn run_deferred(&mut self, deferred: DeferredAction) {
        match deferred {
            DeferredAction::SetPrimary(group, place) => {
                lock(&self.world.primaries)[group] = Some(place);
                self.world.endpoints[group * GROUP_SIZE + place]
                    .lag_started_us
                    .store(0, Ordering::SeqCst);
                self.world.list_changed();
            }
            DeferredAction::EndpointUp(n) => {
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
            DeferredAction::Continue(n) => self.gateways[n].signal(libc::SIGCONT),
        }
    }

    /// Ends all faults: clears the fault switches and resumes paused processes.
    pub fn finish(&mut self) {
        for n in 0..self.gateways.len() {
            self.gateways[n].signal(libc::SIGCONT);
            self.gateways[n].clear_faults();
        }
    }
}
