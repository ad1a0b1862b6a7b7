//! What may begin: leave to write an attempt is used once or taken back once, and the reducer takes it back at the moment at
//! which the attempt loses its reason.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use valehatch_core::permission::{Decisions, SendPermit};
use valehatch_core::{
    ClientId, ConnectionId, CoreConfig, Effect, Event, FinalAnswer, IncomingRequest,
    ListedEndpoint, MemoryReservation, Payload, State, UpstreamJob, UpstreamReply,
};
use valehatch_policy::{
    Consistency, DedupScope, DiscoveryMode, EndpointId, EndpointRecord, EndpointState, GroupId,
    Idempotency as Rerun, KindId, Limits, ListedRole, Outcome, RequestClass, Rules,
    SessionTracking, Settings, Span, StaleReadPolicy, Time, ZoneId,
};

const WRITE: usize = 0;
const UNSAFE: usize = 1;

fn ms(n: i64) -> Span {
    Span::from_millis(n)
}

fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        consistency: Consistency::Write,
        idempotency,
        latency_objective: ms(600),
        latency_objective_stretch: 0.0,
        deadline: ms(3_000),
        priority_weight: 1.0,
        late_priority_weight: 0.3,
    };
    Settings {
        classes: vec![
            class(Rerun::IdempotencyKey {
                scope: DedupScope::Group,
                window: ms(2_000),
            }),
            class(Rerun::NonIdempotent),
        ],
        tenants: vec![],
        over_quota_priority_weight: None,
        discovery_mode: DiscoveryMode::Watch,
        listed_role: ListedRole::Trailing,
        stale_read_policy: StaleReadPolicy::Serve,
        sessions: SessionTracking::ClientProvided,
        routers: 1,
        zone: ZoneId(0),
        tick: ms(5),
        limits: Limits {
            cancel: true,
            health_checks: false,
            hedged_requests: false,
            retry_after: true,
            max_attempts: 6,
            max_retry_after: ms(500),
            max_open_requests: 1_000,
            idle_connection_timeout: ms(15_000),
        },
        rules: Rules {
            max_poll_interval: ms(8_000),
            slow_start_initial_capacity: 0.2,
            slow_start_duration: ms(10_000),
            overload_multiple: 2.0,
            overload_duration: ms(1_500),
            removal_is_advisory: false,
        },
    }
}

/// A reducer with one request that its member was asked to take.
struct Scene {
    state: State,
    now: Time,
    room: Arc<AtomicUsize>,
    permit: SendPermit,
    connection: ConnectionId,
    /// When its attempt is given up.
    until: Time,
}

fn member(id: u32, state: EndpointState, primary: bool) -> ListedEndpoint {
    let entry = EndpointRecord {
        endpoint: EndpointId(id),
        group: GroupId(0),
        zone: ZoneId(0),
        kind: KindId(0),
        weight: 1.0,
        started: None,
        primary,
        state,
    };
    ListedEndpoint {
        record: entry,
        name: format!("s-{id}").into(),
        address: format!("127.0.0.1:{}", 9000 + id).into(),
    }
}

/// A request of a class that was read at a time.
fn ask(room: &Arc<AtomicUsize>, class: usize, received: Time) -> IncomingRequest {
    IncomingRequest {
        name: Some("one".into()),
        class,
        tenant: None,
        group: GroupId(0),
        session: None,
        received,
        client_timeout: ms(2_000),
        is_client_retry: false,
        last_write_at: None,
        payload: Arc::new(Payload {
            bytes: vec![0; 10],
            write: true,
            class,
        }),
        memory: MemoryReservation::try_acquire(room, 10, 100).unwrap(),
        client: 1,
    }
}

/// When the attempt that was submitted is given up.
fn until(effects: &[Effect]) -> Time {
    let until = |idempotency: &Effect| match idempotency {
        Effect::Submit {
            job: UpstreamJob::Request {
                deadline: until, ..
            },
            ..
        } => Some(*until),
        _ => None,
    };
    effects
        .iter()
        .find_map(until)
        .expect("an attempt was submitted")
}

fn submitted(effects: &[Effect]) -> Option<(ConnectionId, SendPermit)> {
    effects.iter().find_map(|idempotency| match idempotency {
        Effect::Submit {
            connection,
            job: UpstreamJob::Request { permit, .. },
        } => Some((*connection, permit.clone())),
        _ => None,
    })
}

fn closed(effects: &[Effect], connection: ConnectionId) -> bool {
    effects
        .iter()
        .any(|e| matches!(e, Effect::CloseUpstream(closed) if *closed == connection))
}

impl Scene {
    fn new(class: usize) -> Self {
        Self::asked_after(class, vec![], ms(0))
    }

    /// One whose request was read this long before the turn that took it.
    fn read_before(waited: Span) -> Self {
        let mut scene = Self::new(UNSAFE);
        let end = UpstreamReply {
            body: Some(b"done".to_vec()),
            ..UpstreamReply::without_details(Outcome::Ok)
        };
        scene.turn(
            1,
            vec![Event::AttemptEnded {
                connection: scene.connection,
                reply: end,
                reusable: true,
            }],
        );
        let (room, now) = (Arc::clone(&scene.room), scene.now + ms(1));
        let asked = ask(&room, UNSAFE, now - waited);
        let effects = scene.turn(
            1,
            vec![Event::RequestReceived {
                client: ClientId(1),
                ticket: 1,
                request: asked,
            }],
        );
        (scene.connection, scene.permit) =
            submitted(&effects).expect("it goes to the primary at once");
        scene.until = until(&effects);
        scene
    }

    /// The same where so much happened, and so much time went by, before it was asked for.
    fn asked_after(class: usize, before: Vec<Event>, time: Span) -> Self {
        let facts = CoreConfig {
            admission: None,
            observability: None,
            metrics: None,
            settings: settings(),
            decisions: Arc::new(Decisions::default()),
            trace_requests: false,
            upstream_connection_limit: 8,
            health_check_timeout: ms(250),
        };
        let mut state = State::new(facts, 1).unwrap();
        let (began, room) = (Time(100_000_000), Arc::new(AtomicUsize::new(0)));
        state.reduce(began, before, &mut vec![]);
        let now = began + time;
        let ask = ask(&room, class, now);
        let list = Event::EndpointList {
            complete: true,
            endpoints: vec![member(1, EndpointState::Ready, true)],
        };
        let asked = Event::RequestReceived {
            client: ClientId(1),
            ticket: 0,
            request: ask,
        };
        let mut effects = vec![];
        state.reduce(
            now,
            vec![list, Event::ClientConnected(ClientId(1)), asked],
            &mut effects,
        );
        let (connection, permit) = submitted(&effects).expect("it goes to the primary at once");
        Self {
            state,
            now,
            room,
            permit,
            connection,
            until: until(&effects),
        }
    }

    fn turn(&mut self, after: i64, events: Vec<Event>) -> Vec<Effect> {
        self.now = self.now + ms(after);
        let mut effects = vec![];
        self.state.reduce(self.now, events, &mut effects);
        // What an end left for the next turn, which comes at once.
        self.state.reduce(self.now, vec![], &mut effects);
        self.state.check_invariants().unwrap();
        effects
    }
}

#[test]
fn leave_is_used_or_taken_back_once_whoever_comes_first() {
    let (now, end) = (Time(1), Time(10));
    let permit = SendPermit::new(end);
    assert!(permit.clone().try_acquire(now).is_ok());
    assert!(permit.try_acquire(now).is_err(), "once");
    assert!(!permit.revoke(), "it has begun");
    let permit = SendPermit::new(end);
    assert!(permit.revoke());
    assert!(!permit.revoke(), "once");
    assert!(
        permit.try_acquire(now).is_err(),
        "it must not begin any more"
    );
    assert!(
        SendPermit::new(end).try_acquire(end).is_ok(),
        "its last moment counts"
    );
    let late = SendPermit::new(end);
    assert!(late.try_acquire(Time(11)).is_err());
    assert!(late.revoke(), "nothing was written");
}

#[test]
fn of_two_threads_one_has_its_way() {
    for _ in 0..2_000 {
        let permit = SendPermit::new(Time(10));
        let other = permit.clone();
        let took = thread::spawn(move || other.try_acquire(Time(1)).is_ok());
        let revoked = permit.revoke();
        assert!(took.join().unwrap() != revoked);
    }
}

#[test]
fn what_was_not_written_when_its_client_left_is_called_off_and_all_it_held_is_given_back_once() {
    for class in [WRITE, UNSAFE] {
        let mut scene = Scene::new(class);
        let effects = scene.turn(50, vec![Event::ClientDisconnected(ClientId(1))]);
        assert!(
            scene.permit.try_acquire(scene.now).is_err(),
            "it must not begin any more"
        );
        assert!(closed(&effects, scene.connection));
        assert_eq!(scene.room.load(Ordering::Relaxed), 0, "its room is free");
        // Whoever carried it says so as well, late.
        let reply = UpstreamReply::without_details(Outcome::NotSent);
        let ended = Event::AttemptEnded {
            connection: scene.connection,
            reply,
            reusable: true,
        };
        let effects = scene.turn(200, vec![ended, Event::ClientDisconnected(ClientId(1))]);
        assert!(effects.is_empty(), "{effects:?}");
    }
}

#[test]
fn what_was_written_goes_on_when_its_client_leaves() {
    let mut scene = Scene::new(UNSAFE);
    assert!(scene.permit.try_acquire(scene.now).is_ok());
    let effects = scene.turn(50, vec![Event::ClientDisconnected(ClientId(1))]);
    assert!(
        !closed(&effects, scene.connection),
        "it runs, and its member is not disturbed"
    );
    assert_eq!(scene.room.load(Ordering::Relaxed), 0);
}

#[test]
fn what_was_not_written_when_its_member_drains_goes_elsewhere_at_once() {
    for (state, complete) in [
        (EndpointState::Draining, false),
        (EndpointState::Removed, false),
        (EndpointState::Removed, true),
    ] {
        let mut scene = Scene::new(UNSAFE);
        let mut members = vec![member(2, EndpointState::Ready, true)];
        if !complete {
            members.push(member(1, state, false));
        }
        let effects = scene.turn(
            50,
            vec![Event::EndpointList {
                complete,
                endpoints: members,
            }],
        );
        assert!(
            scene.permit.try_acquire(scene.now).is_err(),
            "{state:?}: it must not begin there any more"
        );
        let (connection, _) = submitted(&effects).expect("the other one has it at once");
        assert_ne!(connection, scene.connection);
    }
}

#[test]
fn what_was_written_to_a_member_that_drains_is_waited_for() {
    let mut scene = Scene::new(UNSAFE);
    assert!(scene.permit.try_acquire(scene.now).is_ok());
    let members = vec![
        member(1, EndpointState::Draining, false),
        member(2, EndpointState::Ready, true),
    ];
    let effects = scene.turn(
        50,
        vec![Event::EndpointList {
            complete: false,
            endpoints: members,
        }],
    );
    assert!(submitted(&effects).is_none(), "it may have run");
    let reply = UpstreamReply {
        body: Some(b"done".to_vec()),
        ..UpstreamReply::without_details(Outcome::Ok)
    };
    let effects = scene.turn(
        50,
        vec![Event::AttemptEnded {
            connection: scene.connection,
            reply,
            reusable: true,
        }],
    );
    assert!(effects.iter().any(|e| matches!(
        e,
        Effect::Answer {
            answer: FinalAnswer::Served(_),
            ..
        }
    )));
}

#[test]
fn a_dial_that_never_came_up_in_time_has_not_run() {
    let mut scene = Scene::new(UNSAFE);
    // Half of its time is over: what was never written is refused, which is harmless, and not failed.
    let effects: Vec<Effect> = (0..50).flat_map(|_| scene.turn(50, vec![])).collect();
    let answers: Vec<_> = effects
        .iter()
        .filter(|e| matches!(e, Effect::Answer { .. }))
        .collect();
    assert!(
        matches!(
            answers[..],
            [Effect::Answer {
                answer: FinalAnswer::Rejected { .. },
                ..
            }]
        ),
        "{answers:?}"
    );
    assert!(scene.permit.try_acquire(scene.now).is_err());
}

#[test]
fn what_is_out_as_the_program_is_about_to_end_is_given_up_with_its_answer() {
    // A planned stop was asked for 3 s ago; what is open 0.45 s later is answered, whatever its client would wait.
    let mut scene = Scene::asked_after(UNSAFE, vec![Event::ShutdownRequested], ms(3_000));
    assert!(scene.permit.try_acquire(scene.now).is_ok());
    let early = scene.turn(400, vec![]);
    assert!(!closed(&early, scene.connection), "it may be answered yet");
    let effects = scene.turn(60, vec![]);
    let failed = |e: &Effect| {
        matches!(
            e,
            Effect::Answer {
                answer: FinalAnswer::Failed(_),
                ..
            }
        )
    };
    assert!(effects.iter().any(failed), "it may have run: {effects:?}");
    assert!(
        closed(&effects, scene.connection),
        "it is not out any more when its client asks elsewhere"
    );
}

/// Its client's time runs from when it was read, however long it waited for the reducer.
#[test]
fn time_in_the_queue_is_off_the_deadline() {
    let (prompt, late) = (Scene::read_before(ms(0)), Scene::read_before(ms(140)));
    assert_eq!(late.until + ms(140), prompt.until);
}
