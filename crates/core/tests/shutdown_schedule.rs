//! Times at which the reducer takes each step of a shutdown.

mod support;

use std::sync::Arc;

use rstest::rstest;
use support::{NON_IDEMPOTENT, config, incoming_request, ms};
use valehatch_core::{ClientId, Effect, Event, FinalAnswer, State};
use valehatch_memory_budget::MemoryBudget;
use valehatch_policy::{Span, Time};

const START: Time = Time(100_000_000);
const CLIENT: ClientId = ClientId(1);

/// A reducer with one client, which stays connected.
struct Fixture {
    state: State,
    elapsed_ms: i64,
}

impl Fixture {
    fn new(longest_deadline: Span, events: Vec<Event>) -> Self {
        let mut state = State::new(config(longest_deadline), 1).unwrap();
        let mut all = vec![Event::ClientConnected(CLIENT)];
        all.extend(events);
        state.reduce(START, all, &mut vec![]);
        Self {
            state,
            elapsed_ms: 0,
        }
    }

    fn turn(&mut self, events: Vec<Event>) -> Vec<Effect> {
        let mut effects = vec![];
        let now = START + ms(self.elapsed_ms);
        self.state.reduce(now, events, &mut effects);
        effects
    }

    /// Runs a turn every millisecond until an effect matches `step`. Returns the milliseconds since
    /// the start, or `None` if no effect matches within 5 s of the start.
    fn wait_for(&mut self, step: fn(&Effect) -> bool) -> Option<i64> {
        while self.elapsed_ms < 5_000 {
            let effects = self.turn(vec![]);
            if effects.iter().any(step) {
                return Some(self.elapsed_ms);
            }
            self.elapsed_ms += 1;
        }
        None
    }

    /// Sends a request. Returns its Retry-After, or `None` if it is accepted.
    fn retry_after(&mut self) -> Option<Span> {
        let memory = Arc::new(MemoryBudget::new(0));
        let received = START + ms(self.elapsed_ms);
        let request = incoming_request(&memory, NON_IDEMPOTENT, received);
        let effects = self.turn(vec![Event::RequestReceived {
            client: CLIENT,
            ticket: 1,
            request,
        }]);
        effects.iter().find_map(|effect| match effect {
            Effect::Answer {
                answer: FinalAnswer::Rejected { retry_after, .. },
                ..
            } => Some(*retry_after),
            _ => None,
        })
    }
}

const fn stops_listening(effect: &Effect) -> bool {
    matches!(effect, Effect::StopListening)
}

const fn closes_client(effect: &Effect) -> bool {
    matches!(effect, Effect::CloseClient(CLIENT))
}

const fn closes_idle_clients(effect: &Effect) -> bool {
    matches!(effect, Effect::CloseIdleClients)
}

const fn exits(effect: &Effect) -> bool {
    matches!(effect, Effect::Exit)
}

#[test]
fn shutdown_request_runs_steps_before_the_kill() {
    let mut fixture = Fixture::new(ms(3_000), vec![Event::ShutdownRequested]);
    assert_eq!(fixture.wait_for(stops_listening), Some(450));
    assert_eq!(fixture.wait_for(closes_client), Some(3_330));
    assert_eq!(fixture.wait_for(closes_idle_clients), Some(3_455));
    assert_eq!(fixture.wait_for(exits), Some(3_600));
}

// Each repetition would otherwise add timers that repeat until the exit, which may come late.
#[test]
fn repeated_shutdown_request_does_not_change_schedule() {
    let mut fixture = Fixture::new(ms(3_000), vec![Event::ShutdownRequested]);
    fixture.elapsed_ms = 1_000;
    fixture.turn(vec![Event::ShutdownRequested]);
    assert_eq!(fixture.wait_for(closes_idle_clients), Some(3_455));
    assert_eq!(fixture.wait_for(exits), Some(3_600));
    fixture.elapsed_ms = 4_700;
    let exits = fixture.turn(vec![]).into_iter().filter(exits);
    assert_eq!(exits.count(), 1, "one timer repeats the exit");
}

// If the deadlines of all classes are short, open requests receive their final answer before client
// connections begin to close. All client connections then close at the same time, and none earlier.
#[test]
fn short_deadlines_reject_requests_before_closing_clients() {
    let mut fixture = Fixture::new(ms(1_000), vec![Event::ShutdownRequested]);
    assert_eq!(fixture.wait_for(stops_listening), Some(450));
    assert_eq!(fixture.wait_for(closes_idle_clients), Some(1_530));
    assert_eq!(fixture.wait_for(exits), Some(1_600));
}

#[test]
fn handoff_closes_clients_and_exits_after_the_last_one() {
    let mut fixture = Fixture::new(ms(3_000), vec![]);
    let effects = fixture.turn(vec![Event::HandoffStarted]);
    assert!(effects.iter().any(stops_listening));
    assert_eq!(fixture.wait_for(closes_client), Some(100));
    assert!(
        !fixture.turn(vec![]).iter().any(exits),
        "a client is connected"
    );
    let effects = fixture.turn(vec![Event::ClientDisconnected(CLIENT)]);
    assert!(effects.iter().any(exits));
}

// A request that arrives late in a shutdown could be cut off, so it is rejected. After a handoff
// the other process accepts requests immediately, so they are rejected earlier and with the
// shortest Retry-After.
#[rstest]
#[case::before_requests_are_failed(vec![Event::ShutdownRequested], 3_449, None)]
#[case::when_requests_are_failed(vec![Event::ShutdownRequested], 3_450, Some(ms(125)))]
#[case::handoff_before_reject_lead(vec![Event::ShutdownRequested, Event::HandoffStarted], 3_199, None)]
#[case::handoff_at_reject_lead(vec![Event::ShutdownRequested, Event::HandoffStarted], 3_200, Some(ms(1)))]
#[case::handoff_alone(vec![Event::HandoffStarted], 3_600, None)]
fn request_late_in_shutdown_is_rejected(
    #[case] events: Vec<Event>,
    #[case] at_ms: i64,
    #[case] expected: Option<Span>,
) {
    let mut fixture = Fixture::new(ms(3_000), events);
    while fixture.elapsed_ms < at_ms {
        fixture.elapsed_ms += 1;
        fixture.turn(vec![]);
    }
    assert_eq!(fixture.retry_after(), expected);
}
