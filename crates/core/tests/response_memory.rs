//! Requests are scheduled as far as there is memory for their responses: a client's first request
//! at once, further ones in order and in turns between clients.

mod support;

use std::sync::Arc;

use support::{config, incoming_request, listed_endpoint, ms};
use valehatch_core::{
    ClientId, ConnectionId, Effect, Event, FinalAnswer, ResponseLimits, ResponseMemory, State,
    UpstreamReply,
};
use valehatch_memory_budget::{MemoryBudget, MemoryUse};
use valehatch_policy::{EndpointState, Outcome, Time};

const KEYED: usize = 0;
const RESPONSE_BYTES: usize = 1024;
/// The budget has room for this many pipelined responses, and for a quarter of it per client.
const PIPELINED: usize = 8;
const PIPELINED_OF_CLIENT: usize = PIPELINED / 4;
const START: Time = Time(100_000_000);

/// An answer that the front has not written yet.
struct Answer {
    client: ClientId,
    ticket: u64,
    rejected: bool,
    memory: ResponseMemory,
}

struct Fixture {
    state: State,
    now: Time,
    budget: Arc<MemoryBudget>,
    next_name: u32,
    /// Connections with an attempt, in the order in which the attempts were submitted.
    submitted: Vec<ConnectionId>,
    answers: Vec<Answer>,
}

impl Fixture {
    fn new() -> Self {
        let budget = Arc::new(MemoryBudget::new(PIPELINED * RESPONSE_BYTES * 8));
        let mut config = config(ms(3_000));
        config.upstream_connection_limit = 64;
        config.response_limits = Some(ResponseLimits {
            budget: Arc::clone(&budget),
            response_bytes: RESPONSE_BYTES,
        });
        let mut fixture = Self {
            state: State::new(config, 1).unwrap(),
            now: START,
            budget,
            next_name: 0,
            submitted: vec![],
            answers: vec![],
        };
        fixture.turn(vec![Event::EndpointList {
            complete: true,
            endpoints: vec![listed_endpoint(1, EndpointState::Ready, true)],
        }]);
        fixture
    }

    fn turn(&mut self, events: Vec<Event>) {
        let mut effects = vec![];
        self.state.reduce(self.now, events, &mut effects);
        // A further turn follows immediately and passes pending events to the policy.
        self.state.reduce(self.now, vec![], &mut effects);
        self.state.check_invariants().unwrap();
        for effect in effects {
            match effect {
                Effect::Submit { connection, .. } => self.submitted.push(connection),
                Effect::Answer {
                    client,
                    ticket,
                    answer,
                    memory,
                    ..
                } => self.answers.push(Answer {
                    client,
                    ticket,
                    rejected: matches!(answer, FinalAnswer::Rejected { .. }),
                    memory,
                }),
                _ => {}
            }
        }
    }

    fn advance(&mut self, millis: i64) {
        self.now = self.now + ms(millis);
        self.turn(vec![]);
    }

    /// Receives requests of a client at once, with tickets from `first_ticket` on.
    fn receive(&mut self, client: u64, first_ticket: u64, count: u64) {
        let mut events = vec![];
        for ticket in first_ticket..first_ticket + count {
            self.next_name += 1;
            let mut request = incoming_request(&self.budget, KEYED, self.now);
            request.name = Some(self.next_name.to_string().into());
            events.push(Event::RequestReceived {
                client: ClientId(client),
                ticket,
                request,
            });
        }
        self.turn(events);
    }

    /// Ends all attempts in flight.
    fn serve_submitted(&mut self) {
        let ended = std::mem::take(&mut self.submitted).into_iter();
        let events = ended.map(|connection| Event::AttemptEnded {
            connection,
            reply: UpstreamReply {
                body: Some(b"done".to_vec()),
                ..UpstreamReply::without_details(Outcome::Ok)
            },
            reusable: true,
        });
        self.turn(events.collect());
    }

    /// Writes all answers, which releases their memory; returns their clients and tickets.
    fn write_answers(&mut self) -> Vec<(u64, u64)> {
        let mut written: Vec<_> = std::mem::take(&mut self.answers)
            .into_iter()
            .map(|answer| (answer.client.0, answer.ticket))
            .collect();
        written.sort_unstable();
        written
    }
}

#[test]
fn pipelined_requests_are_scheduled_in_order_as_responses_are_written() {
    let mut fixture = Fixture::new();
    fixture.receive(1, 0, 6);
    assert_eq!(fixture.submitted.len(), PIPELINED_OF_CLIENT);
    fixture.serve_submitted();
    fixture.advance(5);
    assert!(
        fixture.submitted.is_empty(),
        "the responses are not written yet"
    );
    let mut written = fixture.write_answers();
    while written.len() < 6 {
        fixture.advance(5);
        fixture.serve_submitted();
        let next = fixture.write_answers();
        assert!(!next.is_empty() && next.len() <= PIPELINED_OF_CLIENT);
        written.extend(next);
    }
    let expected: Vec<_> = (0..6).map(|ticket| (1, ticket)).collect();
    assert_eq!(written, expected);
    let held = MemoryUse::ALL.map(|usage| fixture.budget.used(usage));
    assert_eq!(held.iter().sum::<usize>(), 0, "all memory is released");
}

#[test]
fn other_clients_pipeline_all_they_may_first_request_of_a_client_is_scheduled() {
    let mut fixture = Fixture::new();
    for client in 1..=10 {
        fixture.receive(client, 0, 10);
    }
    let used = |fixture: &Fixture| {
        [MemoryUse::Responses, MemoryUse::PipelinedResponses]
            .map(|usage| fixture.budget.used(usage) / RESPONSE_BYTES)
    };
    assert_eq!(used(&fixture), [10, PIPELINED]);
    fixture.receive(100, 0, 1);
    assert_eq!(used(&fixture), [11, PIPELINED]);
}

/// The front reserves the response to a client's only request before the request is accepted.
#[test]
fn response_that_the_front_has_reserved_is_not_reserved_again() {
    let mut fixture = Fixture::new();
    let mut request = incoming_request(&fixture.budget, KEYED, fixture.now);
    let reserved = fixture.budget.reserve(MemoryUse::Responses, RESPONSE_BYTES);
    request.response_memory = Some(reserved);
    fixture.turn(vec![Event::RequestReceived {
        client: ClientId(1),
        ticket: 0,
        request,
    }]);
    assert_eq!(fixture.budget.used(MemoryUse::Responses), RESPONSE_BYTES);
    fixture.serve_submitted();
    fixture.write_answers();
    assert_eq!(fixture.budget.used(MemoryUse::Responses), 0);
}

#[test]
fn memory_that_is_released_goes_to_the_client_whose_turn_it_is() {
    let mut fixture = Fixture::new();
    // All but the last client get a pipelined request scheduled, and have one more held.
    let last = PIPELINED as u64 + 1;
    for client in 1..=last {
        fixture.receive(client, 0, 3);
    }
    while !fixture.submitted.is_empty() {
        fixture.serve_submitted();
    }
    fixture.answers.retain(|answer| answer.client.0 != 1);
    fixture
        .answers
        .iter()
        .for_each(|answer| assert_ne!((answer.client.0, answer.ticket), (last, 1)));
    fixture.advance(5);
    let before = fixture.answers.len();
    fixture.serve_submitted();
    let mut next: Vec<_> = fixture.answers[before..]
        .iter()
        .map(|answer| (answer.client.0, answer.ticket))
        .collect();
    next.sort_unstable();
    assert_eq!(
        next,
        [(1, 2), (last, 1)],
        "the first client's only request, and the last client's turn"
    );
}

#[test]
fn held_request_is_rejected_before_half_of_its_time() {
    let mut fixture = Fixture::new();
    fixture.receive(1, 0, 4);
    // The client's time-out is 2 s.
    fixture.advance(700);
    assert!(fixture.answers.is_empty());
    fixture.advance(110);
    let rejected: Vec<_> = fixture
        .answers
        .iter()
        .map(|answer| (answer.ticket, answer.rejected))
        .collect();
    assert_eq!(rejected, [(2, true), (3, true)]);
    for answer in &mut fixture.answers {
        answer.memory.shrink_to(1);
    }
    assert!(
        fixture.budget.used(MemoryUse::Requests) > 0,
        "the rejections hold memory until they are written"
    );
}

#[test]
fn client_with_held_requests_disconnects_nothing_is_left() {
    let mut fixture = Fixture::new();
    fixture.receive(1, 0, 6);
    fixture.turn(vec![Event::ClientDisconnected(ClientId(1))]);
    fixture.submitted.clear();
    fixture.advance(5);
    assert!(fixture.submitted.is_empty());
    let held = MemoryUse::ALL.map(|usage| fixture.budget.used(usage));
    assert_eq!(held.iter().sum::<usize>(), 0);
}
