//! Exchange of endpoint lists between gateways: transfer in chunks, loss of datagrams, the byte
//! budget of answers, and rejection of outdated lists.

use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;
use valehatch_policy::{Span, Time};
use valehatch_recovery::endpoint_list::{
    DiscoveredEndpoint, EndpointListCache, ListScope, ListVersion,
};
use valehatch_recovery::list_exchange::{
    ANSWER_BYTES_PER_SECOND, ConfirmedList, Effect, ListExchange, MAX_DATAGRAM_BYTES,
};
use valehatch_recovery::trust::MAX_LIST_AGE;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7946))
}

fn version(revision: u64) -> ListVersion {
    ListVersion {
        source: address(200),
        revision,
    }
}

fn list(endpoints: usize, revision: u64) -> EndpointListCache {
    let endpoint = |n: usize| DiscoveredEndpoint {
        uid: format!("server-{n:04}"),
        endpoint: format!("10.1.{}.{}:5432", n / 250, n % 250),
        state: if n % 7 == 3 { "leaving" } else { "active" }.into(),
        mode: "read-only".into(),
        boot_ms: 1.7e12,
        ..DiscoveredEndpoint::default()
    };
    let mut list = EndpointListCache::default();
    let endpoints: Vec<_> = (0..endpoints).map(endpoint).collect();
    list.apply(version(revision), ListScope::Full, &endpoints);
    list
}

/// A list, and the time since discovery confirmed it.
struct AgedList {
    list: EndpointListCache,
    age: Span,
}

impl AgedList {
    fn confirmed(&self) -> ConfirmedList<'_> {
        ConfirmedList {
            list: &self.list,
            age: self.age,
        }
    }
}

struct Responder {
    exchange: ListExchange,
    list: Option<AgedList>,
}

fn aged(endpoints: usize, revision: u64, age: Span) -> Option<AgedList> {
    Some(AgedList {
        list: list(endpoints, revision),
        age,
    })
}

/// A gateway that requests a list and the gateways that may answer, connected by a network that
/// loses a fraction of all datagrams.
struct Simulation {
    requester: ListExchange,
    responders: Vec<Responder>,
    received: Option<(Vec<DiscoveredEndpoint>, ListVersion)>,
    loss: f64,
    rng: Xoshiro256PlusPlus,
    now: Time,
    answer_bytes: usize,
}

impl Simulation {
    fn new(lists: Vec<Option<AgedList>>, loss: f64) -> Self {
        let exchange = |seed| ListExchange::new(&[9], seed, Time(0));
        Self {
            requester: exchange(1),
            responders: lists
                .into_iter()
                .zip(2..)
                .map(|(list, seed)| Responder {
                    exchange: exchange(seed),
                    list,
                })
                .collect(),
            received: None,
            loss,
            rng: Xoshiro256PlusPlus::seed_from_u64(5),
            now: Time(0),
            answer_bytes: 0,
        }
    }

    fn drops_datagram(&mut self) -> bool {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX) < self.loss
    }

    /// Runs for `span` of simulated time, or until a list was received. A request and its answer
    /// take one step of 2 ms.
    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end && self.received.is_none() {
            self.now = self.now + Span::from_millis(2);
            let (now, mut out) = (self.now, vec![]);
            let count = u8::try_from(self.responders.len()).unwrap();
            self.requester.tick(
                now,
                |_| true,
                || (1..=count).map(address).collect(),
                &mut out,
            );
            while let Some(effect) = out.pop() {
                match effect {
                    Effect::ListReceived {
                        endpoints, version, ..
                    } => self.received = Some((endpoints, version)),
                    Effect::Send { to, bytes } => {
                        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                        let n = (1..=count).find(|n| address(*n) == to).unwrap();
                        if self.drops_datagram() {
                            continue;
                        }
                        let responder = &mut self.responders[usize::from(n) - 1];
                        let mut answers = vec![];
                        let list = responder.list.as_ref();
                        let confirmed = |_| list.map(AgedList::confirmed);
                        responder.exchange.receive(
                            now,
                            address(100),
                            &bytes,
                            confirmed,
                            &mut answers,
                        );
                        for answer in answers {
                            let Effect::Send { bytes, .. } = answer else {
                                panic!("an answering gateway must not receive a list")
                            };
                            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                            self.answer_bytes += bytes.len();
                            if !self.drops_datagram() {
                                self.requester.receive(now, to, &bytes, |_| None, &mut out);
                            }
                        }
                    }
                }
            }
        }
    }
}

#[rstest]
#[case::one_endpoint(1, 0.0)]
#[case::many_endpoints(120, 0.0)]
#[case::a_third_of_datagrams_lost(120, 0.33)]
fn requested_list_arrives_completely(#[case] endpoints: usize, #[case] loss: f64) {
    let answer = || aged(endpoints, 7, Span::from_millis(500));
    let mut simulation = Simulation::new(vec![answer(), answer(), answer(), answer()], loss);
    simulation.run(Span::from_millis(120_000));
    let (received, at) = simulation.received.expect("the list arrives within 120 s");
    assert_eq!(at, version(7));
    assert_eq!(
        received,
        list(endpoints, 7).endpoints().cloned().collect::<Vec<_>>()
    );
}

/// Most of the asked gateways have no list either. The requester must neither wait for them nor
/// flood them with requests.
#[test]
fn gateways_without_list_are_skipped_at_once() {
    let mut simulation = Simulation::new(vec![None, aged(20, 3, Span(0)), None], 0.0);
    simulation.run(Span::from_millis(1000));
    assert!(simulation.received.is_some());
    // If no gateway in the fleet has a list, requests become rare.
    let mut without_list = Simulation::new(vec![None, None], 0.0);
    without_list.run(Span::from_millis(60_000));
    assert!(
        without_list.received.is_none() && without_list.answer_bytes < 200,
        "{} bytes in a minute",
        without_list.answer_bytes
    );
}

/// The only list in the fleet is older than the maximum age, so that its addresses may belong to
/// other machines by now.
#[test]
fn list_confirmed_too_long_ago_is_ignored() {
    let mut simulation =
        Simulation::new(vec![aged(20, 3, MAX_LIST_AGE + Span::from_millis(1))], 0.0);
    simulation.run(Span::from_millis(10_000));
    assert!(simulation.received.is_none());
}

/// The answering gateway gets a newer list from discovery while it sends the old one in chunks. The
/// requester must start over, and must not mix endpoints of the two versions.
#[test]
fn list_changed_during_transfer_is_requested_again() {
    let mut simulation = Simulation::new(vec![aged(60, 1, Span(0))], 0.0);
    while simulation.answer_bytes < 1000 {
        simulation.run(Span::from_millis(2));
    }
    assert!(simulation.received.is_none(), "the transfer is in progress");
    simulation.responders[0].list = aged(40, 2, Span(0));
    simulation.run(Span::from_millis(20_000));
    let (endpoints, at) = simulation.received.unwrap();
    assert_eq!((endpoints.len(), at.revision), (40, 2));
}

/// Forty gateways without a list all ask the same gateway, whose answers must stay within its byte
/// budget.
#[test]
fn answers_to_many_requesters_stay_within_budget() {
    let mut responder = ListExchange::new(&[9], 1, Time(0));
    let list = list(120, 7);
    let confirmed = ConfirmedList {
        list: &list,
        age: Span(0),
    };
    let mut requesters: Vec<ListExchange> = (0..40)
        .map(|n| ListExchange::new(&[9], n, Time(0)))
        .collect();
    let mut by_second = vec![0.0; 11];
    let mut received = 0;
    for ms in 0..10_000 {
        let now = Time(ms * 1000);
        for (n, requester) in requesters.iter_mut().enumerate() {
            let mut out = vec![];
            requester.tick(now, |_| true, || vec![address(1)], &mut out);
            while let Some(effect) = out.pop() {
                let Effect::Send { bytes, .. } = effect else {
                    received += 1;
                    continue;
                };
                let mut answers = vec![];
                let from = address(u8::try_from(n + 2).unwrap());
                responder.receive(now, from, &bytes, |_| Some(confirmed), &mut answers);
                for answer in answers {
                    let Effect::Send { bytes, .. } = answer else {
                        continue;
                    };
                    by_second[usize::try_from(ms / 1000).unwrap()] += bytes.len() as f64;
                    requester.receive(now, address(1), &bytes, |_| None, &mut out);
                }
            }
        }
    }
    assert!(
        by_second
            .iter()
            .all(|b| *b <= 2.0 * ANSWER_BYTES_PER_SECOND),
        "{by_second:?}"
    );
    assert!(
        by_second[1..10]
            .iter()
            .all(|b| *b <= 1.05 * ANSWER_BYTES_PER_SECOND)
            && received > 0,
        "{by_second:?}, {received} received"
    );
}

/// A chunk arrives truncated, from a gateway that was not asked, or twice.
#[test]
fn unrequested_truncated_and_duplicate_chunks_are_ignored() {
    let mut simulation = Simulation::new(vec![aged(30, 1, Span(0))], 0.0);
    let (mut requests, mut answers) = (vec![], vec![]);
    simulation.requester.tick(
        Time(1_000_000),
        |_| true,
        || vec![address(1)],
        &mut requests,
    );
    simulation.requester.tick(
        Time(2_000_000),
        |_| true,
        || vec![address(1)],
        &mut requests,
    );
    let Some(Effect::Send { bytes, .. }) = requests.pop() else {
        panic!("the requester must send a request")
    };
    let list = list(2, 1);
    let confirmed = ConfirmedList {
        list: &list,
        age: Span(0),
    };
    simulation.responders[0].exchange.receive(
        Time(0),
        address(100),
        &bytes,
        |_| Some(confirmed),
        &mut answers,
    );
    let Some(Effect::Send { bytes, .. }) = answers.pop() else {
        panic!("the asked gateway must answer")
    };
    let mut out = vec![];
    for cut in 0..bytes.len() {
        simulation.requester.receive(
            Time(2_000_000),
            address(1),
            &bytes[..cut],
            |_| None,
            &mut out,
        );
    }
    simulation
        .requester
        .receive(Time(2_000_000), address(66), &bytes, |_| None, &mut out);
    assert_eq!(
        out,
        [],
        "a truncated chunk and one from another gateway are ignored"
    );
    simulation
        .requester
        .receive(Time(2_000_000), address(1), &bytes, |_| None, &mut out);
    assert!(
        matches!(out[..], [Effect::ListReceived { .. }]),
        "the same bytes from the asked gateway complete the list"
    );
    simulation
        .requester
        .receive(Time(2_000_000), address(1), &bytes, |_| None, &mut out);
    assert_eq!(out.len(), 1, "a duplicate is ignored");
}
