//! Ends of attempts on a transport whose connections are shared: a request is not retried before the
//! transport has reported that its attempt is no longer out.

mod support;

use std::sync::Arc;

use rstest::rstest;
use support::{config, incoming_request, listed_endpoint, ms};
use valehatch_core::{
    ClientId, ConnectionId, CoreConfig, Effect, Event, FinalAnswer, State, UpstreamJob,
    UpstreamReply, UpstreamTransport,
};
use valehatch_memory_budget::MemoryBudget;
use valehatch_policy::{EndpointState, Idempotency, Outcome, Time};

const START: Time = Time(100_000_000);
const CLIENT: ClientId = ClientId(1);
/// Class with an idempotency key.
const KEYED: usize = 0;
/// Longer than the policy waits for an unanswered attempt before it ejects the endpoint.
const LONGEST_WAIT_MS: i64 = 2_500;

/// A reducer with two endpoints and one request, whose attempt has been written.
struct Fixture {
    state: State,
    elapsed_ms: i64,
    connection: ConnectionId,
}

impl Fixture {
    fn new(transport: UpstreamTransport) -> Self {
        Self::with_config(CoreConfig {
            transport,
            ..config(ms(3_000))
        })
    }

    fn with_config(config: CoreConfig) -> Self {
        let mut fixture = Self::without_request(config);
        fixture.send_request();
        fixture
    }

    fn without_request(config: CoreConfig) -> Self {
        let mut fixture = Self {
            state: State::new(config, 1).unwrap(),
            elapsed_ms: 0,
            connection: ConnectionId(0),
        };
        let list = Event::EndpointList {
            complete: true,
            endpoints: vec![
                listed_endpoint(1, EndpointState::Ready, true),
                listed_endpoint(2, EndpointState::Ready, false),
            ],
        };
        fixture.turn(vec![list, Event::ClientConnected(CLIENT)]);
        fixture
    }

    /// Sends a request, and begins to write its attempt.
    fn send_request(&mut self) {
        let memory = Arc::new(MemoryBudget::new(0));
        let now = START + ms(self.elapsed_ms);
        let effects = self.turn(vec![Event::RequestReceived {
            client: CLIENT,
            ticket: 0,
            request: incoming_request(&memory, KEYED, now),
        }]);
        self.connection = written(&effects, now).expect("the attempt is sent");
    }

    fn turn(&mut self, events: Vec<Event>) -> Vec<Effect> {
        let mut effects = vec![];
        let now = START + ms(self.elapsed_ms);
        self.state.reduce(now, events, &mut effects);
        self.state.check_invariants().unwrap();
        effects
    }

    /// Runs a turn every millisecond until an effect matches. Returns the effects of that turn.
    fn wait_for(&mut self, step: impl Fn(&Effect) -> bool) -> Option<Vec<Effect>> {
        let end = self.elapsed_ms + LONGEST_WAIT_MS;
        while self.elapsed_ms < end {
            self.elapsed_ms += 1;
            let effects = self.turn(vec![]);
            if effects.iter().any(&step) {
                return Some(effects);
            }
        }
        None
    }

    fn attempt_ended(&mut self, outcome: Outcome) -> Vec<Effect> {
        let event = Event::AttemptEnded {
            connection: self.connection,
            reply: UpstreamReply {
                body: (outcome == Outcome::Ok).then(|| b"done".to_vec()),
                ..UpstreamReply::without_details(outcome)
            },
            reusable: false,
        };
        self.turn(vec![event])
    }

    fn cancels(&self, effect: &Effect) -> bool {
        matches!(effect, Effect::CancelAttempt(c) if *c == self.connection)
    }

    /// Waits until the attempt is cancelled.
    fn wait_for_cancel(&mut self) {
        let connection = self.connection;
        let cancelled =
            self.wait_for(|effect| matches!(effect, Effect::CancelAttempt(c) if *c == connection));
        assert!(cancelled.is_some());
    }
}

/// The connection of the attempt that is submitted, once it has begun to be written.
fn written(effects: &[Effect], now: Time) -> Option<ConnectionId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Submit {
            connection,
            job: UpstreamJob::Request { permit, .. },
        } => {
            permit.try_acquire(now).unwrap();
            Some(*connection)
        }
        _ => None,
    })
}

const fn submits(effect: &Effect) -> bool {
    matches!(effect, Effect::Submit { .. })
}

const fn answers(effect: &Effect) -> bool {
    matches!(effect, Effect::Answer { .. })
}

/// Guards against a retry while the attempt at an unresponsive endpoint is still out: on a shared
/// connection a cancelled attempt goes on.
#[test]
fn cancelled_attempt_is_retried_once_the_transport_reports_its_end() {
    let mut fixture = Fixture::new(UpstreamTransport::Multiplexed);
    fixture.wait_for_cancel();
    let cancelled_at = fixture.elapsed_ms;
    while fixture.elapsed_ms < cancelled_at + 500 {
        fixture.elapsed_ms += 1;
        let effects = fixture.turn(vec![]);
        assert!(!effects.iter().any(submits), "the attempt is still out");
    }
    fixture.attempt_ended(Outcome::Cancelled);
    assert!(fixture.wait_for(submits).is_some());
}

#[test]
fn cancelled_attempt_is_answered_its_answer_is_final() {
    let mut fixture = Fixture::new(UpstreamTransport::Multiplexed);
    fixture.wait_for_cancel();
    fixture.elapsed_ms += 100;
    let effects = fixture.attempt_ended(Outcome::Ok);
    let served = |effect: &Effect| {
        matches!(
            effect,
            Effect::Answer {
                answer: FinalAnswer::Served(_),
                ..
            }
        )
    };
    assert!(effects.iter().any(served), "{effects:?}");
    assert!(fixture.wait_for(submits).is_none());
}

#[test]
fn cancelled_attempt_does_not_end_request_fails_at_its_deadline() {
    let mut fixture = Fixture::new(UpstreamTransport::Multiplexed);
    fixture.wait_for_cancel();
    let effects = fixture.wait_for(answers).expect("a final answer");
    let failed = |effect: &Effect| {
        matches!(
            effect,
            Effect::Answer {
                answer: FinalAnswer::Failed(_),
                ..
            }
        )
    };
    assert!(effects.iter().any(failed), "{effects:?}");
    assert!(fixture.elapsed_ms <= 2_000, "the client's own timeout");
    assert!(!effects.iter().any(submits));
}

/// If attempts cannot be cancelled, they have a timeout that leaves time for a retry.
#[test]
fn attempt_times_out_it_is_retried_once_the_transport_reports_its_end() {
    let mut config = CoreConfig {
        transport: UpstreamTransport::Multiplexed,
        ..config(ms(3_000))
    };
    config.settings.limits.cancel = false;
    config.settings.classes[KEYED].idempotency = Idempotency::Idempotent;
    let mut fixture = Fixture::with_config(config);
    fixture.wait_for_cancel();
    assert!(fixture.elapsed_ms < 1_500, "there is time for a retry");
    fixture.elapsed_ms += 200;
    assert!(!fixture.turn(vec![]).iter().any(submits));
    fixture.attempt_ended(Outcome::Cancelled);
    assert!(fixture.wait_for(submits).is_some());
}

#[rstest]
#[case::exclusive(UpstreamTransport::Exclusive)]
#[case::multiplexed(UpstreamTransport::Multiplexed)]
fn shutdown_end_ends_attempt_before_the_answer(#[case] transport: UpstreamTransport) {
    let mut fixture = Fixture::without_request(CoreConfig {
        transport,
        ..config(ms(3_000))
    });
    fixture.turn(vec![Event::ShutdownRequested]);
    fixture.elapsed_ms = 3_350;
    fixture.send_request();
    let effects = fixture.wait_for(answers).expect("a final answer");
    let ends = |effect: &Effect| match transport {
        UpstreamTransport::Exclusive => {
            matches!(effect, Effect::CloseUpstream(c) if *c == fixture.connection)
        }
        UpstreamTransport::Multiplexed => fixture.cancels(effect),
    };
    let ended_at = effects.iter().position(ends);
    let answered_at = effects.iter().position(answers);
    assert!(ended_at.is_some(), "{effects:?}");
    assert!(ended_at < answered_at, "{effects:?}");
}
