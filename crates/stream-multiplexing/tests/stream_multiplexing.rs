//! Each rule of the multiplexer by itself, and all of them under random events.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use valehatch_policy::{Span, Time};
use valehatch_stream_multiplexing::{
    AttemptFailure, FrameOwner, JobId, MultiplexedConnectionId, MultiplexerAction, MultiplexerSize,
    Settings, StreamMultiplexer,
};

fn settings() -> Settings {
    let defaults = Settings::new(Span::from_millis(250), Span::from_millis(10_000));
    Settings {
        stream_ids: 8,
        max_jobs: 4,
        open_another_at: 2,
        max_connections: 2,
        max_orphans: 2,
        max_waiting: 3,
        ..defaults
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
            .connection_opened(ms(1), MultiplexedConnectionId(1), &mut scene.out);
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
        connection: MultiplexedConnectionId(link),
        stream,
        job: JobId(job),
    }
}

const fn end(job: u64, how: AttemptFailure) -> MultiplexerAction {
    MultiplexerAction::AttemptFailed(JobId(job), how)
}

#[test]
fn stream_id_is_reused_after_all_others() {
    let mut scene = Scene::up();
    let mut used = vec![0];
    for n in 2..10 {
        let FrameOwner::Job(job) =
            scene
                .streams
                .frame_received(ms(2), MultiplexedConnectionId(1), *used.last().unwrap())
        else {
            panic!()
        };
        scene.streams.finish(ms(2), job, &mut scene.out);
        scene.submit(2, n);
        let [MultiplexerAction::Send { stream, .. }] = scene.taken()[..] else {
            panic!()
        };
        used.push(stream);
    }
    assert_eq!(used, [0, 1, 2, 3, 4, 5, 6, 7, 0]);
}

#[test]
fn too_many_orphans_close_the_connection() {
    let mut scene = Scene::up();
    scene.submit(1, 2);
    scene.submit(1, 3);
    scene.submit(1, 4);
    // Another connection is opened beside a loaded one; it is not open yet.
    assert!(
        scene
            .taken()
            .contains(&MultiplexerAction::Open(MultiplexedConnectionId(2)))
    );
    scene
        .streams
        .connection_lost(ms(1), MultiplexedConnectionId(2), &mut scene.out);
    assert_eq!(scene.taken(), []);
    for stream in 0..3 {
        scene
            .streams
            .write_started(MultiplexedConnectionId(1), stream);
    }
    // Something was received since: the endpoint is alive, only slow with this job.
    scene
        .streams
        .bytes_received(ms(5), MultiplexedConnectionId(1), &mut scene.out);
    scene.cancel(6, 1);
    scene.cancel(6, 2);
    assert_eq!(scene.taken(), []);
    assert_eq!(
        scene
            .streams
            .frame_received(ms(7), MultiplexedConnectionId(1), 0),
        FrameOwner::Abandoned
    );
    assert_eq!(
        scene
            .streams
            .frame_received(ms(7), MultiplexedConnectionId(1), 0),
        FrameOwner::Unexpected,
        "a second answer"
    );
    assert_eq!(
        scene
            .streams
            .frame_received(ms(7), MultiplexedConnectionId(1), 7),
        FrameOwner::Unexpected,
        "never asked for"
    );
    scene.submit(8, 5);
    scene.streams.write_started(MultiplexedConnectionId(1), 4);
    scene.taken();
    scene
        .streams
        .bytes_received(ms(9), MultiplexedConnectionId(1), &mut scene.out);
    scene.cancel(10, 5);
    assert_eq!(scene.taken(), [], "two orphans are allowed");
    scene.cancel(10, 3);
    assert_eq!(
        scene.taken(),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            end(4, AttemptFailure::NotSent)
        ]
    );
    assert_eq!(
        scene.streams.size(),
        MultiplexerSize {
            jobs: 0,
            connections: 1
        },
        "the other one is still being opened"
    );
}

#[test]
fn lost_connection_tells_sent_jobs_from_unsent() {
    let mut scene = Scene::up();
    scene.submit(1, 2);
    scene.taken();
    scene.streams.write_started(MultiplexedConnectionId(1), 0);
    scene
        .streams
        .connection_lost(ms(2), MultiplexedConnectionId(1), &mut scene.out);
    assert_eq!(
        scene.taken(),
        [
            end(1, AttemptFailure::ConnectionLost),
            end(2, AttemptFailure::NotSent)
        ]
    );
}

#[test]
fn suspect_connection_gets_heartbeat_and_no_jobs() {
    let mut scene = Scene::up();
    scene.streams.write_started(MultiplexedConnectionId(1), 0);
    scene.cancel(100, 1);
    assert_eq!(
        scene.taken(),
        [MultiplexerAction::Heartbeat {
            connection: MultiplexedConnectionId(1),
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
        .connection_opened(ms(101), MultiplexedConnectionId(2), &mut scene.out);
    assert_eq!(scene.taken(), [send(2, 0, 2)]);
    scene.streams.write_started(MultiplexedConnectionId(2), 0);
    assert_eq!(scene.tick(599), []);
    assert_eq!(
        scene.tick(640),
        [MultiplexerAction::Close(MultiplexedConnectionId(1))]
    );
    // A connection that receives something goes on.
    let mut scene = Scene::up();
    scene.streams.write_started(MultiplexedConnectionId(1), 0);
    scene.cancel(100, 1);
    scene.submit(100, 2);
    scene.taken();
    scene
        .streams
        .bytes_received(ms(300), MultiplexedConnectionId(1), &mut scene.out);
    assert_eq!(scene.taken(), [send(1, 2, 2)]);
    assert_eq!(
        scene.tick(700),
        [
            MultiplexerAction::Unqueue {
                connection: MultiplexedConnectionId(1),
                stream: 2
            },
            end(2, AttemptFailure::NotSent)
        ]
    );
}

#[test]
fn quiet_connection_gets_heartbeat() {
    let mut scene = Scene::up();
    scene.streams.write_started(MultiplexedConnectionId(1), 0);
    assert_eq!(scene.tick(900), []);
    assert_eq!(
        scene.tick(1_001),
        [MultiplexerAction::Heartbeat {
            connection: MultiplexedConnectionId(1),
            stream: 1
        }]
    );
    assert_eq!(scene.tick(1_400), []);
    assert_eq!(
        scene.tick(1_501),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            end(1, AttemptFailure::ConnectionLost)
        ]
    );
}

#[test]
fn unwritten_jobs_fail_after_max_write_delay() {
    let mut scene = Scene::new(settings());
    for job in 1..=4 {
        scene.submit(0, job);
    }
    assert_eq!(
        scene.taken(),
        [
            MultiplexerAction::Open(MultiplexedConnectionId(1)),
            end(4, AttemptFailure::NotSent)
        ],
        "three may wait"
    );
    assert_eq!(scene.tick(249), []);
    scene.submit(249, 5);
    assert_eq!(scene.taken(), [end(5, AttemptFailure::NotSent)]);
    let gone = [1, 2, 3].map(|job| end(job, AttemptFailure::NotSent));
    // Ticks within a thirty-second of a second are skipped.
    assert_eq!(scene.tick(282), gone);
    // Queued, and its bytes never begin to leave.
    let mut scene = Scene::up();
    assert_eq!(
        scene.tick(260),
        [
            MultiplexerAction::Unqueue {
                connection: MultiplexedConnectionId(1),
                stream: 0
            },
            end(1, AttemptFailure::NotSent)
        ]
    );
}

#[test]
fn unreachable_endpoint_fails_waiting_jobs() {
    let mut scene = Scene::new(settings());
    scene.submit(0, 1);
    scene.taken();
    scene
        .streams
        .connection_lost(ms(1), MultiplexedConnectionId(1), &mut scene.out);
    assert_eq!(scene.taken(), [end(1, AttemptFailure::NotSent)]);
}

#[test]
fn answered_job_may_send_more_on_its_connection() {
    let mut scene = Scene::up();
    assert_eq!(
        scene
            .streams
            .frame_received(ms(2), MultiplexedConnectionId(1), 0),
        FrameOwner::Job(JobId(1))
    );
    assert!(scene.streams.resubmit(ms(2), JobId(1), &mut scene.out));
    assert_eq!(scene.taken(), [send(1, 1, 1)]);
    assert_eq!(
        scene
            .streams
            .frame_received(ms(3), MultiplexedConnectionId(1), 1),
        FrameOwner::Job(JobId(1))
    );
    scene
        .streams
        .connection_lost(ms(3), MultiplexedConnectionId(1), &mut scene.out);
    assert!(!scene.streams.resubmit(ms(3), JobId(1), &mut scene.out));
    assert_eq!(
        (scene.taken(), scene.streams.size()),
        (vec![], MultiplexerSize::default())
    );
}

#[test]
fn idle_connection_is_closed() {
    let mut scene = Scene::up();
    scene
        .streams
        .frame_received(ms(2), MultiplexedConnectionId(1), 0);
    scene.streams.finish(ms(2), JobId(1), &mut scene.out);
    assert_eq!(scene.tick(9_900), []);
    assert_eq!(
        scene.tick(10_010),
        [MultiplexerAction::Close(MultiplexedConnectionId(1))]
    );
}

#[test]
fn settings_out_of_bounds_are_reported() {
    let faulty = |settings: Settings| StreamMultiplexer::new(settings).err().unwrap().to_string();
    assert!(
        faulty(Settings {
            stream_ids: 0,
            ..settings()
        })
        .contains("ids")
    );
    assert!(
        faulty(Settings {
            stream_ids: 40_000,
            ..settings()
        })
        .contains("ids")
    );
    assert!(
        faulty(Settings {
            max_jobs: 9,
            ..settings()
        })
        .contains("most")
    );
    assert!(
        faulty(Settings {
            max_connections: 0,
            ..settings()
        })
        .contains("links")
    );
    assert!(
        faulty(Settings {
            heartbeat_after: Span(0),
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

    /// Each job ends once, or is answered, or was cancelled; no stream id carries two. A job whose bytes never left does
    /// not end as `ConnectionLost`, one whose bytes began to leave not as `NotSent`. Bounds hold after every step.
    #[test]
    fn jobs_end_once_and_stream_ids_are_unique(steps in prop::collection::vec(step(), 1..200)) {
        let mut streams = StreamMultiplexer::new(settings()).unwrap();
        let (mut now, mut next) = (0, 0);
        // A model of the wire: what is queued and what has left, by connection and stream id; which jobs are open.
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
                    if up { streams.connection_opened(ms(now), link, &mut out); } else { streams.connection_lost(ms(now), link, &mut out); }
                },
                Step::Begin => if let Some(((link, id), job)) = queued.pop_first() {
                    streams.write_started(link, id);
                    left.insert((link, id), job);
                },
                Step::Answer | Step::Again => if let Some(((link, id), job)) = left.pop_first() {
                    streams.bytes_received(ms(now), link, &mut out);
                    match streams.frame_received(ms(now), link, id) {
                        FrameOwner::Job(whose) => {
                            prop_assert_eq!(Some(whose), job, "the answer of another");
                            let goes_on = matches!(step, Step::Again);
                            if !goes_on || !streams.resubmit(ms(now), whose, &mut out) {
                                open.remove(&whose);
                                streams.finish(ms(now), whose, &mut out);
                            }
                        }
                        FrameOwner::Abandoned => prop_assert!(job.is_none_or(|j| !open.contains(&j))),
                        FrameOwner::Unexpected => prop_assert!(false, "{:?} {} was asked", link, id),
                    }
                },
                Step::Cancel(n) => if let Some(job) = open.iter().nth(n % open.len().max(1)).copied() {
                    open.remove(&job);
                    streams.cancel(ms(now), job, &mut out);
                },
                Step::Break => if let Some(link) = left.keys().chain(queued.keys()).map(|(l, _)| *l).next() {
                    left.retain(|(l, _), _| *l != link);
                    queued.retain(|(l, _), _| *l != link);
                    streams.connection_lost(ms(now), link, &mut out);
                },
                Step::Pass(by) => {
                    now += by;
                    streams.tick(ms(now), &mut out);
                }
            }
            for what in out {
                match what {
                    MultiplexerAction::Open(link) => { opening.insert(link); }
                    MultiplexerAction::Send { connection: link, stream, job } => {
                        prop_assert!(!left.contains_key(&(link, stream)), "an id carries two");
                        prop_assert!(queued.insert((link, stream), Some(job)).is_none(), "an id carries two");
                    }
                    MultiplexerAction::Heartbeat { connection: link, stream } => {
                        prop_assert!(!left.contains_key(&(link, stream)), "an id carries two");
                        prop_assert!(queued.insert((link, stream), None).is_none(), "an id carries two");
                    }
                    MultiplexerAction::Unqueue { connection: link, stream } => prop_assert!(queued.remove(&(link, stream)).is_some()),
                    MultiplexerAction::Close(link) => {
                        left.retain(|(l, _), _| *l != link);
                        queued.retain(|(l, _), _| *l != link);
                    }
                    MultiplexerAction::AttemptFailed(job, how) => {
                        prop_assert!(open.remove(&job), "{:?} ends twice", job);
                        prop_assert_eq!(how == AttemptFailure::ConnectionLost, begun.contains(&job), "{:?}", job);
                    }
                }
            }
            streams.check().map_err(|e| TestCaseError::fail(e.to_string()))?;
            prop_assert_eq!(streams.size().jobs, open.len());
        }
    }
}
