//! Each rule of the streams by itself, and all of them under arbitrary happenings.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use valehatch_policy::{Span, Time};
use valehatch_stream_multiplexing::{
    AttemptFailure, FrameOwner, JobId, MultiplexedConnectionId, MultiplexerAction, Settings,
    StreamMultiplexer,
};

fn settings() -> Settings {
    let whole = Settings::new(Span::from_millis(250), Span::from_millis(10_000));
    Settings {
        ids: 8,
        most: 4,
        crowded: 2,
        links: 2,
        orphans: 2,
        waiting: 3,
        ..whole
    }
}

const fn ms(n: i64) -> Time {
    Time(n * 1000)
}

struct Scene {
    streams: StreamMultiplexer,
    out: Vec<MultiplexerAction>,
}

impl Scene {
    fn new(settings: Settings) -> Self {
        Self {
            streams: StreamMultiplexer::new(settings).unwrap(),
            out: vec![],
        }
    }
    fn up() -> Self {
        let mut scene = Self::new(settings());
        scene.submit(0, 1);
        assert_eq!(
            scene.taken(),
            [MultiplexerAction::Open(MultiplexedConnectionId(1))]
        );
        scene
            .streams
            .opened(ms(1), MultiplexedConnectionId(1), &mut scene.out);
        assert_eq!(scene.taken(), [send(1, 0, 1)]);
        scene
    }
    fn submit(&mut self, at: i64, job: u64) {
        self.streams.submit(ms(at), JobId(job), &mut self.out);
    }
    fn cancel(&mut self, at: i64, job: u64) {
        self.streams.cancel(ms(at), JobId(job), &mut self.out);
    }
    fn tick(&mut self, at: i64) -> Vec<MultiplexerAction> {
        self.streams.tick(ms(at), &mut self.out);
        self.taken()
    }
    fn taken(&mut self) -> Vec<MultiplexerAction> {
        self.streams.check().unwrap();
        std::mem::take(&mut self.out)
    }
}

const fn send(link: u64, stream: i16, job: u64) -> MultiplexerAction {
    MultiplexerAction::Send {
        link: MultiplexedConnectionId(link),
        stream,
        job: JobId(job),
    }
}

const fn end(job: u64, how: AttemptFailure) -> MultiplexerAction {
    MultiplexerAction::AttemptFailed(JobId(job), how)
}

#[test]
fn an_id_is_not_used_again_before_all_others_were() {
    let mut scene = Scene::up();
    let mut used = vec![0];
    for n in 2..10 {
        let FrameOwner::Job(job) =
            scene
                .streams
                .answer(ms(2), MultiplexedConnectionId(1), *used.last().unwrap())
        else {
            panic!()
        };
        scene.streams.done(ms(2), job, &mut scene.out);
        scene.submit(2, n);
        let [MultiplexerAction::Send { stream, .. }] = scene.taken()[..] else {
            panic!()
        };
        used.push(stream);
    }
    assert_eq!(used, [0, 1, 2, 3, 4, 5, 6, 7, 0]);
}

#[test]
fn an_orphans_id_waits_for_its_answer_and_too_many_end_the_link_with_all_on_it() {
    let mut scene = Scene::up();
    scene.submit(1, 2);
    scene.submit(1, 3);
    scene.submit(1, 4);
    // Links that are crowded get company; this one has none yet.
    assert!(
        scene
            .taken()
            .contains(&MultiplexerAction::Open(MultiplexedConnectionId(2)))
    );
    scene
        .streams
        .lost(ms(1), MultiplexedConnectionId(2), &mut scene.out);
    assert_eq!(scene.taken(), []);
    (0..3).for_each(|stream| scene.streams.begun(MultiplexedConnectionId(1), stream));
    // Something was heard since: the node lives, it only is slow with this one.
    scene
        .streams
        .heard(ms(5), MultiplexedConnectionId(1), &mut scene.out);
    scene.cancel(6, 1);
    scene.cancel(6, 2);
    assert_eq!(scene.taken(), []);
    assert_eq!(
        scene.streams.answer(ms(7), MultiplexedConnectionId(1), 0),
        FrameOwner::Nobodys
    );
    assert_eq!(
        scene.streams.answer(ms(7), MultiplexedConnectionId(1), 0),
        FrameOwner::Unasked,
        "a second answer"
    );
    assert_eq!(
        scene.streams.answer(ms(7), MultiplexedConnectionId(1), 7),
        FrameOwner::Unasked,
        "never asked for"
    );
    scene.submit(8, 5);
    scene.streams.begun(MultiplexedConnectionId(1), 4);
    scene.taken();
    scene
        .streams
        .heard(ms(9), MultiplexedConnectionId(1), &mut scene.out);
    scene.cancel(10, 5);
    assert_eq!(scene.taken(), [], "two orphans are borne");
    scene.cancel(10, 3);
    assert_eq!(
        scene.taken(),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            end(4, AttemptFailure::Unsent)
        ]
    );
    assert_eq!(
        scene.streams.size(),
        (0, 1),
        "the other one is still being opened"
    );
}

#[test]
fn what_a_lost_link_means_depends_on_whether_bytes_had_begun_to_leave() {
    let mut scene = Scene::up();
    scene.submit(1, 2);
    scene.taken();
    scene.streams.begun(MultiplexedConnectionId(1), 0);
    scene
        .streams
        .lost(ms(2), MultiplexedConnectionId(1), &mut scene.out);
    assert_eq!(
        scene.taken(),
        [end(1, AttemptFailure::Lost), end(2, AttemptFailure::Unsent)]
    );
}

#[test]
fn a_silent_link_gets_a_heartbeat_and_nothing_new_and_is_given_up() {
    let mut scene = Scene::up();
    scene.streams.begun(MultiplexedConnectionId(1), 0);
    scene.cancel(100, 1);
    assert_eq!(
        scene.taken(),
        [MultiplexerAction::Beat {
            link: MultiplexedConnectionId(1),
            stream: 1
        }]
    );
    scene.submit(100, 2);
    assert_eq!(
        scene.taken(),
        [MultiplexerAction::Open(MultiplexedConnectionId(2))],
        "not to the one that is silent"
    );
    scene
        .streams
        .opened(ms(101), MultiplexedConnectionId(2), &mut scene.out);
    assert_eq!(scene.taken(), [send(2, 0, 2)]);
    scene.streams.begun(MultiplexedConnectionId(2), 0);
    assert_eq!(scene.tick(599), []);
    assert_eq!(
        scene.tick(640),
        [MultiplexerAction::Close(MultiplexedConnectionId(1))]
    );
    // One that says something goes on.
    let mut scene = Scene::up();
    scene.streams.begun(MultiplexedConnectionId(1), 0);
    scene.cancel(100, 1);
    scene.submit(100, 2);
    scene.taken();
    scene
        .streams
        .heard(ms(300), MultiplexedConnectionId(1), &mut scene.out);
    assert_eq!(scene.taken(), [send(1, 2, 2)]);
    assert_eq!(
        scene.tick(700),
        [
            MultiplexerAction::Unqueue {
                link: MultiplexedConnectionId(1),
                stream: 2
            },
            end(2, AttemptFailure::Unsent)
        ]
    );
}

#[test]
fn a_quiet_link_with_something_on_it_is_asked_whether_it_lives() {
    let mut scene = Scene::up();
    scene.streams.begun(MultiplexedConnectionId(1), 0);
    assert_eq!(scene.tick(900), []);
    assert_eq!(
        scene.tick(1_001),
        [MultiplexerAction::Beat {
            link: MultiplexedConnectionId(1),
            stream: 1
        }]
    );
    assert_eq!(scene.tick(1_400), []);
    assert_eq!(
        scene.tick(1_501),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            end(1, AttemptFailure::Lost)
        ]
    );
}

#[test]
fn nothing_waits_or_stands_unwritten_for_longer_than_patience() {
    let mut scene = Scene::new(settings());
    (1..=4).for_each(|job| scene.submit(0, job));
    assert_eq!(
        scene.taken(),
        [
            MultiplexerAction::Open(MultiplexedConnectionId(1)),
            end(4, AttemptFailure::Unsent)
        ],
        "three may wait"
    );
    assert_eq!(scene.tick(249), []);
    scene.submit(249, 5);
    assert_eq!(scene.taken(), [end(5, AttemptFailure::Unsent)]);
    let gone = [1, 2, 3].map(|job| end(job, AttemptFailure::Unsent));
    // Ticks that come thick are passed over: none later than a thirty-second of a second.
    assert_eq!(scene.tick(282), gone);
    // Written to the queue and never begun.
    let mut scene = Scene::up();
    assert_eq!(
        scene.tick(260),
        [
            MultiplexerAction::Unqueue {
                link: MultiplexedConnectionId(1),
                stream: 0
            },
            end(1, AttemptFailure::Unsent)
        ]
    );
}

#[test]
fn a_node_that_cannot_be_reached_ends_what_waits_at_once() {
    let mut scene = Scene::new(settings());
    scene.submit(0, 1);
    scene.taken();
    scene
        .streams
        .lost(ms(1), MultiplexedConnectionId(1), &mut scene.out);
    assert_eq!(scene.taken(), [end(1, AttemptFailure::Unsent)]);
}

#[test]
fn what_was_answered_may_go_on_under_another_id_while_the_link_lasts() {
    let mut scene = Scene::up();
    assert_eq!(
        scene.streams.answer(ms(2), MultiplexedConnectionId(1), 0),
        FrameOwner::Job(JobId(1))
    );
    assert!(scene.streams.again(ms(2), JobId(1), &mut scene.out));
    assert_eq!(scene.taken(), [send(1, 1, 1)]);
    assert_eq!(
        scene.streams.answer(ms(3), MultiplexedConnectionId(1), 1),
        FrameOwner::Job(JobId(1))
    );
    scene
        .streams
        .lost(ms(3), MultiplexedConnectionId(1), &mut scene.out);
    assert!(!scene.streams.again(ms(3), JobId(1), &mut scene.out));
    assert_eq!((scene.taken(), scene.streams.size()), (vec![], (0, 0)));
}

#[test]
fn an_idle_link_is_closed() {
    let mut scene = Scene::up();
    scene.streams.answer(ms(2), MultiplexedConnectionId(1), 0);
    scene.streams.done(ms(2), JobId(1), &mut scene.out);
    assert_eq!(scene.tick(9_900), []);
    assert_eq!(
        scene.tick(10_010),
        [MultiplexerAction::Close(MultiplexedConnectionId(1))]
    );
}

#[test]
fn settings_out_of_bounds_are_named() {
    let faulty = |settings: Settings| StreamMultiplexer::new(settings).err().unwrap();
    assert!(
        faulty(Settings {
            ids: 0,
            ..settings()
        })
        .contains("ids")
    );
    assert!(
        faulty(Settings {
            ids: 40_000,
            ..settings()
        })
        .contains("ids")
    );
    assert!(
        faulty(Settings {
            most: 9,
            ..settings()
        })
        .contains("most")
    );
    assert!(
        faulty(Settings {
            links: 0,
            ..settings()
        })
        .contains("links")
    );
    assert!(
        faulty(Settings {
            quiet: Span(0),
            ..settings()
        })
        .contains("times")
    );
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit,
    Open(bool),
    Begin,
    Answer,
    Again,
    Cancel(usize),
    Break,
    Pass(i64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Submit),
        2 => any::<bool>().prop_map(Step::Open),
        5 => Just(Step::Begin),
        5 => Just(Step::Answer),
        1 => Just(Step::Again),
        2 => any::<usize>().prop_map(Step::Cancel),
        1 => Just(Step::Break),
        3 => (1..300_i64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Each job ends once, or is answered, or was called off; no id carries two; what was never begun is never `Lost`, and
    /// what had begun is never `Unsent`; bounds hold after every step.
    #[test]
    fn every_job_has_one_end_and_no_id_carries_two(steps in prop::collection::vec(step(), 1..200)) {
        let mut streams = StreamMultiplexer::new(settings()).unwrap();
        let (mut now, mut next) = (0, 0);
        // A model of the wire: what is queued, what has left, by link and id; what is over.
        let mut opening = BTreeSet::new();
        let mut queued: BTreeMap<(MultiplexedConnectionId, i16), Option<JobId>> = BTreeMap::new();
        let mut left: BTreeMap<(MultiplexedConnectionId, i16), Option<JobId>> = BTreeMap::new();
        let mut open: BTreeSet<JobId> = BTreeSet::new();
        for step in steps {
            let mut out = vec![];
            let begun: BTreeSet<JobId> = left.values().flatten().copied().collect();
            match step {
                Step::Submit => {
                    next += 1;
                    open.insert(JobId(next));
                    streams.submit(ms(now), JobId(next), &mut out);
                }
                Step::Open(up) => if let Some(link) = opening.pop_first() {
                    if up { streams.opened(ms(now), link, &mut out); } else { streams.lost(ms(now), link, &mut out); }
                },
                Step::Begin => if let Some(((link, id), job)) = queued.pop_first() {
                    streams.begun(link, id);
                    left.insert((link, id), job);
                },
                Step::Answer | Step::Again => if let Some(((link, id), job)) = left.pop_first() {
                    streams.heard(ms(now), link, &mut out);
                    match streams.answer(ms(now), link, id) {
                        FrameOwner::Job(whose) => {
                            prop_assert_eq!(Some(whose), job, "the answer of another");
                            let goes_on = matches!(step, Step::Again);
                            if !goes_on || !streams.again(ms(now), whose, &mut out) {
                                open.remove(&whose);
                                streams.done(ms(now), whose, &mut out);
                            }
                        }
                        FrameOwner::Nobodys => prop_assert!(job.is_none_or(|j| !open.contains(&j))),
                        FrameOwner::Unasked => prop_assert!(false, "{:?} {} was asked", link, id),
                    }
                },
                Step::Cancel(n) => if let Some(job) = open.iter().nth(n % open.len().max(1)).copied() {
                    open.remove(&job);
                    streams.cancel(ms(now), job, &mut out);
                },
                Step::Break => if let Some(link) = left.keys().chain(queued.keys()).map(|(l, _)| *l).next() {
                    left.retain(|(l, _), _| *l != link);
                    queued.retain(|(l, _), _| *l != link);
                    streams.lost(ms(now), link, &mut out);
                },
                Step::Pass(by) => {
                    now += by;
                    streams.tick(ms(now), &mut out);
                }
            }
            for what in out {
                match what {
                    MultiplexerAction::Open(link) => { opening.insert(link); }
                    MultiplexerAction::Send { link, stream, job } => {
                        prop_assert!(!left.contains_key(&(link, stream)), "an id carries two");
                        prop_assert!(queued.insert((link, stream), Some(job)).is_none(), "an id carries two");
                    }
                    MultiplexerAction::Beat { link, stream } => {
                        prop_assert!(!left.contains_key(&(link, stream)), "an id carries two");
                        prop_assert!(queued.insert((link, stream), None).is_none(), "an id carries two");
                    }
                    MultiplexerAction::Unqueue { link, stream } => prop_assert!(queued.remove(&(link, stream)).is_some()),
                    MultiplexerAction::Close(link) => {
                        left.retain(|(l, _), _| *l != link);
                        queued.retain(|(l, _), _| *l != link);
                    }
                    MultiplexerAction::AttemptFailed(job, how) => {
                        prop_assert!(open.remove(&job), "{:?} ends twice", job);
                        prop_assert_eq!(how == AttemptFailure::Lost, begun.contains(&job), "{:?}", job);
                    }
                }
            }
            streams.check().map_err(TestCaseError::fail)?;
            prop_assert_eq!(streams.size().0, open.len());
        }
    }
}
