//! Tests of each rule of the multiplexer, and of all of them under random events.

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

struct Fixture {
    streams: StreamMultiplexer,
    out: Vec<MultiplexerAction>,
}

impl Fixture {
    fn new(settings: Settings) -> Self {
        Self {
            streams: StreamMultiplexer::new(settings).unwrap(),
            out: vec![],
        }
    }
    fn connected() -> Self {
        let mut fixture = Self::new(settings());
        fixture.submit(0, 1);
        assert_eq!(
            fixture.take_actions(),
            [MultiplexerAction::Open(MultiplexedConnectionId(1))]
        );
        fixture
            .streams
            .connection_opened(ms(1), MultiplexedConnectionId(1), &mut fixture.out);
        assert_eq!(fixture.take_actions(), [send(1, 0, 1)]);
        fixture
    }
    fn submit(&mut self, at: i64, job: u64) {
        self.streams.submit(ms(at), JobId(job), &mut self.out);
    }
    fn abandon(&mut self, at: i64, job: u64) {
        self.streams.abandon(ms(at), JobId(job), &mut self.out);
    }
    fn cancel(&mut self, at: i64, job: u64) {
        self.streams.cancel(ms(at), JobId(job), &mut self.out);
    }
    /// Submits further jobs on the open connection, and begins to write them and the first one.
    fn write(&mut self, at: i64, jobs: std::ops::Range<u64>) {
        let connection = MultiplexedConnectionId(1);
        for job in jobs {
            self.submit(at, job);
        }
        for action in std::mem::take(&mut self.out) {
            if let MultiplexerAction::Send { stream, .. } = action {
                self.streams.write_started(connection, stream);
            }
        }
        self.streams.write_started(connection, 0);
    }
    /// Receives something that ends no job: the endpoint is alive.
    fn hear(&mut self, at: i64) {
        let connection = MultiplexedConnectionId(1);
        self.streams
            .bytes_received(ms(at), connection, &mut self.out);
    }
    /// Answers the job on a stream of the open connection.
    fn answer(&mut self, at: i64, stream: i16) -> FrameOwner {
        let connection = MultiplexedConnectionId(1);
        self.streams
            .bytes_received(ms(at), connection, &mut self.out);
        let owner = self.streams.frame_received(ms(at), connection, stream);
        if let FrameOwner::Job(job) = owner {
            self.streams.finish(ms(at), job, &mut self.out);
        }
        owner
    }
    fn tick(&mut self, at: i64) -> Vec<MultiplexerAction> {
        self.streams.tick(ms(at), &mut self.out);
        self.take_actions()
    }
    fn take_actions(&mut self) -> Vec<MultiplexerAction> {
        self.streams.check().unwrap();
        std::mem::take(&mut self.out)
    }
}

const fn send(connection: u64, stream: i16, job: u64) -> MultiplexerAction {
    MultiplexerAction::Send {
        connection: MultiplexedConnectionId(connection),
        stream,
        job: JobId(job),
    }
}

const fn failed_attempt(job: u64, failure: AttemptFailure) -> MultiplexerAction {
    MultiplexerAction::AttemptFailed(JobId(job), failure)
}

#[test]
fn stream_id_is_reused_after_all_others() {
    let mut fixture = Fixture::connected();
    let mut used = vec![0];
    for n in 2..10 {
        let FrameOwner::Job(job) = fixture.streams.frame_received(
            ms(2),
            MultiplexedConnectionId(1),
            *used.last().unwrap(),
        ) else {
            panic!()
        };
        fixture.streams.finish(ms(2), job, &mut fixture.out);
        fixture.submit(2, n);
        let [MultiplexerAction::Send { stream, .. }] = fixture.take_actions()[..] else {
            panic!()
        };
        used.push(stream);
    }
    assert_eq!(used, [0, 1, 2, 3, 4, 5, 6, 7, 0]);
}

#[test]
fn too_many_orphans_close_the_connection() {
    let mut fixture = Fixture::connected();
    fixture.submit(1, 2);
    fixture.submit(1, 3);
    fixture.submit(1, 4);
    // A second connection is opened because the first one is loaded; it is not open yet.
    assert!(
        fixture
            .take_actions()
            .contains(&MultiplexerAction::Open(MultiplexedConnectionId(2)))
    );
    fixture
        .streams
        .connection_lost(ms(1), MultiplexedConnectionId(2), &mut fixture.out);
    assert_eq!(fixture.take_actions(), []);
    for stream in 0..3 {
        fixture
            .streams
            .write_started(MultiplexedConnectionId(1), stream);
    }
    // Something was received since then: the endpoint is alive, but slow with this job.
    fixture
        .streams
        .bytes_received(ms(5), MultiplexedConnectionId(1), &mut fixture.out);
    fixture.abandon(6, 1);
    fixture.abandon(6, 2);
    assert_eq!(fixture.take_actions(), []);
    assert_eq!(
        fixture
            .streams
            .frame_received(ms(7), MultiplexedConnectionId(1), 0),
        FrameOwner::Abandoned
    );
    assert_eq!(
        fixture
            .streams
            .frame_received(ms(7), MultiplexedConnectionId(1), 0),
        FrameOwner::Unexpected,
        "a second answer is unexpected"
    );
    assert_eq!(
        fixture
            .streams
            .frame_received(ms(7), MultiplexedConnectionId(1), 7),
        FrameOwner::Unexpected,
        "an answer without a request is unexpected"
    );
    fixture.submit(8, 5);
    fixture.streams.write_started(MultiplexedConnectionId(1), 4);
    fixture.take_actions();
    fixture
        .streams
        .bytes_received(ms(9), MultiplexedConnectionId(1), &mut fixture.out);
    fixture.abandon(10, 5);
    assert_eq!(fixture.take_actions(), [], "two orphans are allowed");
    fixture.abandon(10, 3);
    assert_eq!(
        fixture.take_actions(),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            failed_attempt(4, AttemptFailure::NotSent)
        ]
    );
    assert_eq!(
        fixture.streams.size(),
        MultiplexerSize {
            jobs: 0,
            connections: 1
        },
        "the other connection is still being opened"
    );
}

#[test]
fn lost_connection_distinguishes_sent_jobs_from_unsent() {
    let mut fixture = Fixture::connected();
    fixture.submit(1, 2);
    fixture.take_actions();
    fixture.streams.write_started(MultiplexedConnectionId(1), 0);
    fixture
        .streams
        .connection_lost(ms(2), MultiplexedConnectionId(1), &mut fixture.out);
    assert_eq!(
        fixture.take_actions(),
        [
            failed_attempt(1, AttemptFailure::ConnectionLost),
            failed_attempt(2, AttemptFailure::NotSent)
        ]
    );
}

/// Guards against a cancelled job that is reported to have ended while its endpoint may still execute
/// it: the request would be sent to another endpoint meanwhile.
#[test]
fn cancelled_job_ends_with_its_connection_if_no_other_is_out() {
    let mut fixture = Fixture::connected();
    fixture.write(1, 2..2);
    fixture.cancel(100, 1);
    assert_eq!(
        fixture.take_actions(),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            failed_attempt(1, AttemptFailure::ConnectionLost),
        ]
    );
}

#[test]
fn cancelled_jobs_wait_for_the_last_other_job() {
    let mut fixture = Fixture::connected();
    fixture.write(1, 2..4);
    fixture.take_actions();
    fixture.hear(50);
    fixture.cancel(60, 1);
    fixture.cancel(60, 1);
    fixture.cancel(60, 2);
    assert_eq!(
        fixture.take_actions(),
        [],
        "closing would cut off the third"
    );
    assert_eq!(fixture.answer(70, 2), FrameOwner::Job(JobId(3)));
    assert_eq!(fixture.tick(119), [], "they may be answered as well");
    assert_eq!(
        fixture.tick(160),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            failed_attempt(1, AttemptFailure::ConnectionLost),
            failed_attempt(2, AttemptFailure::ConnectionLost),
        ]
    );
}

#[test]
fn cancelled_job_ends_with_its_answer_if_that_arrives() {
    let mut fixture = Fixture::connected();
    fixture.write(1, 2..3);
    fixture.take_actions();
    fixture.hear(50);
    fixture.cancel(60, 1);
    assert_eq!(fixture.answer(70, 0), FrameOwner::Job(JobId(1)));
    assert_eq!(fixture.take_actions(), []);
    assert_eq!(fixture.answer(80, 1), FrameOwner::Job(JobId(2)));
    assert_eq!(fixture.take_actions(), [], "the connection stays open");
}

#[test]
fn cancelled_job_on_silent_connection_ends_with_late_heartbeat() {
    let mut fixture = Fixture::connected();
    fixture.write(1, 2..3);
    fixture.take_actions();
    fixture.cancel(100, 1);
    let heartbeat = fixture.take_actions();
    assert!(matches!(
        heartbeat[..],
        [MultiplexerAction::Heartbeat { .. }]
    ));
    assert_eq!(fixture.tick(599), []);
    assert_eq!(
        fixture.tick(640),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            failed_attempt(1, AttemptFailure::ConnectionLost),
            failed_attempt(2, AttemptFailure::ConnectionLost),
        ]
    );
}

#[test]
fn cancelled_job_whose_neighbour_is_abandoned_ends_with_its_connection() {
    let mut fixture = Fixture::connected();
    fixture.write(1, 2..3);
    fixture.take_actions();
    fixture.hear(50);
    fixture.cancel(60, 1);
    assert_eq!(fixture.take_actions(), []);
    fixture.abandon(70, 2);
    assert_eq!(
        fixture.take_actions(),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            failed_attempt(1, AttemptFailure::ConnectionLost),
        ]
    );
}

#[test]
fn cancelled_job_of_which_nothing_is_written_ends_at_once() {
    let mut fixture = Fixture::connected();
    fixture.cancel(2, 1);
    let unqueue = MultiplexerAction::Unqueue {
        connection: MultiplexedConnectionId(1),
        stream: 0,
    };
    assert_eq!(
        fixture.take_actions(),
        [unqueue, failed_attempt(1, AttemptFailure::NotSent)]
    );
    let mut fixture = Fixture::new(settings());
    fixture.submit(0, 1);
    fixture.take_actions();
    fixture.cancel(1, 1);
    assert_eq!(
        fixture.take_actions(),
        [failed_attempt(1, AttemptFailure::NotSent)]
    );
}

#[test]
fn suspect_connection_gets_heartbeat_and_no_jobs() {
    let mut fixture = Fixture::connected();
    fixture.streams.write_started(MultiplexedConnectionId(1), 0);
    fixture.abandon(100, 1);
    assert_eq!(
        fixture.take_actions(),
        [MultiplexerAction::Heartbeat {
            connection: MultiplexedConnectionId(1),
            stream: 1
        }]
    );
    fixture.submit(100, 2);
    assert_eq!(
        fixture.take_actions(),
        [MultiplexerAction::Open(MultiplexedConnectionId(2))],
        "the job is not sent on the silent connection"
    );
    fixture
        .streams
        .connection_opened(ms(101), MultiplexedConnectionId(2), &mut fixture.out);
    assert_eq!(fixture.take_actions(), [send(2, 0, 2)]);
    fixture.streams.write_started(MultiplexedConnectionId(2), 0);
    assert_eq!(fixture.tick(599), []);
    assert_eq!(
        fixture.tick(640),
        [MultiplexerAction::Close(MultiplexedConnectionId(1))]
    );
    // A connection that receives something remains in use.
    let mut fixture = Fixture::connected();
    fixture.streams.write_started(MultiplexedConnectionId(1), 0);
    fixture.abandon(100, 1);
    fixture.submit(100, 2);
    fixture.take_actions();
    fixture
        .streams
        .bytes_received(ms(300), MultiplexedConnectionId(1), &mut fixture.out);
    assert_eq!(fixture.take_actions(), [send(1, 2, 2)]);
    assert_eq!(
        fixture.tick(700),
        [
            MultiplexerAction::Unqueue {
                connection: MultiplexedConnectionId(1),
                stream: 2
            },
            failed_attempt(2, AttemptFailure::NotSent)
        ]
    );
}

#[test]
fn quiet_connection_gets_heartbeat() {
    let mut fixture = Fixture::connected();
    fixture.streams.write_started(MultiplexedConnectionId(1), 0);
    assert_eq!(fixture.tick(900), []);
    assert_eq!(
        fixture.tick(1_001),
        [MultiplexerAction::Heartbeat {
            connection: MultiplexedConnectionId(1),
            stream: 1
        }]
    );
    assert_eq!(fixture.tick(1_400), []);
    assert_eq!(
        fixture.tick(1_501),
        [
            MultiplexerAction::Close(MultiplexedConnectionId(1)),
            failed_attempt(1, AttemptFailure::ConnectionLost)
        ]
    );
}

#[test]
fn unwritten_jobs_fail_after_max_write_delay() {
    let mut fixture = Fixture::new(settings());
    for job in 1..=4 {
        fixture.submit(0, job);
    }
    assert_eq!(
        fixture.take_actions(),
        [
            MultiplexerAction::Open(MultiplexedConnectionId(1)),
            failed_attempt(4, AttemptFailure::NotSent)
        ],
        "at most three jobs wait"
    );
    assert_eq!(fixture.tick(249), []);
    fixture.submit(249, 5);
    assert_eq!(
        fixture.take_actions(),
        [failed_attempt(5, AttemptFailure::NotSent)]
    );
    let failed = [1, 2, 3].map(|job| failed_attempt(job, AttemptFailure::NotSent));
    // Ticks within 1/32 of a second are skipped.
    assert_eq!(fixture.tick(282), failed);
    // A queued job answered bytes are never written.
    let mut fixture = Fixture::connected();
    assert_eq!(
        fixture.tick(260),
        [
            MultiplexerAction::Unqueue {
                connection: MultiplexedConnectionId(1),
                stream: 0
            },
            failed_attempt(1, AttemptFailure::NotSent)
        ]
    );
}

#[test]
fn unreachable_endpoint_fails_waiting_jobs() {
    let mut fixture = Fixture::new(settings());
    fixture.submit(0, 1);
    fixture.take_actions();
    fixture
        .streams
        .connection_lost(ms(1), MultiplexedConnectionId(1), &mut fixture.out);
    assert_eq!(
        fixture.take_actions(),
        [failed_attempt(1, AttemptFailure::NotSent)]
    );
}

#[test]
fn answered_job_may_send_more_on_its_connection() {
    let mut fixture = Fixture::connected();
    assert_eq!(
        fixture
            .streams
            .frame_received(ms(2), MultiplexedConnectionId(1), 0),
        FrameOwner::Job(JobId(1))
    );
    assert!(fixture.streams.resubmit(ms(2), JobId(1), &mut fixture.out));
    assert_eq!(fixture.take_actions(), [send(1, 1, 1)]);
    assert_eq!(
        fixture
            .streams
            .frame_received(ms(3), MultiplexedConnectionId(1), 1),
        FrameOwner::Job(JobId(1))
    );
    fixture
        .streams
        .connection_lost(ms(3), MultiplexedConnectionId(1), &mut fixture.out);
    assert!(!fixture.streams.resubmit(ms(3), JobId(1), &mut fixture.out));
    assert_eq!(
        (fixture.take_actions(), fixture.streams.size()),
        (vec![], MultiplexerSize::default())
    );
}

#[test]
fn idle_connection_is_closed() {
    let mut fixture = Fixture::connected();
    fixture
        .streams
        .frame_received(ms(2), MultiplexedConnectionId(1), 0);
    fixture.streams.finish(ms(2), JobId(1), &mut fixture.out);
    assert_eq!(fixture.tick(9_900), []);
    assert_eq!(
        fixture.tick(10_010),
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
        .contains("stream_ids must")
    );
    assert!(
        faulty(Settings {
            stream_ids: 40_000,
            ..settings()
        })
        .contains("stream_ids must")
    );
    assert!(
        faulty(Settings {
            max_jobs: 9,
            ..settings()
        })
        .contains("max_jobs must")
    );
    assert!(
        faulty(Settings {
            max_connections: 0,
            ..settings()
        })
        .contains("max_connections")
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
    FinishOpen(bool),
    StartWrite,
    Answer,
    Resubmit,
    Abandon(usize),
    Cancel(usize),
    LoseConnection,
    Wait(i64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Submit),
        2 => any::<bool>().prop_map(Step::FinishOpen),
        5 => Just(Step::StartWrite),
        5 => Just(Step::Answer),
        1 => Just(Step::Resubmit),
        2 => any::<usize>().prop_map(Step::Abandon),
        2 => any::<usize>().prop_map(Step::Cancel),
        1 => Just(Step::LoseConnection),
        3 => (1..300_i64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Each job ends once, is answered, or was abandoned; no stream id carries two jobs. A job does
    /// not end while it is out, unanswered on an open connection, also if it was cancelled. A job of
    /// which no byte was written does not end as `ConnectionLost`, and a job of which writing began
    /// does not end as `NotSent`. The limits hold after every step.
    #[test]
    fn jobs_end_once_and_stream_ids_are_unique(steps in prop::collection::vec(step(), 1..200)) {
        let mut streams = StreamMultiplexer::new(settings()).unwrap();
        let (mut now, mut next) = (0, 0);
        // A model of the network: the queued and the sent requests by connection and stream id, and
        // the open jobs.
        let mut opening = BTreeSet::new();
        let mut queued: BTreeMap<(MultiplexedConnectionId, i16), Option<JobId>> = BTreeMap::new();
        let mut sent: BTreeMap<(MultiplexedConnectionId, i16), Option<JobId>> = BTreeMap::new();
        let mut open: BTreeSet<JobId> = BTreeSet::new();
        for step in steps {
            let mut out = vec![];
            let started: BTreeSet<JobId> = sent.values().flatten().copied().collect();
            match step {
                Step::Submit => {
                    next += 1;
                    open.insert(JobId(next));
                    streams.submit(ms(now), JobId(next), &mut out);
                }
                Step::FinishOpen(success) => if let Some(connection) = opening.pop_first() {
                    if success { streams.connection_opened(ms(now), connection, &mut out); } else { streams.connection_lost(ms(now), connection, &mut out); }
                },
                Step::StartWrite => if let Some(((connection, id), job)) = queued.pop_first() {
                    streams.write_started(connection, id);
                    sent.insert((connection, id), job);
                },
                Step::Answer | Step::Resubmit => if let Some(((connection, id), job)) = sent.pop_first() {
                    streams.bytes_received(ms(now), connection, &mut out);
                    match streams.frame_received(ms(now), connection, id) {
                        FrameOwner::Job(answered) => {
                            prop_assert_eq!(Some(answered), job, "the answer belongs to another job");
                            let resubmits = matches!(step, Step::Resubmit);
                            if !resubmits || !streams.resubmit(ms(now), answered, &mut out) {
                                open.remove(&answered);
                                streams.finish(ms(now), answered, &mut out);
                            }
                        }
                        FrameOwner::Abandoned => prop_assert!(job.is_none_or(|j| !open.contains(&j))),
                        FrameOwner::Unexpected => prop_assert!(false, "{:?} {} was requested", connection, id),
                    }
                },
                Step::Abandon(n) => if let Some(job) = open.iter().nth(n % open.len().max(1)).copied() {
                    open.remove(&job);
                    streams.abandon(ms(now), job, &mut out);
                },
                Step::Cancel(n) => if let Some(job) = open.iter().nth(n % open.len().max(1)).copied() {
                    streams.cancel(ms(now), job, &mut out);
                },
                Step::LoseConnection => if let Some(connection) = sent.keys().chain(queued.keys()).map(|(l, _)| *l).next() {
                    sent.retain(|(l, _), _| *l != connection);
                    queued.retain(|(l, _), _| *l != connection);
                    streams.connection_lost(ms(now), connection, &mut out);
                },
                Step::Wait(by) => {
                    now += by;
                    streams.tick(ms(now), &mut out);
                }
            }
            for action in out {
                match action {
                    MultiplexerAction::Open(connection) => { opening.insert(connection); }
                    MultiplexerAction::Send { connection, stream, job } => {
                        prop_assert!(!sent.contains_key(&(connection, stream)), "a stream id carries two requests");
                        prop_assert!(queued.insert((connection, stream), Some(job)).is_none(), "a stream id carries two requests");
                    }
                    MultiplexerAction::Heartbeat { connection, stream } => {
                        prop_assert!(!sent.contains_key(&(connection, stream)), "a stream id carries two requests");
                        prop_assert!(queued.insert((connection, stream), None).is_none(), "a stream id carries two requests");
                    }
                    MultiplexerAction::Unqueue { connection, stream } => prop_assert!(queued.remove(&(connection, stream)).is_some()),
                    MultiplexerAction::Close(connection) => {
                        sent.retain(|(l, _), _| *l != connection);
                        queued.retain(|(l, _), _| *l != connection);
                    }
                    MultiplexerAction::AttemptFailed(job, failure) => {
                        prop_assert!(open.remove(&job), "{:?} ends twice", job);
                        prop_assert!(!sent.values().any(|out| *out == Some(job)), "{:?} ends while it is out", job);
                        prop_assert_eq!(failure == AttemptFailure::ConnectionLost, started.contains(&job), "{:?}", job);
                    }
                }
            }
            streams.check().map_err(|e| TestCaseError::fail(e.to_string()))?;
            prop_assert_eq!(streams.size().jobs, open.len());
        }
    }
}
