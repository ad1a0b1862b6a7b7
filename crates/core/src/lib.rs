//! The reducer: requests, attempts and outcomes, and no wire. `State::reduce` alone changes state; what is to
//! be read, written, opened or closed leaves it as effects.

#![forbid(unsafe_code)]
#![expect(
    missing_docs,
    clippy::too_many_lines,
    reason = "not yet split and documented"
)]

pub mod cluster_clock;
mod messages;
pub mod permission;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use valehatch_admission::{AdmissionDecision, AdmissionQueue, Arrival, Capacity, QueueRejection};
use valehatch_policy::{
    Action, AttemptEnd, EndpointId, EndpointRecord, EndpointState, GiveUpReason, GroupId, Outcome,
    PolicyEvent, Request, RequestId, Router, SettingsError, Span, Time,
};
use valehatch_request_log::{
    AttemptOutcome, AttemptRecord, FailureReason, FinalOutcome, RejectionReason, RequestRecord,
};

pub use messages::*;
use permission::{
    AcceptCheck, Denial, ProcessStage, SendCheck, SendPermit, may_accept, may_check_health,
    may_close, may_send,
};

/// After a planned stop was asked for, connections are still taken for so long: they keep coming for 0.4 s.
const STILL_TAKEN: Span = Span::from_millis(450);
/// The platform kills a program that has not ended by its longest deadline, cut to this, and so much more.
const LONGEST: Span = Span::from_millis(3_000);
const MORE: Span = Span::from_millis(700);
/// The part of that time, in tenths, in which connections that clients have are still served: they use them
/// for as long as these stay open, and the other gateways may be down as well.
const SERVED_TENTHS: i64 = 9;
/// Where another process takes the connections, those that are open are served for so long before they end as they rest.
const LEAVES: Span = Span::from_millis(100);
/// What is still open so long before the end is given up.
const LAST_WORD: Span = Span::from_millis(250);
/// Where another process takes the connections, what comes in so long before that is refused: it would be cut off, and its
/// client is served there. Answers that are on their way have so long to come.
const LAST_ASKED: Span = Span::from_millis(250);
/// When clients that are refused for that should come back.
const AT_ONCE: Span = Span::from_millis(1);
/// How often, from when no more is to be served, connections are looked over for those that have come to rest.
const CLOSE_EACH: Span = Span::from_millis(25);
/// So long before it the program ends, whatever clients still hold open: they have been told, and are not waited for.
const GONE: Span = Span::from_millis(100);
/// How often, from then on, it is asked to end: it does once nothing is half read or half written.
const EXIT_EACH: Span = Span::from_millis(5);
/// A final answer leaves this long before the client stops waiting.
const HEADSTART: Span = Span::from_millis(5);
/// What is believed is published no more often than this for each member: it takes a microsecond or so.
const PUBLISH_EACH: Span = Span(50);
/// How often the door is told what the module has room for, while something waits.
const LOOK_FOR_ROOM: Span = Span::from_millis(5);
/// How often idle connections are looked over.
const SWEEP: Span = Span::from_millis(250);
/// The part of the time a server lets a connection stand idle after which it is no longer used, in tenths:
/// a gateway of many meets a member less than once in that time, and each new connection costs the member work.
const IDLE_TENTHS: i64 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Router(u64),
    Attempt(ConnectionId),
    Overdue(RequestId),
    Sweep,
    Publish,
    Admission,
    Unlisten,
    Stop,
    LastAsked,
    End,
    Exit,
}

struct Held {
    name: Option<Arc<str>>,
    client: ClientId,
    ticket: u64,
    class: usize,
    tenant: Option<usize>,
    group: GroupId,
    arrived: Time,
    deadline: Time,
    payload: Arc<Payload>,
    _memory: MemoryReservation,
    attempts: u32,
    /// When the first attempt was sent, and what came of those that are over.
    first: Option<Time>,
    tries: Vec<AttemptRecord>,
    /// What the module is told once the door lets it in.
    queued: Option<Box<Request>>,
    /// The member that has the attempt which is out, and since when.
    out: Option<(Arc<str>, Time)>,
    last: Option<Outcome>,
    /// What the server said of the last error.
    word: Option<Vec<u8>>,
    /// When the first attempt was sent that may have run.
    may_have_run_since: Option<Time>,
    /// When its answer began, if that is passed on as it comes: from then on it is bound to that attempt.
    began: Option<Time>,
}

#[derive(Clone, Copy)]
enum Use {
    Idle(Time),
    Attempt(RequestId, u32, Time),
    Probe(Time),
}

#[derive(Default)]
struct Client {
    open: BTreeSet<RequestId>,
}

struct Conn {
    endpoint: EndpointId,
    used: Use,
    /// When what it carries is over.
    until: Time,
    /// Of the attempt that it carries.
    permit: Option<SendPermit>,
}

/// All that a gateway knows.
pub struct State {
    router: Router,
    facts: CoreConfig,
    requests: BTreeMap<RequestId, Held>,
    /// The names of the requests that are open.
    names: BTreeSet<Arc<str>>,
    attempts: BTreeMap<(RequestId, u32), ConnectionId>,
    conns: BTreeMap<ConnectionId, Conn>,
    /// Those of each member that carry nothing, by when they last did.
    idle: BTreeMap<EndpointId, BTreeSet<(Time, ConnectionId)>>,
    /// Names and addresses.
    members: BTreeMap<EndpointId, (Arc<str>, Arc<str>)>,
    /// Those of them that take new work.
    ready: BTreeSet<EndpointId>,
    clients: BTreeMap<ClientId, Client>,
    due: BTreeSet<(Time, Due)>,
    /// What the router is told on the next turn: a turn steps it once.
    pending: Vec<PolicyEvent>,
    next_request: u64,
    next_conn: u64,
    /// Where requests wait before the module hears of them; what it said that was not acted on yet.
    door: Option<AdmissionQueue>,
    verdicts: Vec<AdmissionDecision>,
    looked: Time,
    door_due: bool,
    stopping: bool,
    stopped: bool,
    /// Another process takes the connections.
    left: bool,
    /// What is asked now is refused at once: the program is about to end.
    ended: bool,
    turns: u64,
    /// The second that runs, and the requests of each tenant in it and in the one before.
    second: i64,
    rates: Vec<[u64; 2]>,
}

impl State {
    /// A gateway that knows no members yet.
    pub fn new(facts: CoreConfig, seed: u64) -> Result<Self, SettingsError> {
        let rates = vec![[0; 2]; facts.settings.tenants.len()];
        let mut due = BTreeSet::from([(Time(0), Due::Sweep)]);
        due.extend(facts.observability.iter().map(|_| (Time(0), Due::Publish)));
        let door = facts
            .admission
            .clone()
            .map(|settings| AdmissionQueue::new(settings, seed));
        Ok(Self {
            door,
            verdicts: vec![],
            looked: Time(0),
            door_due: false,
            router: Router::new(facts.settings.clone(), seed)?,
            facts,
            requests: BTreeMap::new(),
            names: BTreeSet::new(),
            attempts: BTreeMap::new(),
            conns: BTreeMap::new(),
            idle: BTreeMap::new(),
            members: BTreeMap::new(),
            ready: BTreeSet::new(),
            clients: BTreeMap::new(),
            due,
            pending: vec![],
            next_request: 0,
            next_conn: 0,
            stopping: false,
            stopped: false,
            left: false,
            ended: false,
            turns: 0,
            second: 0,
            rates,
        })
    }

    /// What must hold after every turn; the lab asks for it.
    ///
    /// # Errors
    /// What does not hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let out = self.attempts.len();
        let on = self
            .conns
            .values()
            .filter(|c| matches!(c.used, Use::Attempt(..)))
            .count();
        if out != on {
            return Err(format!("{out} attempts are out, on {on} connections"));
        }
        let idle = self.conns.iter().filter_map(|(id, c)| {
            if let Use::Idle(at) = c.used {
                Some((c.endpoint, at, *id))
            } else {
                None
            }
        });
        let noted = self
            .idle
            .iter()
            .flat_map(|(endpoint, s)| s.iter().map(|(at, id)| (*endpoint, *at, *id)));
        if idle.collect::<BTreeSet<_>>() != noted.collect() {
            return Err("connections that carry nothing are not those that are noted".into());
        }
        if let Some(door) = &self.door {
            door.check_invariants()?;
            let queued = self
                .requests
                .values()
                .filter(|h| h.queued.is_some())
                .count();
            if queued != door.len() {
                return Err(format!(
                    "{queued} requests wait for the door, which has {}",
                    door.len()
                ));
            }
        }
        Ok(())
    }

    /// When the next turn is due, whatever comes in.
    pub fn next_due(&self) -> Option<Time> {
        if self.pending.is_empty() {
            self.due.first().map(|(at, _)| *at)
        } else {
            Some(Time(0))
        }
    }

    /// One turn: takes what happened up to `now`, steps the router once, asks for effects.
    pub fn reduce(&mut self, now: Time, events: Vec<Event>, effects: &mut Vec<Effect>) {
        self.turns += 1;
        let mut told = std::mem::take(&mut self.pending);
        // An attempt may have ended its request since its end was noted.
        for event in &mut told {
            if let PolicyEvent::AttemptEnded(end) = event {
                end.closed |= !self.requests.contains_key(&end.request);
            }
        }
        events
            .into_iter()
            .for_each(|event| self.on_event(now, event, &mut told, effects));
        while let Some((_, due)) = self.due.first().filter(|(at, _)| *at <= now).copied() {
            self.due.pop_first();
            self.on_due(now, due, &mut told, effects);
        }
        self.act_on_verdicts(now, &mut told, effects);
        let mut actions = vec![];
        self.router.step(now, &told, &mut actions);
        actions
            .into_iter()
            .for_each(|action| self.carry_out(now, action, effects));
        self.look_for_room(now);
        // What answers made room for is let in with the next turn, which comes at once.
        let mut let_in = vec![];
        self.act_on_verdicts(now, &mut let_in, effects);
        self.pending.extend(let_in);
        if let Some(figures) = &self.facts.metrics {
            figures.gauges(
                self.requests.len(),
                self.members.len(),
                self.router.avoided(),
            );
        }
        if self.stopped && self.clients.is_empty() {
            effects.push(Effect::Exit);
        }
    }

    fn on_event(
        &mut self,
        now: Time,
        event: Event,
        told: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::EndpointList {
                complete,
                endpoints: members,
            } => {
                told.push(self.on_list(complete, members, effects));
                // What was decided on before this and is still being dialled must not begin any more.
                let barred = |(id, c): (&ConnectionId, &Conn)| {
                    (!self.ready.contains(&c.endpoint)).then_some(*id)
                };
                for connection in self.conns.iter().filter_map(barred).collect::<Vec<_>>() {
                    told.extend(self.cancel_pending_attempt(now, connection, effects));
                }
            }
            Event::ClientConnected(client) => {
                self.clients.entry(client).or_default();
            }
            Event::RequestReceived {
                client,
                ticket,
                request: ask,
            } => {
                told.extend(self.on_asked(now, client, ticket, ask, effects));
            }
            Event::ClientDisconnected(client) => {
                for id in self.clients.remove(&client).unwrap_or_default().open {
                    // Nobody takes what is passed on to it any more.
                    if let Some(connection) = self.passing(id) {
                        let end = UpstreamReply::without_details(Outcome::Cancelled);
                        told.extend(self.on_reply(now, connection, end, false, effects));
                        continue;
                    }
                    if let Some(door) = &mut self.door {
                        door.on_client_disconnected(now, id, &mut self.verdicts);
                    }
                    if let Some(held) = self.drop_request(now, id, effects) {
                        let known = held.queued.is_none();
                        self.record(now, held, FinalOutcome::Aborted, effects);
                        told.extend(known.then_some(PolicyEvent::ClientDisconnected(id)));
                    }
                }
            }
            Event::RequestRejected {
                class,
                tenant,
                group,
                reason: why,
            } => {
                self.count_asked(tenant, now);
                self.record_unheld(class, tenant, group, FinalOutcome::Refused(why), effects);
            }
            Event::RequestAbandoned {
                class,
                tenant,
                group,
            } => {
                self.count_asked(tenant, now);
                self.record_unheld(class, tenant, group, FinalOutcome::Aborted, effects);
            }
            Event::ResponseStarted(connection) => {
                told.extend(self.on_began(now, connection, effects))
            }
            Event::AttemptEnded {
                connection,
                reply,
                reusable,
            } => {
                told.extend(self.on_reply(now, connection, reply, reusable, effects));
            }
            Event::GatewayCount(count) => told.push(PolicyEvent::RouterCount(count)),
            Event::ClockCorrected(by) => told.push(PolicyEvent::ClockCorrected(by)),
            Event::TenantQuotas(shares) => {
                if let Some(Err(what)) = self.door.as_mut().map(|door| door.set_quotas(&shares)) {
                    effects.push(Effect::Log(LogEvent::InvalidQuotas(what)));
                }
            }
            // The thread that accepts ends before anything is closed: what it took last is served too.
            Event::HandoffStarted => {
                self.left = true;
                self.due
                    .extend([(now, Due::Unlisten), (now + LEAVES, Due::Stop)]);
            }
            Event::UpstreamConnectionLimit(most) => {
                while self.conns.len() > most
                    && let Some((_, spare)) = self
                        .idle
                        .values()
                        .filter_map(BTreeSet::first)
                        .min()
                        .copied()
                {
                    self.close(spare, effects);
                }
                // Those that carry something are used until they are idle.
                self.facts.upstream_connection_limit = most.max(self.conns.len());
            }
            Event::PublishView => effects.push(Effect::PublishView(Box::new(self.live(now)))),
            Event::ShutdownRequested => {
                self.stopping = true;
                let longest = self.facts.settings.classes.iter().map(|c| c.deadline).max();
                let end = longest.unwrap_or(LONGEST).min(LONGEST) + MORE;
                let served = Span(end.0 / 10 * SERVED_TENTHS).max(STILL_TAKEN);
                let all = [
                    (STILL_TAKEN, Due::Unlisten),
                    (served, Due::Stop),
                    (end - LAST_WORD - LAST_ASKED, Due::LastAsked),
                    (end - LAST_WORD, Due::End),
                    (end - GONE, Due::Exit),
                ];
                self.due
                    .extend(all.map(|(after, what)| (now + after, what)));
            }
        }
    }

    fn on_list(
        &mut self,
        complete: bool,
        members: Vec<ListedEndpoint>,
        effects: &mut Vec<Effect>,
    ) -> PolicyEvent {
        let mut entries: Vec<EndpointRecord> = vec![];
        for ListedEndpoint {
            record: entry,
            name,
            address,
        } in members
        {
            // A draining member gets nothing new: what stands open to it unused is given back at once.
            // One that listens elsewhere now is not reached over what was open to where it was.
            let moved = self
                .members
                .get(&entry.endpoint)
                .is_some_and(|(_, old)| *old != address);
            if entry.state != EndpointState::Ready || moved {
                self.close_idle(entry.endpoint, effects);
            }
            if entry.state == EndpointState::Ready {
                self.ready.insert(entry.endpoint);
            } else {
                self.ready.remove(&entry.endpoint);
            }
            if entry.state == EndpointState::Removed {
                self.members.remove(&entry.endpoint);
            } else {
                self.members.insert(entry.endpoint, (name, address));
            }
            entries.push(entry);
        }
        if complete {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            for endpoint in self
                .members
                .keys()
                .copied()
                .filter(|n| !named.contains(n))
                .collect::<Vec<_>>()
            {
                self.close_idle(endpoint, effects);
                self.members.remove(&endpoint);
                self.ready.remove(&endpoint);
            }
        }
        PolicyEvent::EndpointList { complete, entries }
    }

    fn on_asked(
        &mut self,
        now: Time,
        client: ClientId,
        ticket: u64,
        ask: IncomingRequest,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        self.count_asked(ask.tenant, now);
        let asked = AcceptCheck {
            stage: self.stage(),
            name_is_open: ask
                .name
                .as_ref()
                .is_some_and(|name| self.names.contains(name)),
            open_requests: self.requests.len(),
            max_open_requests: self.facts.settings.limits.max_open_requests,
        };
        if let Err(why) = may_accept(&asked) {
            self.facts.decisions.on_denied(why);
            let (how, answer) = self.turned_away(why, ask.class);
            self.record_unheld(ask.class, ask.tenant, ask.group, how, effects);
            effects.push(Effect::Answer {
                client,
                ticket,
                answer,
            });
            return None;
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.clients.entry(client).or_default().open.insert(id);
        self.names.extend(ask.name.clone());
        // It may have waited for this turn.
        let arrived = ask.received.min(now);
        let deadline = arrived + Span((ask.client_timeout - HEADSTART).0.max(1));
        let time_left = Span((deadline - now).0.max(1));
        self.due
            .insert((deadline + HEADSTART + HEADSTART, Due::Overdue(id)));
        self.requests.insert(
            id,
            Held {
                name: ask.name,
                client,
                ticket,
                class: ask.class,
                tenant: ask.tenant,
                group: ask.group,
                arrived,
                deadline,
                payload: ask.payload,
                _memory: ask.memory,
                attempts: 0,
                first: None,
                tries: vec![],
                queued: None,
                out: None,
                last: None,
                word: None,
                may_have_run_since: None,
                began: None,
            },
        );
        let request = Request {
            id,
            session: ask.session,
            time_left,
            group: ask.group,
            class: valehatch_policy::ClassId(ask.class),
            tenant: ask.tenant.map(valehatch_policy::TenantId),
            work: None,
            repeat: ask.is_client_retry,
            since_last_write: ask.last_write_at.map(|at| Span((now - at).0.max(0))),
        };
        let Some(door) = &mut self.door else {
            return Some(PolicyEvent::Request(request));
        };
        let (tenant, class, group) = (ask.tenant, ask.class, ask.group);
        self.requests.get_mut(&id)?.queued = Some(Box::new(request));
        let arrival = Arrival {
            id,
            tenant,
            client: ask.client,
            class,
            group,
            deadline,
        };
        door.on_arrival(now, arrival, &mut self.verdicts);
        self.wake_door(now);
        None
    }

    /// Where the process stands.
    const fn stage(&self) -> ProcessStage {
        if self.ended {
            ProcessStage::Stopping
        } else if self.stopped {
            ProcessStage::Closing
        } else if self.stopping || self.left {
            ProcessStage::Draining
        } else {
            ProcessStage::Serving
        }
    }

    /// The final answer of a request that is not accepted.
    fn turned_away(&self, why: Denial, class: usize) -> (FinalOutcome, FinalAnswer) {
        let refused = match why {
            Denial::DuplicateName => {
                return (
                    FinalOutcome::Failed(FailureReason::DuplicateName),
                    FinalAnswer::Failed(Failure::DuplicateName),
                );
            }
            Denial::TooManyOpen => RejectionReason::TooManyOpen,
            _ => RejectionReason::Stopping,
        };
        let after = if self.left {
            AT_ONCE
        } else {
            self.facts.come_back(class)
        };
        (
            FinalOutcome::Refused(refused),
            FinalAnswer::Rejected {
                retry_after: after,
                overloaded: false,
            },
        )
    }

    /// Lets in what the door says, and refuses what it does not let in.
    fn act_on_verdicts(
        &mut self,
        now: Time,
        told: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        while !self.verdicts.is_empty() {
            for verdict in std::mem::take(&mut self.verdicts) {
                match verdict {
                    AdmissionDecision::Admit(id) => {
                        let Some(held) = self.requests.get_mut(&id) else {
                            continue;
                        };
                        let deadline = held.deadline;
                        told.extend(held.queued.take().map(|request| {
                            let waited = Span((now - held.arrived).0.max(0));
                            let since_last_write = request.since_last_write.map(|ago| ago + waited);
                            let time_left = Span((deadline - now).0.max(1));
                            PolicyEvent::Request(Request {
                                time_left,
                                since_last_write,
                                ..*request
                            })
                        }));
                    }
                    AdmissionDecision::Reject(id, reason, hint) => {
                        let why = match reason {
                            QueueRejection::WaitTooLong => RejectionReason::QueueWait,
                            QueueRejection::QueueFull => RejectionReason::QueueFull,
                            QueueRejection::ExpiredInQueue => RejectionReason::QueueWaited,
                            QueueRejection::StandingQueue => RejectionReason::QueueStanding,
                        };
                        let answer = FinalAnswer::Rejected {
                            retry_after: hint.retry_after,
                            overloaded: !hint.reserved,
                        };
                        self.answer(now, id, answer, FinalOutcome::Refused(why), effects);
                    }
                }
            }
        }
    }

    /// While something waits the door is looked after.
    fn wake_door(&mut self, now: Time) {
        if !self.door_due && self.door.as_ref().is_some_and(|door| !door.is_empty()) {
            self.door_due = true;
            self.due.insert((now + LOOK_FOR_ROOM, Due::Admission));
        }
    }

    /// Tells the door what the module has room for: the limits of the members that it can use, and what waits in it.
    #[allow(clippy::cast_precision_loss)]
    fn look_for_room(&mut self, now: Time) {
        let Some(door) = self
            .door
            .as_mut()
            .filter(|d| !d.is_empty() && now - self.looked >= LOOK_FOR_ROOM)
        else {
            return;
        };
        self.looked = now;
        let view = self.router.view();
        for group in &view.groups {
            let usable = |n: &&valehatch_policy::EndpointView| {
                n.group == group.group
                    && n.state == EndpointState::Ready
                    && n.health == valehatch_policy::EndpointHealth::Healthy
            };
            let room = |primary: bool| -> f64 {
                let own = view
                    .endpoints
                    .iter()
                    .filter(usable)
                    .filter(|n| (group.primary == Some(n.endpoint)) == primary);
                own.map(|n| (n.limit * n.warm.unwrap_or(1.0)).max(1.0).ceil())
                    .sum()
            };
            let (writes, mut reads) = (room(true), room(false));
            if reads == 0.0 {
                reads = writes;
            }
            let searching = group.searching.is_some();
            let write = Capacity {
                limit: writes,
                waiting: group.queued_writes,
                searching,
            };
            let waiting = group.waiting.saturating_sub(group.queued_writes);
            let read = Capacity {
                limit: reads,
                waiting,
                searching: false,
            };
            door.set_capacity(now, group.group, true, write, &mut self.verdicts);
            door.set_capacity(now, group.group, false, read, &mut self.verdicts);
        }
    }

    /// An answer has begun that is passed on as it comes. From here on it belongs to its client: no deadline strikes it,
    /// nothing is sent again, and its member has done its work.
    fn on_began(
        &mut self,
        now: Time,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let slot = self.conns.get_mut(&connection)?;
        let Use::Attempt(request, ..) = slot.used else {
            return None;
        };
        let Some(held) = self
            .requests
            .get_mut(&request)
            .filter(|held| held.began.is_none())
        else {
            return self.on_reply(
                now,
                connection,
                UpstreamReply::without_details(Outcome::Cancelled),
                false,
                effects,
            );
        };
        held.began = Some(now);
        let due = std::mem::replace(&mut slot.until, Time(i64::MAX));
        self.due.remove(&(due, Due::Attempt(connection)));
        self.due
            .remove(&(held.deadline + HEADSTART + HEADSTART, Due::Overdue(request)));
        effects.push(Effect::ForwardBody {
            connection,
            client: held.client,
            ticket: held.ticket,
        });
        if let Some(door) = &mut self.door {
            door.on_finished(now, request, true, &mut self.verdicts);
        }
        Some(PolicyEvent::ResponseStarted(request))
    }

    /// The connection whose answer is passed on to a request's client, if one is.
    fn passing(&self, id: RequestId) -> Option<ConnectionId> {
        self.requests.get(&id)?.began?;
        self.attempts
            .range((id, 0)..=(id, u32::MAX))
            .next()
            .map(|(_, connection)| *connection)
    }

    /// What a connection brought back for what it carried.
    fn on_reply(
        &mut self,
        now: Time,
        connection: ConnectionId,
        mut reply: UpstreamReply,
        reusable: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let slot = self.conns.get_mut(&connection)?;
        let (endpoint, used) = (slot.endpoint, slot.used);
        // What is given up before anything of it was written has not run.
        let given_up = matches!(reply.outcome, Outcome::Timeout | Outcome::Cancelled);
        if slot
            .permit
            .take()
            .is_some_and(|permit| given_up && permit.revoke())
        {
            reply.outcome = Outcome::NotSent;
        }
        if !matches!(used, Use::Idle(_)) {
            slot.used = Use::Idle(now);
            self.idle
                .entry(endpoint)
                .or_default()
                .insert((now, connection));
        }
        // A deadline left by what it carried must not strike what it carries next.
        self.due.remove(&(slot.until, Due::Attempt(connection)));
        let kept = reusable && self.members.contains_key(&endpoint);
        if !kept {
            self.close(connection, effects);
        }
        match used {
            Use::Idle(_) => None,
            Use::Probe(sent) => Some(PolicyEvent::HealthCheckEnded {
                endpoint,
                outcome: reply.outcome,
                latency: now - sent,
                report: reply.report,
            }),
            Use::Attempt(request, attempt, sent) => {
                self.attempts.remove(&(request, attempt));
                if self.facts.trace_requests {
                    self.trace(
                        request,
                        RequestStep::AttemptEnded {
                            attempt,
                            outcome: reply.outcome,
                        },
                        effects,
                    );
                }
                // Of an answer that was passed on the beginning is timed: its client had the rest as it could take it.
                let began = self.requests.get(&request).and_then(|held| held.began);
                let at = began.unwrap_or(now);
                if let Some(held) = self.requests.get_mut(&request) {
                    held.note_try(reply.outcome, at);
                    let may_have_run = !reply.outcome.never_ran();
                    held.may_have_run_since =
                        held.may_have_run_since.or(may_have_run.then_some(sent));
                }
                let closed = match self.requests.get_mut(&request) {
                    None => true,
                    Some(held) if began.is_some() => {
                        let how = match reply.outcome {
                            Outcome::Ok => self.facts.ending(held, at),
                            Outcome::Cancelled => FinalOutcome::Aborted,
                            _ => FinalOutcome::Failed(FailureReason::ConnectionLost),
                        };
                        let served = reply.outcome == Outcome::Ok;
                        if let Some(held) = self.conclude(now, request, served, effects) {
                            self.record(at, held, how, effects);
                        }
                        true
                    }
                    Some(held) => {
                        held.last = Some(reply.outcome);
                        match reply.body {
                            Some(body) if reply.outcome == Outcome::Ok => {
                                let how = self.facts.ending(held, now);
                                self.answer(now, request, FinalAnswer::Served(body), how, effects);
                                true
                            }
                            Some(body) if reply.is_final_error => {
                                let answer = FinalAnswer::Failed(Failure::UpstreamError(body));
                                self.answer(
                                    now,
                                    request,
                                    answer,
                                    FinalOutcome::Failed(FailureReason::Statement),
                                    effects,
                                );
                                true
                            }
                            word => {
                                held.word = word;
                                false
                            }
                        }
                    }
                };
                Some(PolicyEvent::AttemptEnded(AttemptEnd {
                    request,
                    attempt,
                    endpoint,
                    outcome: reply.outcome,
                    closed,
                    latency: at - sent,
                    role: reply.role,
                    position: reply.position,
                    report: reply.report,
                }))
            }
        }
    }

    fn on_due(
        &mut self,
        now: Time,
        due: Due,
        told: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        match due {
            Due::Router(token) => told.push(PolicyEvent::Timer(token)),
            // An attempt or a probe that is out for too long: the connection goes with it, so that what comes
            // late can never reach another request.
            Due::Attempt(connection) => {
                told.extend(self.on_reply(
                    now,
                    connection,
                    UpstreamReply::without_details(Outcome::Timeout),
                    false,
                    effects,
                ));
            }
            Due::Overdue(id) => {
                if self.requests.contains_key(&id) {
                    let how = FinalOutcome::Failed(FailureReason::Timeout);
                    self.answer(now, id, FinalAnswer::Failed(Failure::Timeout), how, effects);
                    told.push(PolicyEvent::ClientDisconnected(id));
                }
            }
            Due::Publish => {
                let Some(watched) = self.facts.observability.clone() else {
                    return;
                };
                let each =
                    Span(PUBLISH_EACH.0 * i64::try_from(self.members.len()).unwrap_or(i64::MAX));
                self.due
                    .insert((now + watched.publish_interval.max(each), Due::Publish));
                effects.push(Effect::PublishView(Box::new(self.live(now))));
            }
            Due::Sweep => {
                let oldest = now - self.facts.idle();
                let old = |s: &BTreeSet<(Time, ConnectionId)>| -> Vec<ConnectionId> {
                    s.range(..(oldest, ConnectionId(0)))
                        .map(|(_, id)| *id)
                        .collect()
                };
                for connection in self.idle.values().flat_map(old).collect::<Vec<_>>() {
                    self.close(connection, effects);
                }
                self.due.insert((now + SWEEP, Due::Sweep));
            }
            Due::Admission => {
                self.door_due = false;
                if let Some(door) = &mut self.door {
                    door.tick(now, &mut self.verdicts);
                }
                self.wake_door(now);
            }
            Due::Unlisten => effects.push(Effect::StopListening),
            Due::Stop => {
                self.stopped = true;
                if self.ended {
                    effects.push(Effect::CloseIdleClients);
                } else {
                    let idle = self
                        .clients
                        .iter()
                        .filter(|(_, c)| may_close(c.open.len()).is_ok());
                    effects.extend(idle.map(|(id, _)| Effect::CloseClient(*id)));
                }
                self.due.insert((now + CLOSE_EACH, Due::Stop));
            }
            Due::LastAsked => self.ended |= self.left,
            Due::Exit => {
                effects.push(Effect::Exit);
                self.due.insert((now + EXIT_EACH, Due::Exit));
            }
            Due::End => {
                self.ended = true;
                // What is passed on goes on until the program ends.
                let waits = |(id, held): (&RequestId, &Held)| held.began.is_none().then_some(*id);
                for id in self.requests.iter().filter_map(waits).collect::<Vec<_>>() {
                    let held = &self.requests[&id];
                    let after = self.facts.come_back(held.class);
                    let (answer, how) = if held.attempts == 0 {
                        (
                            FinalAnswer::Rejected {
                                retry_after: after,
                                overloaded: false,
                            },
                            FinalOutcome::Refused(RejectionReason::Stopping),
                        )
                    } else {
                        (
                            FinalAnswer::Failed(Failure::Timeout),
                            FinalOutcome::Failed(FailureReason::Stopping),
                        )
                    };
                    // Nobody waits any more for what is out: it must not be out still when its client asks elsewhere.
                    let out = self
                        .attempts
                        .range((id, 0)..=(id, u32::MAX))
                        .map(|(_, connection)| *connection);
                    let out: Vec<ConnectionId> = out.collect();
                    self.answer(now, id, answer, how, effects);
                    told.push(PolicyEvent::ClientDisconnected(id));
                    for connection in out {
                        told.extend(self.on_reply(
                            now,
                            connection,
                            UpstreamReply::without_details(Outcome::Cancelled),
                            false,
                            effects,
                        ));
                    }
                }
            }
        }
    }

    fn carry_out(&mut self, now: Time, action: Action, effects: &mut Vec<Effect>) {
        if let Action::Send { request, .. }
        | Action::Cancel { request, .. }
        | Action::Reject { request, .. }
        | Action::Fail { request, .. } = &action
            && self.passing(*request).is_some()
        {
            return;
        }
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                send_before,
            } => {
                self.send(now, request, endpoint, timeout, send_before, effects);
            }
            Action::Cancel { request, attempt } => {
                let Some(connection) = self.attempts.get(&(request, attempt)).copied() else {
                    return;
                };
                let end = self.on_reply(
                    now,
                    connection,
                    UpstreamReply::without_details(Outcome::Cancelled),
                    false,
                    effects,
                );
                self.pending.extend(end);
            }
            Action::Reject {
                request,
                retry_after,
                why,
            } => {
                if let Some(held) = self.requests.get(&request) {
                    let after = retry_after.unwrap_or_else(|| self.facts.come_back(held.class));
                    let how = FinalOutcome::Refused(refusal(why));
                    self.answer(
                        now,
                        request,
                        FinalAnswer::Rejected {
                            retry_after: after,
                            overloaded: false,
                        },
                        how,
                        effects,
                    );
                }
            }
            Action::Fail { request, .. } => {
                if let Some(held) = self.requests.get_mut(&request) {
                    let (failure, how) = match (held.last, held.word.take()) {
                        (Some(Outcome::Timeout | Outcome::Cancelled), _) => {
                            (Failure::Timeout, FailureReason::Timeout)
                        }
                        (Some(Outcome::Error), Some(word)) => {
                            (Failure::UpstreamError(word), FailureReason::UpstreamError)
                        }
                        _ => (Failure::ConnectionLost, FailureReason::ConnectionLost),
                    };
                    self.answer(
                        now,
                        request,
                        FinalAnswer::Failed(failure),
                        FinalOutcome::Failed(how),
                        effects,
                    );
                }
            }
            Action::HealthCheck { endpoint } => {
                if let Err(why) = may_check_health(self.ready.contains(&endpoint)) {
                    self.facts.decisions.on_denied(why);
                    let (outcome, latency) = (Outcome::NotSent, Span(0));
                    return self.pending.push(PolicyEvent::HealthCheckEnded {
                        endpoint,
                        outcome,
                        latency,
                        report: None,
                    });
                }
                let took = self.take_conn(now, endpoint, Use::Probe(now), effects);
                let Some(connection) = took else {
                    let latency = Span(0);
                    let outcome = self.no_connection(endpoint);
                    return self.pending.push(PolicyEvent::HealthCheckEnded {
                        endpoint,
                        outcome,
                        latency,
                        report: None,
                    });
                };
                self.wait_until(connection, now + self.facts.health_check_timeout);
                effects.push(Effect::Submit {
                    connection,
                    job: UpstreamJob::HealthCheck,
                });
            }
            Action::RefreshEndpointList => {} // The list is watched all the time.
            Action::SetTimer { at, token } => {
                self.due.insert((at, Due::Router(token)));
            }
        }
    }

    fn send(
        &mut self,
        now: Time,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Option<Span>,
        send_before: Option<Time>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.requests.get(&request) else {
            return self.facts.decisions.on_denied(Denial::RequestOver);
        };
        let until = timeout.map_or(held.deadline, |t| held.deadline.min(now + t));
        let asked = SendCheck {
            now,
            deadline: until,
            response_started: held.began.is_some(),
            attempts_in_flight: self
                .attempts
                .range((request, 0)..=(request, u32::MAX))
                .count(),
            attempts: held.attempts,
            max_attempts: self.facts.settings.limits.max_attempts,
            idempotency: self.facts.settings.classes[held.class].idempotency,
            may_have_run_since: held.may_have_run_since,
            endpoint_is_ready: self.ready.contains(&endpoint) || self.may_use_unlisted(endpoint),
        };
        let permitted = may_send(&asked);
        if permitted.is_ok() && asked.attempts > 0 {
            self.facts.decisions.on_retry();
        }
        if let Err(why) = permitted {
            self.on_send_denied(request, endpoint, why, effects);
        }
        let Some(held) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = held.attempts;
        held.attempts += 1;
        let payload = Arc::clone(&held.payload);
        let used = Use::Attempt(request, attempt, now);
        let took = if permitted.is_err() {
            None
        } else {
            self.take_conn(now, endpoint, used, effects)
        };
        if let Some(held) = self
            .requests
            .get_mut(&request)
            .filter(|_| self.facts.observability.is_some())
        {
            held.first = held.first.or(Some(now));
            held.out = self
                .members
                .get(&endpoint)
                .map(|(name, _)| (Arc::clone(name), now));
        }
        let Some(connection) = took else {
            let outcome = if permitted.is_err() {
                Outcome::NotSent
            } else {
                self.no_connection(endpoint)
            };
            self.requests
                .get_mut(&request)
                .into_iter()
                .for_each(|held| held.note_try(outcome, now));
            return self.pending.push(PolicyEvent::AttemptEnded(AttemptEnd {
                request,
                attempt,
                endpoint,
                outcome,
                closed: false,
                latency: Span(0),
                role: None,
                position: None,
                report: None,
            }));
        };
        self.attempts.insert((request, attempt), connection);
        if self.facts.trace_requests {
            let endpoint = self.endpoint_name(endpoint);
            self.trace(
                request,
                RequestStep::AttemptSent {
                    attempt,
                    endpoint,
                    connection,
                },
                effects,
            );
        }
        self.wait_until(connection, until);
        let permit = SendPermit::new(send_before.map_or(until, |at| at.min(until)));
        self.conns
            .get_mut(&connection)
            .into_iter()
            .for_each(|c| c.permit = Some(permit.clone()));
        effects.push(Effect::Submit {
            connection,
            job: UpstreamJob::Request {
                payload,
                deadline: until,
                permit,
            },
        });
    }

    /// Where a removal does not bind, the module may go on with an endpoint that is no longer listed; never with one that
    /// drains.
    fn may_use_unlisted(&self, endpoint: EndpointId) -> bool {
        self.facts.settings.rules.removal_is_advisory && !self.members.contains_key(&endpoint)
    }

    /// An attempt is not sent; that the module asked for it may be a fault of its own.
    fn on_send_denied(
        &self,
        request: RequestId,
        endpoint: EndpointId,
        why: Denial,
        effects: &mut Vec<Effect>,
    ) {
        self.facts.decisions.on_denied(why);
        if self.facts.trace_requests {
            self.trace(request, RequestStep::Denied(why), effects);
        }
        if why.is_violation() {
            self.facts.decisions.on_violated(why);
            let (request, endpoint) = (self.request_name(request), self.endpoint_name(endpoint));
            debug_assert!(
                false,
                "invariant violated: {}: {request} to {endpoint}",
                why.name()
            );
            effects.push(Effect::Log(LogEvent::InvariantViolated {
                denial: why,
                request,
                endpoint,
            }));
        }
    }

    /// A request as the log names it.
    fn request_name(&self, id: RequestId) -> Arc<str> {
        let name = self.requests.get(&id).and_then(|held| held.name.clone());
        name.unwrap_or_else(|| Arc::from(format!("#{}", id.0)))
    }

    fn endpoint_name(&self, endpoint: EndpointId) -> Arc<str> {
        self.members.get(&endpoint).map_or_else(
            || Arc::from(format!("#{}", endpoint.0)),
            |(name, _)| Arc::clone(name),
        )
    }

    fn trace(&self, request: RequestId, what: RequestStep, effects: &mut Vec<Effect>) {
        effects.push(Effect::Log(LogEvent::RequestStep {
            request: self.request_name(request),
            step: what,
        }));
    }

    /// Ends the attempt that a connection carries if nothing of it was written yet; one that has begun goes on.
    fn cancel_pending_attempt(
        &mut self,
        now: Time,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let unwritten = self
            .conns
            .get(&connection)?
            .permit
            .as_ref()
            .is_some_and(SendPermit::revoke);
        if !unwritten {
            return None;
        }
        self.facts.decisions.on_cancelled_unsent();
        self.on_reply(
            now,
            connection,
            UpstreamReply::without_details(Outcome::NotSent),
            false,
            effects,
        )
    }

    /// What it means that there is no connection to a node: it is not listed, or this machine has none to give.
    fn no_connection(&self, endpoint: EndpointId) -> Outcome {
        if self.members.contains_key(&endpoint) {
            Outcome::LocalFailure
        } else {
            Outcome::ConnectFailed
        }
    }

    /// The connection to a node that was used last, or a new one while the budget of descriptors lasts.
    fn take_conn(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        used: Use,
        effects: &mut Vec<Effect>,
    ) -> Option<ConnectionId> {
        let address = Arc::clone(&self.members.get(&endpoint)?.1);
        let oldest = now - self.facts.idle();
        let last = self
            .idle
            .get(&endpoint)
            .and_then(|s| s.last().copied())
            .filter(|(at, _)| *at >= oldest);
        let id = match last {
            Some(last) => {
                self.idle.entry(endpoint).or_default().remove(&last);
                last.1
            }
            None => {
                if self.conns.len() >= self.facts.upstream_connection_limit {
                    let oldest = self.idle.values().filter_map(BTreeSet::first).min();
                    let Some((_, spare)) = oldest.copied() else {
                        effects.push(Effect::Log(LogEvent::UpstreamConnectionsExhausted(
                            self.conns.len(),
                        )));
                        return None;
                    };
                    self.close(spare, effects);
                }
                self.next_conn += 1;
                let id = ConnectionId(self.next_conn);
                effects.push(Effect::Connect {
                    connection: id,
                    address,
                });
                id
            }
        };
        self.conns.insert(
            id,
            Conn {
                endpoint,
                used,
                until: Time(i64::MAX),
                permit: None,
            },
        );
        Some(id)
    }

    fn wait_until(&mut self, connection: ConnectionId, until: Time) {
        self.conns
            .get_mut(&connection)
            .into_iter()
            .for_each(|c| c.until = until);
        self.due.insert((until, Due::Attempt(connection)));
    }

    fn close(&mut self, connection: ConnectionId, effects: &mut Vec<Effect>) {
        let Some(closed) = self.conns.remove(&connection) else {
            return;
        };
        if let Use::Idle(at) = closed.used
            && let Some(idle) = self.idle.get_mut(&closed.endpoint)
        {
            idle.remove(&(at, connection));
            if idle.is_empty() {
                self.idle.remove(&closed.endpoint);
            }
        }
        effects.push(Effect::CloseUpstream(connection));
    }

    fn close_idle(&mut self, endpoint: EndpointId, effects: &mut Vec<Effect>) {
        for (_, connection) in self.idle.get(&endpoint).cloned().unwrap_or_default() {
            self.close(connection, effects);
        }
    }

    /// Forgets a request, with all that is kept for it: nothing begins for it from here on.
    fn drop_request(
        &mut self,
        now: Time,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<Held> {
        let held = self.requests.remove(&id)?;
        self.due
            .remove(&(held.deadline + HEADSTART + HEADSTART, Due::Overdue(id)));
        held.name
            .iter()
            .for_each(|name| drop(self.names.take(name)));
        let out = self
            .attempts
            .range((id, 0)..=(id, u32::MAX))
            .map(|(_, connection)| *connection);
        for connection in out.collect::<Vec<_>>() {
            let end = self.cancel_pending_attempt(now, connection, effects);
            self.pending.extend(end);
        }
        Some(held)
    }

    /// The one final answer of a request.
    fn answer(
        &mut self,
        now: Time,
        id: RequestId,
        answer: FinalAnswer,
        how: FinalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.conclude(now, id, matches!(answer, FinalAnswer::Served(_)), effects)
        else {
            return;
        };
        effects.push(Effect::Answer {
            client: held.client,
            ticket: held.ticket,
            answer,
        });
        self.record(now, held, how, effects);
    }

    /// Forgets a request that has had its final answer, wherever it is known.
    fn conclude(
        &mut self,
        now: Time,
        id: RequestId,
        served: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<Held> {
        let held = self.drop_request(now, id, effects)?;
        if let Some(client) = self.clients.get_mut(&held.client) {
            client.open.remove(&id);
        }
        if let Some(door) = &mut self.door {
            if held.queued.is_some() {
                door.on_client_disconnected(now, id, &mut self.verdicts);
            } else {
                door.on_finished(now, id, served, &mut self.verdicts);
            }
        }
        Some(held)
    }

    /// What is counted and written down of a request that is over.
    fn record(&self, now: Time, mut held: Held, ending: FinalOutcome, effects: &mut Vec<Effect>) {
        if self.facts.trace_requests {
            let request = held.name.clone().unwrap_or_else(|| Arc::from("unnamed"));
            effects.push(Effect::Log(LogEvent::RequestStep {
                request,
                step: RequestStep::RequestEnded(ending),
            }));
        }
        if let Some((member, sent)) = held.out.take() {
            held.tries.push(AttemptRecord {
                member,
                outcome: AttemptOutcome::Unfinished,
                took_us: micros(now - sent),
            });
        }
        let waited = held.first.unwrap_or(now) - held.arrived;
        let (attempts, times) = (held.tries, [waited, now - held.arrived]);
        self.account(
            held.class,
            held.tenant,
            held.group,
            ending,
            attempts,
            times,
            effects,
        );
    }

    /// The same for one that was answered on arrival.
    fn record_unheld(
        &self,
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        ending: FinalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        self.account(class, tenant, group, ending, vec![], [Span(0); 2], effects);
    }

    /// The one place where the end of a request is counted: in the figures at once, and by the ledger, which the agent
    /// shows, from the record that leaves here.
    #[allow(clippy::too_many_arguments)]
    fn account(
        &self,
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        ending: FinalOutcome,
        attempts: Vec<AttemptRecord>,
        [waited, total]: [Span; 2],
        effects: &mut Vec<Effect>,
    ) {
        if let Some(figures) = &self.facts.metrics {
            figures.ended(class, &ending);
        }
        let Some(watched) = &self.facts.observability else {
            return;
        };
        effects.push(Effect::RecordOutcome(Box::new(RequestRecord {
            front: Arc::clone(&watched.front),
            class: Arc::clone(&watched.classes[class]),
            tenant: tenant.and_then(|t| watched.tenants.get(t).cloned()),
            group: group.0,
            ending,
            attempts,
            waited_us: micros(waited),
            total_us: micros(total),
        })));
    }

    fn count_asked(&mut self, tenant: Option<usize>, now: Time) {
        self.turn_second(now);
        tenant
            .and_then(|t| self.rates.get_mut(t))
            .into_iter()
            .for_each(|r| r[0] += 1);
    }

    fn turn_second(&mut self, now: Time) {
        let second = now.0 / 1_000_000;
        let passed = second - self.second;
        if passed != 0 {
            self.second = second;
            self.rates
                .iter_mut()
                .for_each(|r| *r = [0, if passed == 1 { r[0] } else { 0 }]);
        }
    }

    /// What is believed and carried now.
    fn live(&mut self, now: Time) -> LiveView {
        self.turn_second(now);
        let view = self.router.view();
        let members = view.endpoints.into_iter().filter_map(|view| {
            let (name, address) = self.members.get(&view.endpoint)?.clone();
            Some(LiveEndpoint {
                name,
                address,
                view,
            })
        });
        LiveView {
            taken_at: now,
            groups: view.groups,
            endpoints: members.collect(),
            request_rates: self.rates.iter().map(|r| r[1]).collect(),
            open: OpenCounts {
                requests: self.requests.len(),
                upstream_connections: self.conns.len(),
                client_connections: self.clients.len(),
            },
            turns: self.turns,
            shutting_down: self.stopping,
            tenant_queues: self
                .door
                .as_ref()
                .map_or(vec![], |door| door.tenant_views(now)),
        }
    }
}

impl Held {
    fn note_try(&mut self, outcome: Outcome, now: Time) {
        let Some((member, sent)) = self.out.take() else {
            return;
        };
        self.tries.push(AttemptRecord {
            member,
            outcome: outcome.into(),
            took_us: micros(now - sent),
        });
    }
}

/// A length of time in whole microseconds, none below 0.
fn micros(span: Span) -> u64 {
    u64::try_from(span.0).unwrap_or(0)
}

const fn refusal(why: GiveUpReason) -> RejectionReason {
    match why {
        GiveUpReason::DeadlineExceeded => RejectionReason::DeadlineExceeded,
        GiveUpReason::Overloaded => RejectionReason::Overloaded,
        GiveUpReason::NeverSent => RejectionReason::NeverSent,
        GiveUpReason::TooLate => RejectionReason::TooLate,
        GiveUpReason::AttemptsExhausted => RejectionReason::AttemptsExhausted,
        GiveUpReason::RetryWindowClosed => RejectionReason::RetryWindowClosed,
    }
}

impl CoreConfig {
    /// How a request ends whose answer comes now.
    fn ending(&self, held: &Held, now: Time) -> FinalOutcome {
        let latency_objective = self.settings.classes[held.class].latency_objective;
        if now - held.arrived <= latency_objective {
            FinalOutcome::InTime
        } else {
            FinalOutcome::Late
        }
    }

    /// How long a connection to a server may stand idle here: well below what the server allows.
    fn idle(&self) -> Span {
        Span(self.settings.limits.idle_connection_timeout.0 / 10 * IDLE_TENTHS)
    }

    /// When a refused client should come back, where the module leaves that open. What it met, too much work or
    /// no member that could serve it, takes a while to pass; where a late answer is worth nothing, coming back
    /// early would only add to the load.
    fn come_back(&self, class: usize) -> Span {
        let longest = self.settings.limits.max_retry_after;
        let late_counts = self
            .settings
            .classes
            .get(class)
            .is_some_and(|c| c.late_priority_weight > 0.0);
        if late_counts {
            Span(longest.0 / 4)
        } else {
            longest
        }
    }
}
