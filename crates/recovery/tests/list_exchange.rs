//! Endpoint lists requested from other gateways: in chunks, over losses, within a budget, and never
//! an old one.

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

/// A list and how long ago discovery confirmed it.
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

struct Answerer {
    exchange: ListExchange,
    list: Option<AgedList>,
}

fn aged(endpoints: usize, revision: u64, age: Span) -> Option<AgedList> {
    Some(AgedList {
        list: list(endpoints, revision),
        age,
    })
}

/// A gateway that requests a list, and those that may answer, on a network that loses a fraction of
/// all datagrams.
struct Simulation {
    requester: ListExchange,
    answerers: Vec<Answerer>,
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
            answerers: lists
                .into_iter()
                .zip(2..)
                .map(|(list, seed)| Answerer {
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

    /// Runs for so long, or until a list was received; each way over the network takes a
    /// millisecond.
    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end && self.received.is_none() {
            self.now = self.now + Span::from_millis(2);
            let (now, mut out) = (self.now, vec![]);
            let count = u8::try_from(self.answerers.len()).unwrap();
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
                        let answerer = &mut self.answerers[usize::from(n) - 1];
                        let mut answers = vec![];
                        let list = answerer.list.as_ref();
                        let confirmed = |_| list.map(AgedList::confirmed);
                        answerer.exchange.receive(
                            now,
                            address(100),
                            &bytes,
                            confirmed,
                            &mut answers,
                        );
                        for answer in answers {
                            let Effect::Send { bytes, .. } = answer else {
                                panic!("an answerer receives no list")
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
    let (received, at) = simulation.received.expect("received");
    assert_eq!(at, version(7));
    assert_eq!(
        received,
        list(endpoints, 7).endpoints().cloned().collect::<Vec<_>>()
    );
}

/// Most gateways have no list either. The requester must not wait for them, nor flood them.
#[test]
fn gateways_without_list_are_skipped_at_once() {
    let mut simulation = Simulation::new(vec![None, aged(20, 3, Span(0)), None], 0.0);
    simulation.run(Span::from_millis(1000));
    assert!(simulation.received.is_some());
    // Without any list in the fleet, requests become rare.
    let mut alone = Simulation::new(vec![None, None], 0.0);
    alone.run(Span::from_millis(60_000));
    assert!(
        alone.received.is_none() && alone.answer_bytes < 200,
        "{} bytes in a minute",
        alone.answer_bytes
    );
}

/// The only list in the fleet is old: its addresses may belong to other machines by now.
#[test]
fn list_confirmed_too_long_ago_is_ignored() {
    let mut simulation =
        Simulation::new(vec![aged(20, 3, MAX_LIST_AGE + Span::from_millis(1))], 0.0);
    simulation.run(Span::from_millis(10_000));
    assert!(simulation.received.is_none());
}

/// The answering gateway gets a newer list from discovery while it sends the old one in chunks. The
/// requester starts again and never mixes endpoints of the two versions.
#[test]
fn list_changed_during_transfer_is_requested_again() {
    let mut simulation = Simulation::new(vec![aged(60, 1, Span(0))], 0.0);
    while simulation.answer_bytes < 1000 {
        simulation.run(Span::from_millis(2));
    }
    assert!(simulation.received.is_none(), "the transfer is in progress");
    simulation.answerers[0].list = aged(40, 2, Span(0));
    simulation.run(Span::from_millis(20_000));
    let (endpoints, at) = simulation.received.unwrap();
    assert_eq!((endpoints.len(), at.revision), (40, 2));
}

/// Forty gateways lose their lists and all ask the same one. Its answers stay within its budget.
#[test]
fn answers_to_many_requesters_stay_within_budget() {
    let mut answerer = ListExchange::new(&[9], 1, Time(0));
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
                answerer.receive(now, from, &bytes, |_| Some(confirmed), &mut answers);
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

/// A chunk comes from a gateway that was not asked, truncated, or twice.
#[test]
fn unrequested_and_truncated_chunks_are_ignored() {
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
        panic!("it sends a request")
    };
    let list = list(2, 1);
    let confirmed = ConfirmedList {
        list: &list,
        age: Span(0),
    };
    simulation.answerers[0].exchange.receive(
        Time(0),
        address(100),
        &bytes,
        |_| Some(confirmed),
        &mut answers,
    );
    let Some(Effect::Send { bytes, .. }) = answers.pop() else {
        panic!("it answers")
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
    assert_eq!(out, [], "from another gateway, or truncated");
    simulation
        .requester
        .receive(Time(2_000_000), address(1), &bytes, |_| None, &mut out);
    assert!(
        matches!(out[..], [Effect::ListReceived { .. }]),
        "the same bytes from the gateway that was asked"
    );
    simulation
        .requester
        .receive(Time(2_000_000), address(1), &bytes, |_| None, &mut out);
    assert_eq!(out.len(), 1, "once");
}
