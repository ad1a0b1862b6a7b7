//! When an attempt may be written: its permit is acquired or revoked once, and the reducer revokes
//! it as soon as the request is cancelled or its endpoint drains.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use support::{NON_IDEMPOTENT, config, incoming_request, ms};
use valehatch_core::permission::SendPermit;
use valehatch_core::{
    ClientId, ConnectionId, Effect, Event, FinalAnswer, ListedEndpoint, State, UpstreamJob,
    UpstreamReply,
};
use valehatch_policy::{
    EndpointId, EndpointRecord, EndpointState, GroupId, KindId, Outcome, Span, Time, ZoneId,
};

const IDEMPOTENCY_KEY: usize = 0;

/// A reducer with one request whose attempt was handed to a connection.
struct Fixture {
    state: State,
    now: Time,
    memory: Arc<AtomicUsize>,
    permit: SendPermit,
    connection: ConnectionId,
    /// When the attempt is given up.
    deadline: Time,
}

fn listed_endpoint(id: u32, state: EndpointState, primary: bool) -> ListedEndpoint {
    let record = EndpointRecord {
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
        record,
        name: format!("s-{id}").into(),
        address: format!("127.0.0.1:{}", 9000 + id).into(),
    }
}

/// When the attempt that was submitted is given up.
fn submitted_deadline(effects: &[Effect]) -> Time {
    let deadline = |effect: &Effect| match effect {
        Effect::Submit {
            job: UpstreamJob::Request { deadline, .. },
            ..
        } => Some(*deadline),
        _ => None,
    };
    effects
        .iter()
        .find_map(deadline)
        .expect("an attempt was submitted")
}

fn submitted(effects: &[Effect]) -> Option<(ConnectionId, SendPermit)> {
    effects.iter().find_map(|effect| match effect {
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

impl Fixture {
    fn new(class: usize) -> Self {
        Self::after_events(class, vec![], ms(0))
    }

    /// A fixture whose request was read this long before the turn that handled it.
    fn with_wait_before_reducer(waited: Span) -> Self {
        let mut fixture = Self::new(NON_IDEMPOTENT);
        let end = UpstreamReply {
            body: Some(b"done".to_vec()),
            ..UpstreamReply::without_details(Outcome::Ok)
        };
        fixture.turn(
            1,
            vec![Event::AttemptEnded {
                connection: fixture.connection,
                reply: end,
                reusable: true,
            }],
        );
        let (memory, now) = (Arc::clone(&fixture.memory), fixture.now + ms(1));
        let request = incoming_request(&memory, NON_IDEMPOTENT, now - waited);
        let effects = fixture.turn(
            1,
            vec![Event::RequestReceived {
                client: ClientId(1),
                ticket: 1,
                request,
            }],
        );
        (fixture.connection, fixture.permit) =
            submitted(&effects).expect("it goes to the primary at once");
        fixture.deadline = submitted_deadline(&effects);
        fixture
    }

    /// A fixture in which these events were handled and this time passed before the request.
    fn after_events(class: usize, before: Vec<Event>, time: Span) -> Self {
        let mut state = State::new(config(ms(3_000)), 1).unwrap();
        let (start, memory) = (Time(100_000_000), Arc::new(AtomicUsize::new(0)));
        state.reduce(start, before, &mut vec![]);
        let now = start + time;
        let request = incoming_request(&memory, class, now);
        let list = Event::EndpointList {
            complete: true,
            endpoints: vec![listed_endpoint(1, EndpointState::Ready, true)],
        };
        let received = Event::RequestReceived {
            client: ClientId(1),
            ticket: 0,
            request,
        };
        let mut effects = vec![];
        state.reduce(
            now,
            vec![list, Event::ClientConnected(ClientId(1)), received],
            &mut effects,
        );
        let (connection, permit) = submitted(&effects).expect("it goes to the primary at once");
        Self {
            state,
            now,
            memory,
            permit,
            connection,
            deadline: submitted_deadline(&effects),
        }
    }

    fn turn(&mut self, after: i64, events: Vec<Event>) -> Vec<Effect> {
        self.now = self.now + ms(after);
        let mut effects = vec![];
        self.state.reduce(self.now, events, &mut effects);
        // The next turn comes at once and passes on what the policy has not seen yet.
        self.state.reduce(self.now, vec![], &mut effects);
        self.state.check_invariants().unwrap();
        effects
    }
}

#[test]
fn permit_is_acquired_or_revoked_once() {
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

// One thread is about to write an attempt while another cancels it. If both succeeded, the attempt
// would run although it counts as unsent.
#[test]
fn permit_race_between_threads_has_one_winner() {
    for _ in 0..2_000 {
        let permit = SendPermit::new(Time(10));
        let other = permit.clone();
        let took = thread::spawn(move || other.try_acquire(Time(1)).is_ok());
        let revoked = permit.revoke();
        assert!(took.join().unwrap() != revoked);
    }
}

// A client leaves while its attempt is still being dialled. The attempt must not begin later, and
// its memory is returned once, also if the connection reports the same end again.
#[test]
fn client_leaves_before_write_cancels_attempt_and_returns_memory() {
    for class in [IDEMPOTENCY_KEY, NON_IDEMPOTENT] {
        let mut fixture = Fixture::new(class);
        let effects = fixture.turn(50, vec![Event::ClientDisconnected(ClientId(1))]);
        assert!(
            fixture.permit.try_acquire(fixture.now).is_err(),
            "it must not begin any more"
        );
        assert!(closed(&effects, fixture.connection));
        assert_eq!(
            fixture.memory.load(Ordering::Relaxed),
            0,
            "its memory is returned"
        );
        // The connection reports the same end, late.
        let reply = UpstreamReply::without_details(Outcome::NotSent);
        let ended = Event::AttemptEnded {
            connection: fixture.connection,
            reply,
            reusable: true,
        };
        let effects = fixture.turn(200, vec![ended, Event::ClientDisconnected(ClientId(1))]);
        assert!(effects.is_empty(), "{effects:?}");
    }
}

// A client leaves after its attempt was written. The endpoint has begun the work, so its connection
// stays open.
#[test]
fn client_leaves_after_write_keeps_attempt() {
    let mut fixture = Fixture::new(NON_IDEMPOTENT);
    assert!(fixture.permit.try_acquire(fixture.now).is_ok());
    let effects = fixture.turn(50, vec![Event::ClientDisconnected(ClientId(1))]);
    assert!(
        !closed(&effects, fixture.connection),
        "it runs, and its endpoint is not disturbed"
    );
    assert_eq!(fixture.memory.load(Ordering::Relaxed), 0);
}

// An endpoint begins to drain or is removed while an attempt to it is being dialled. Nothing may
// begin there any more, and the request goes to the other endpoint at once.
#[test]
fn endpoint_drains_before_write_moves_request_at_once() {
    for (state, complete) in [
        (EndpointState::Draining, false),
        (EndpointState::Removed, false),
        (EndpointState::Removed, true),
    ] {
        let mut fixture = Fixture::new(NON_IDEMPOTENT);
        let mut endpoints = vec![listed_endpoint(2, EndpointState::Ready, true)];
        if !complete {
            endpoints.push(listed_endpoint(1, state, false));
        }
        let effects = fixture.turn(
            50,
            vec![Event::EndpointList {
                complete,
                endpoints,
            }],
        );
        assert!(
            fixture.permit.try_acquire(fixture.now).is_err(),
            "{state:?}: it must not begin there any more"
        );
        let (connection, _) = submitted(&effects).expect("the other one has it at once");
        assert_ne!(connection, fixture.connection);
    }
}

// An endpoint begins to drain after an attempt was written. The attempt may have run, so its answer
// is awaited and nothing is sent elsewhere.
#[test]
fn endpoint_drains_after_write_keeps_attempt() {
    let mut fixture = Fixture::new(NON_IDEMPOTENT);
    assert!(fixture.permit.try_acquire(fixture.now).is_ok());
    let endpoints = vec![
        listed_endpoint(1, EndpointState::Draining, false),
        listed_endpoint(2, EndpointState::Ready, true),
    ];
    let effects = fixture.turn(
        50,
        vec![Event::EndpointList {
            complete: false,
            endpoints,
        }],
    );
    assert!(submitted(&effects).is_none(), "it may have run");
    let reply = UpstreamReply {
        body: Some(b"done".to_vec()),
        ..UpstreamReply::without_details(Outcome::Ok)
    };
    let effects = fixture.turn(
        50,
        vec![Event::AttemptEnded {
            connection: fixture.connection,
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

// A dial never succeeds. Nothing was written, so the request is rejected and may be retried safely.
#[test]
fn dial_times_out_rejects_request() {
    let mut fixture = Fixture::new(NON_IDEMPOTENT);
    // After half of its time a request that was never written is rejected, not failed.
    let effects: Vec<Effect> = (0..50).flat_map(|_| fixture.turn(50, vec![])).collect();
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
    assert!(fixture.permit.try_acquire(fixture.now).is_err());
}

// The program is about to end with an attempt in flight. Its client gets an answer and retries
// elsewhere; were the attempt still in flight, the request could run twice.
#[test]
fn shutdown_end_cancels_attempt_with_its_answer() {
    // Shutdown was requested 3 s ago; 0.45 s later each open request is answered, however long its
    // client would wait.
    let mut fixture =
        Fixture::after_events(NON_IDEMPOTENT, vec![Event::ShutdownRequested], ms(3_000));
    assert!(fixture.permit.try_acquire(fixture.now).is_ok());
    let early = fixture.turn(400, vec![]);
    assert!(
        !closed(&early, fixture.connection),
        "it may be answered yet"
    );
    let effects = fixture.turn(60, vec![]);
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
        closed(&effects, fixture.connection),
        "it is not out any more when its client asks elsewhere"
    );
}

// Guards against two copies of a write at a time: its client may retry as soon as it has the answer.
#[test]
fn shutdown_end_closes_connection_before_the_answer() {
    let mut fixture =
        Fixture::after_events(NON_IDEMPOTENT, vec![Event::ShutdownRequested], ms(3_000));
    assert!(fixture.permit.try_acquire(fixture.now).is_ok());
    let effects = fixture.turn(460, vec![]);
    let closed_at = effects
        .iter()
        .position(|e| matches!(e, Effect::CloseUpstream(c) if *c == fixture.connection));
    let answered_at = effects
        .iter()
        .position(|e| matches!(e, Effect::Answer { .. }));
    assert!(closed_at.is_some() && answered_at.is_some());
    assert!(closed_at < answered_at, "{effects:?}");
}

// Guards against a time-out, after which a client may not retry, for a request whose attempt was never written.
#[test]
fn shutdown_end_rejects_request_that_never_ran() {
    let mut fixture =
        Fixture::after_events(NON_IDEMPOTENT, vec![Event::ShutdownRequested], ms(3_000));
    let answered = answer(fixture.turn(460, vec![]));
    assert!(
        matches!(answered, Some(FinalAnswer::Rejected { .. })),
        "{answered:?}"
    );
    assert!(
        fixture.permit.try_acquire(fixture.now).is_err(),
        "nothing of it is written any more"
    );
}

// A request may wait for the reducer while an earlier turn runs. Were its deadline counted from the
// turn, the endpoint would receive a deadline later than its client's own.
#[test]
fn wait_before_reducer_shortens_deadline() {
    let (prompt, late) = (
        Fixture::with_wait_before_reducer(ms(0)),
        Fixture::with_wait_before_reducer(ms(140)),
    );
    assert_eq!(late.deadline + ms(140), prompt.deadline);
}

fn answer(effects: Vec<Effect>) -> Option<FinalAnswer> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer),
        _ => None,
    })
}

// An attempt is still being dialled as the client's time ends, so the request never ran. In time, that is said.
#[test]
fn turn_at_the_deadline_rejects_request_that_never_ran() {
    let mut fixture = Fixture::new(NON_IDEMPOTENT);
    let mut answered = None;
    for _ in 0..2_100 {
        answered = answered.or_else(|| answer(fixture.turn(1, vec![])));
    }
    assert!(
        matches!(answered, Some(FinalAnswer::Rejected { .. })),
        "{answered:?}"
    );
}

// The same on a machine so busy that the turn comes late, when the core's own timer is due as well. It fires before the
// decision module is asked, and fails the request as one that may have run.
#[test]
fn late_turn_after_the_deadline_rejects_request_that_never_ran() {
    let mut fixture = Fixture::new(NON_IDEMPOTENT);
    let answered = answer(fixture.turn(2_100, vec![]));
    assert!(
        matches!(answered, Some(FinalAnswer::Rejected { .. })),
        "{answered:?}"
    );
}

// Guards against a rejection, after which a client may retry, for a request whose attempt was written.
#[test]
fn late_turn_after_the_deadline_fails_request_that_may_have_run() {
    let mut fixture = Fixture::new(NON_IDEMPOTENT);
    assert!(fixture.permit.try_acquire(fixture.now).is_ok());
    let answered = answer(fixture.turn(2_100, vec![]));
    assert!(
        matches!(answered, Some(FinalAnswer::Failed(_))),
        "{answered:?}"
    );
}
