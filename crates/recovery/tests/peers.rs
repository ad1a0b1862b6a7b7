//! A list asked of other gateways: by pieces, over losses, within a budget, and never an old one.

use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;
use valehatch_policy::{Span, Time};
use valehatch_recovery::book::{DiscoveredEndpoint, EndpointListCache};
use valehatch_recovery::peers::{Effect, MOST, Peers, TELLS_S};
use valehatch_recovery::trust::LIST;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7946))
}

fn book(servers: usize, rev: u64) -> EndpointListCache {
    let listed = |n: usize| DiscoveredEndpoint {
        uid: format!("server-{n:04}"),
        endpoint: format!("10.1.{}.{}:5432", n / 250, n % 250),
        state: if n % 7 == 3 { "leaving" } else { "active" }.into(),
        mode: "read-only".into(),
        boot_ms: 1.7e12,
        ..DiscoveredEndpoint::default()
    };
    let mut book = EndpointListCache::default();
    book.take(
        address(200),
        rev,
        true,
        &(0..servers).map(listed).collect::<Vec<_>>(),
    );
    book
}

/// One that asks (0) and those that may tell, on a network that loses a part of all datagrams.
struct World {
    asker: Peers,
    tellers: Vec<(Peers, Option<(EndpointListCache, Span)>)>,
    learned: Option<(Vec<DiscoveredEndpoint>, (SocketAddr, u64))>,
    lost: f64,
    rng: Xoshiro256PlusPlus,
    now: Time,
    told_bytes: usize,
}

impl World {
    fn new(tellers: Vec<Option<(EndpointListCache, Span)>>, lost: f64) -> Self {
        let one = |seed| Peers::new(&[9], seed, Time(0));
        Self {
            asker: one(1),
            tellers: tellers
                .into_iter()
                .zip(2..)
                .map(|(b, seed)| (one(seed), b))
                .collect(),
            learned: None,
            lost,
            rng: Xoshiro256PlusPlus::seed_from_u64(5),
            now: Time(0),
            told_bytes: 0,
        }
    }

    fn loses(&mut self) -> bool {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX) < self.lost
    }

    /// Goes on for so long, or until a list was learned; each way over the network takes a millisecond.
    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end && self.learned.is_none() {
            self.now = self.now + Span::from_millis(2);
            let (now, mut out) = (self.now, vec![]);
            let count = u8::try_from(self.tellers.len()).unwrap();
            self.asker.tick(
                now,
                |_| true,
                || (1..=count).map(address).collect(),
                &mut out,
            );
            while let Some(effect) = out.pop() {
                match effect {
                    Effect::Learned { listed, told, .. } => self.learned = Some((listed, told)),
                    Effect::Send { to, bytes } => {
                        assert!(bytes.len() <= MOST);
                        let n = (1..=count).find(|n| address(*n) == to).unwrap();
                        if self.loses() {
                            continue;
                        }
                        let (teller, held) = &mut self.tellers[usize::from(n) - 1];
                        let mut answers = vec![];
                        let tells = |_| held.as_ref().map(|(book, age)| (book, *age));
                        teller.receive(now, address(100), &bytes, tells, &mut answers);
                        for answer in answers {
                            let Effect::Send { bytes, .. } = answer else {
                                panic!("a teller learns nothing")
                            };
                            assert!(bytes.len() <= MOST);
                            self.told_bytes += bytes.len();
                            if !self.loses() {
                                self.asker.receive(now, to, &bytes, |_| None, &mut out);
                            }
                        }
                    }
                }
            }
        }
    }
}

#[rstest]
#[case::one(1, 0.0)]
#[case::a_platform(120, 0.0)]
#[case::with_a_third_of_the_datagrams_lost(120, 0.33)]
fn a_list_comes_whole_with_its_drains(#[case] servers: usize, #[case] lost: f64) {
    let held = || Some((book(servers, 7), Span::from_millis(500)));
    let mut world = World::new(vec![held(), held(), held(), held()], lost);
    world.run(Span::from_millis(120_000));
    let (listed, told) = world.learned.expect("learned");
    assert_eq!(told, (address(200), 7));
    assert_eq!(
        listed,
        book(servers, 7).members().cloned().collect::<Vec<_>>()
    );
}

#[test]
fn those_that_hold_none_are_passed_over_at_once() {
    let mut world = World::new(vec![None, Some((book(20, 3), Span(0))), None], 0.0);
    world.run(Span::from_millis(1000));
    assert!(world.learned.is_some());
    // With nobody to ask, questions become seldom: none waits for another.
    let mut alone = World::new(vec![None, None], 0.0);
    alone.run(Span::from_millis(60_000));
    assert!(
        alone.learned.is_none() && alone.told_bytes < 200,
        "{} bytes in a minute",
        alone.told_bytes
    );
}

#[test]
fn a_list_that_discovery_confirmed_too_long_ago_is_not_taken() {
    let mut world = World::new(vec![Some((book(20, 3), LIST + Span::from_millis(1)))], 0.0);
    world.run(Span::from_millis(10_000));
    assert!(world.learned.is_none());
}

#[test]
fn a_list_that_changes_on_the_way_is_taken_from_its_beginning_and_never_mixed() {
    let mut world = World::new(vec![Some((book(60, 1), Span(0)))], 0.0);
    while world.told_bytes < 1000 {
        world.run(Span::from_millis(2));
    }
    assert!(world.learned.is_none(), "it is on its way");
    world.tellers[0].1 = Some((book(40, 2), Span(0)));
    world.run(Span::from_millis(20_000));
    let (listed, told) = world.learned.unwrap();
    assert_eq!((listed.len(), told.1), (40, 2));
}

#[test]
fn all_that_ask_one_together_get_no_more_than_its_budget() {
    let (mut teller, held) = (Peers::new(&[9], 1, Time(0)), book(120, 7));
    let mut askers: Vec<Peers> = (0..40).map(|n| Peers::new(&[9], n, Time(0))).collect();
    let mut by_second = vec![0.0; 11];
    let mut learned = 0;
    for ms in 0..10_000 {
        let now = Time(ms * 1000);
        for (n, asker) in askers.iter_mut().enumerate() {
            let mut out = vec![];
            asker.tick(now, |_| true, || vec![address(1)], &mut out);
            while let Some(effect) = out.pop() {
                let Effect::Send { bytes, .. } = effect else {
                    learned += 1;
                    continue;
                };
                let mut answers = vec![];
                let from = address(u8::try_from(n + 2).unwrap());
                teller.receive(now, from, &bytes, |_| Some((&held, Span(0))), &mut answers);
                for answer in answers {
                    let Effect::Send { bytes, .. } = answer else {
                        continue;
                    };
                    by_second[usize::try_from(ms / 1000).unwrap()] += bytes.len() as f64;
                    asker.receive(now, address(1), &bytes, |_| None, &mut out);
                }
            }
        }
    }
    assert!(
        by_second.iter().all(|b| *b <= 2.0 * TELLS_S),
        "{by_second:?}"
    );
    assert!(
        by_second[1..10].iter().all(|b| *b <= 1.05 * TELLS_S) && learned > 0,
        "{by_second:?}, {learned} learned"
    );
}

#[test]
fn pieces_that_were_not_asked_for_and_bytes_that_are_none_change_nothing() {
    let mut world = World::new(vec![Some((book(30, 1), Span(0)))], 0.0);
    let (mut ask, mut answers) = (vec![], vec![]);
    world
        .asker
        .tick(Time(1_000_000), |_| true, || vec![address(1)], &mut ask);
    world
        .asker
        .tick(Time(2_000_000), |_| true, || vec![address(1)], &mut ask);
    let Some(Effect::Send { bytes, .. }) = ask.pop() else {
        panic!("it asks")
    };
    let held = book(2, 1);
    world.tellers[0].0.receive(
        Time(0),
        address(100),
        &bytes,
        |_| Some((&held, Span(0))),
        &mut answers,
    );
    let Some(Effect::Send { bytes, .. }) = answers.pop() else {
        panic!("it tells")
    };
    let mut out = vec![];
    for cut in 0..bytes.len() {
        world.asker.receive(
            Time(2_000_000),
            address(1),
            &bytes[..cut],
            |_| None,
            &mut out,
        );
    }
    world
        .asker
        .receive(Time(2_000_000), address(66), &bytes, |_| None, &mut out);
    assert_eq!(out, [], "from another, or not whole");
    world
        .asker
        .receive(Time(2_000_000), address(1), &bytes, |_| None, &mut out);
    assert!(
        matches!(out[..], [Effect::Learned { .. }]),
        "the very same from the one that was asked"
    );
    world
        .asker
        .receive(Time(2_000_000), address(1), &bytes, |_| None, &mut out);
    assert_eq!(out.len(), 1, "once");
}
