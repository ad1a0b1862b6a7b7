//! Discovery in every trouble: the program as a process, between stand-ins. What a change binds is counted where it is
//! felt: by the times at which the member that is told to leave is still sent something.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rstest::rstest;
use support::scripted_discovery::{Asked, End, Form, HangingListener, CallReply, ScriptedDiscovery, answer};
use support::*;

/// A member that is told to leave may be sent to for so long.
const GRACE: Duration = Duration::from_millis(500);
/// What discovery has counts as told so much later; after a new address.
const TOLD: Duration = Duration::from_secs(6);
const TOLD_ELSEWHERE: Duration = Duration::from_secs(4);
/// The same of a call that may wait, after its wait.
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
/// The member that stays, and the one that is told to leave.
const STAYS: &str = "s-00000001";
const LEAVES: &str = "s-00000002";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Push,
    Ask,
}

impl Mode {
    /// How late what discovery could tell may bind.
    fn told(self) -> Duration {
        if self == Self::Push {
            Duration::ZERO
        } else {
            TOLD
        }
    }
}

/// Two members, and a list of them.
struct Members {
    stays: (SocketAddr, Arc<StubDatabase>),
    leaves: (SocketAddr, Arc<StubDatabase>),
}

impl Members {
    fn start() -> Self {
        let echo = |query: &str| Reply::Send(row_with_tag(query.split('\'').nth(1).unwrap(), "SELECT 1"));
        let stays = stub_database("read-write", move |_, q| echo(q));
        Self {
            stays,
            leaves: stub_database("read-only", move |_, q| echo(q)),
        }
    }

    fn one(&self, uid: &str, state: &str) -> String {
        if uid == STAYS {
            target(uid, self.stays.0, "read-write", state)
        } else {
            // The larger by far, so that most goes there for as long as it may.
            target(uid, self.leaves.0, "read-only", state)
                .replace("\"capacity_hint\":1.0", "\"capacity_hint\":20.0")
        }
    }

    fn list(&self, leaves: &str) -> [(&'static str, String); 2] {
        [
            (STAYS, self.one(STAYS, "active")),
            (LEAVES, self.one(LEAVES, leaves)),
        ]
    }

    fn body(&self, rev: u64, all: bool, leaves: &str) -> String {
        let told = self.list(leaves).map(|(_, text)| text).join(",");
        format!(r#"{{"rev":{rev},"all":{all},"targets":[{told}]}}"#)
    }
}

/// Clients that go on asking.
struct Load(Arc<AtomicBool>, Vec<JoinHandle<()>>);

impl Load {
    fn start(address: SocketAddr) -> Self {
        let over = Arc::<AtomicBool>::default();
        let client = |_| {
            let over = Arc::clone(&over);
            thread::spawn(move || {
                let mut client = Client::connect(address);
                while !over.load(SeqCst) {
                    let query = "/* id=1,c=read,t=acme,d=4000,cluster=0 */ SELECT body FROM objects WHERE oid = 'x'";
                    if client.query(query) == Answer::Ended {
                        return;
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            })
        };
        let clients = (0..3).map(client).collect();
        Self(over, clients)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.store(true, SeqCst);
        self.1.drain(..).for_each(|client| drop(client.join()));
    }
}

/// A gateway under load that watches a scripted discovery.
struct Scene {
    members: Members,
    discovery: Arc<ScriptedDiscovery>,
    config: PathBuf,
    _load: Load,
    program: GatewayProcess,
    began: Instant,
}

impl Scene {
    fn start(mode: Mode, fleet: u32) -> Self {
        let members = Members::start();
        let discovery = ScriptedDiscovery::start(&members.list("active"));
        Self::start_with(mode, fleet, members, discovery, |text| text)
    }

    /// Which knows both members as active at version 0.
    fn start_with(
        mode: Mode,
        fleet: u32,
        members: Members,
        discovery: Arc<ScriptedDiscovery>,
        edit: impl Fn(String) -> String,
    ) -> Self {
        let (address, config) = (free_address(), temp_folder().join("config.json"));
        let known = members.list("active").map(|(_, text)| text).join(",");
        let mut text = edit(config_of(address, discovery.address, &known));
        if mode == Mode::Ask {
            text = text.replace(
                "\"membership-mode\":\"push\"",
                "\"membership-mode\":\"ask\"",
            );
        }
        std::fs::write(
            &config,
            text.replace("\"fleet-size\":1", &format!("\"fleet-size\":{fleet}")),
        )
        .unwrap();
        let program = GatewayProcess::start(&[], Some(&config), address);
        let began = Instant::now();
        let load = Load::start(address);
        Self {
            members,
            discovery,
            config,
            _load: load,
            program,
            began,
        }
    }

    /// The member that is to leave is sent to, and the watch goes on.
    fn settled(self) -> Self {
        wait_until("the watch is open", || self.discovery.count() > 1);
        self.used();
        self
    }

    fn used(&self) {
        let leaves = self.members.leaves.1.count();
        wait_until("the member that may leave is sent to", || {
            self.members.leaves.1.count() > leaves + 2
        });
    }

    fn leaves(&self) -> Instant {
        self.discovery
            .tell(LEAVES, self.members.one(LEAVES, "leaving"))
    }

    /// From so long after a moment on, nothing is sent to the member that leaves, while the other one serves.
    fn owed(&self, since: Instant, bound: Duration) {
        let end = since + bound;
        let until_then = end.saturating_duration_since(Instant::now());
        wait_until_within(TEST_TIMEOUT + until_then, "the time after it", || {
            Instant::now() > end + Duration::from_millis(700)
        });
        let served = self.members.stays.1.count();
        wait_until("the other one serves", || {
            self.members.stays.1.count() > served + 20
        });
        let sent = self.members.leaves.1.queries.lock().unwrap();
        let last = sent.iter().map(|q| q.0).max();
        let after = last.map(|at| at.saturating_duration_since(since));
        println!("last sent {after:?} after it, allowed {bound:?}");
        let late = sent.iter().filter(|q| q.0 > end).count();
        assert_eq!(
            late, 0,
            "sent to a member that leaves, the last {after:?} after it, allowed {bound:?}"
        );
    }

    /// SIGHUP with another address: since when.
    fn moves(&self, to: SocketAddr) -> Instant {
        let text = std::fs::read_to_string(&self.config).unwrap();
        let own = text
            .split("\"discovery\":\"")
            .nth(1)
            .unwrap()
            .split('"')
            .next()
            .unwrap();
        std::fs::write(&self.config, text.replace(own, &to.to_string())).unwrap();
        let at = Instant::now();
        self.program.signal("HUP");
        self.program.wait_for_log(&format!("discovery={to}"));
        at
    }

    fn stops(&self) {
        self.program.signal("STOP");
        let tasks = procfs::process::Process::new(self.program.0.id().cast_signed()).unwrap();
        let stands = |t: procfs::process::Task| t.stat().is_ok_and(|s| s.state == 'T');
        wait_until("it stands still", || {
            tasks.tasks().unwrap().flatten().all(stands)
        });
    }
}

fn config_of(address: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    support::config(address, discovery, known, 15_000)
}

/// What becomes of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Open watches and new connections say nothing, now and later.
    Silent,
    /// Open watches are reset, and new connections refused.
    Refused,
    /// Status 503.
    TurnedAway,
    /// Each call is reset.
    Reset,
    /// Half a list, then a reset.
    HalfReset,
    /// Half a list, then the end of the connection, with no length told.
    HalfClosed,
    /// Half a list, then silence.
    HalfHung,
    /// A list in pieces that has no end.
    Drips,
    /// A whole list that is none of discovery's, with no length told, then a reset.
    WholeReset,
}

/// As long as the pieces of an answer that has no end are dripped.
const DRIPS: usize = 2_000;

impl Trouble {
    /// All calls that are open or come from now on have it.
    fn begins(self, discovery: &ScriptedDiscovery, members: &Members) {
        let body = members.body(1_000, true, "active");
        let half = |form: Form| {
            let (pieces, _) = answer(&body, form);
            let bytes = pieces.concat_bytes();
            bytes[..bytes.len() - body.len() / 2].to_vec()
        };
        let soon = Duration::from_millis(20);
        let (bytes, end) = match self {
            Self::Silent => return discovery.falls_silent(),
            Self::Refused => return discovery.goes(),
            Self::TurnedAway => (
                vec![(
                    soon,
                    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_vec(),
                )],
                End::Keep,
            ),
            Self::Reset => (vec![], End::Reset),
            Self::HalfReset => (vec![(soon, half(Form::Plain)), (soon, vec![])], End::Reset),
            Self::HalfClosed => (vec![(soon, half(Form::NoLength))], End::Close),
            Self::HalfHung => (vec![(soon, half(Form::Plain))], End::Silent),
            Self::Drips => {
                let head = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n".to_vec();
                let drop = (Duration::from_millis(40), b" ".to_vec());
                (
                    [vec![(soon, head)], vec![drop; DRIPS]].concat(),
                    End::Silent,
                )
            }
            Self::WholeReset => {
                // Which leaves out the one that is active yet.
                let only = members.one(STAYS, "active");
                let body = format!(r#"{{"rev":1000,"all":true,"targets":[{only}]}}"#);
                let (pieces, _) = answer(&body, Form::NoLength);
                ([pieces, vec![(soon, vec![])]].concat(), End::Reset)
            }
        };
        discovery.script(move |_| CallReply::Bytes(bytes.clone(), end));
        discovery.reset();
    }

    /// New calls are answered; since when.
    fn ends(self, discovery: &ScriptedDiscovery) -> Instant {
        discovery.form(Form::Plain);
        if matches!(self, Self::Silent | Self::Refused) {
            discovery.returns()
        } else {
            Instant::now()
        }
    }
}

trait Pieces {
    fn concat_bytes(&self) -> Vec<u8>;
}

impl Pieces for Vec<(Duration, Vec<u8>)> {
    fn concat_bytes(&self) -> Vec<u8> {
        self.iter().flat_map(|(_, some)| some.clone()).collect()
    }
}

// ---- Watches that break ----

/// An agent has what it has, whether or not a watch is open; a service that is asked is to be asked anew.
#[rstest]
fn a_watch_that_falls_silent_is_asked_anew(#[values(Mode::Push, Mode::Ask)] mode: Mode) {
    let scene = Scene::start(mode, 1).settled();
    scene.discovery.mute();
    let told = scene.leaves();
    scene.owed(told, mode.told() + GRACE);
}

/// In a fleet of a hundred a watch waits for 20 s.
#[test]
fn a_long_watch_that_falls_silent_is_made_up_for_soon_after_its_wait() {
    let scene = Scene::start(Mode::Ask, 100).settled();
    let watch = scene
        .discovery
        .calls
        .lock()
        .unwrap()
        .last()
        .cloned()
        .unwrap();
    scene.discovery.mute();
    scene.leaves();
    let bound = (watch.hold + TOLD_AFTER_WAIT).max(TOLD);
    assert!(watch.hold >= Duration::from_secs(10), "{watch:?}");
    scene.owed(watch.at, bound + GRACE);
}

#[rstest]
fn a_watch_that_is_reset_is_opened_anew(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
    #[values(1, 100)] fleet: u32,
) {
    let scene = Scene::start(mode, fleet).settled();
    scene.discovery.reset();
    let told = scene.leaves();
    scene.owed(told, mode.told() + GRACE);
}

/// Whatever failed before: an agent's word binds as soon as it is back, a service's 6 s later.
#[rstest]
fn what_discovery_has_binds_after_an_outage(
    #[values(
        Trouble::Silent,
        Trouble::Refused,
        Trouble::TurnedAway,
        Trouble::Reset,
        Trouble::HalfReset,
        Trouble::HalfClosed,
        Trouble::HalfHung,
        Trouble::Drips,
        Trouble::WholeReset
    )]
    trouble: Trouble,
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
) {
    let scene = Scene::start(mode, 100).settled();
    // A long watch that falls silent is another matter: here it is reset, and the calls after it fail.
    scene.discovery.reset();
    trouble.begins(&scene.discovery, &scene.members);
    scene.leaves();
    // So that pauses have grown, and that it ends somewhere in the middle of one, or of a call.
    thread::sleep(Duration::from_millis(8_030));
    scene.used();
    let back = trouble.ends(&scene.discovery);
    // What drips goes on until its caller hangs up: that is no part of being back.
    let drips = if trouble == Trouble::Drips {
        Duration::from_secs(1)
    } else {
        Duration::ZERO
    };
    scene.owed(back, mode.told().max(drips) + GRACE);
}

/// One call after the other gets no answer on a connection that stays open; then one does.
#[rstest]
fn calls_that_were_given_up_are_made_up_for(#[values(Mode::Push, Mode::Ask)] mode: Mode) {
    let scene = Scene::start(mode, 1).settled();
    let mut left = 3;
    scene.discovery.script(move |_| {
        left -= 1;
        if left >= 0 {
            CallReply::NoReply
        } else {
            CallReply::Update(Form::Plain)
        }
    });
    scene.discovery.reset();
    let told = scene.leaves();
    // Three calls, each to be given up by itself.
    let each = if mode == Mode::Push {
        Duration::from_millis(200)
    } else {
        TOLD
    };
    scene.owed(told, each * 3 + mode.told() + GRACE);
}

/// Whatever else holds, no call goes on for ever.
#[rstest]
fn an_answer_that_comes_in_pieces_and_has_no_end_is_given_up(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
    #[values(
        "HTTP/1.1 200 OK\r\nX: ",
        "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n",
        "HTTP/1.1 200 OK\r\n\r\n"
    )]
    head: &'static str,
) {
    let scene = Scene::start(mode, 1).settled();
    let mut first = true;
    scene.discovery.script(move |_| {
        if !std::mem::take(&mut first) {
            return CallReply::Update(Form::Plain);
        }
        let drop = (Duration::from_millis(40), b" ".to_vec());
        CallReply::Bytes(
            [vec![(Duration::ZERO, head.into())], vec![drop; DRIPS]].concat(),
            End::Silent,
        )
    });
    scene.discovery.reset();
    let calls = scene.discovery.count();
    wait_until("the endless answer has begun", || {
        scene.discovery.count() > calls
    });
    let told = scene.leaves();
    scene.owed(told, TOLD + GRACE);
}

// ---- Forms ----

/// In each form a change binds at once, on a connection that is used again where it may be, and nothing is said to be wrong.
#[rstest]
fn answers_come_in_all_forms(
    #[values(
        Form::Plain,
        Form::Indented,
        Form::FullList,
        Form::Chunked,
        Form::Trailers,
        Form::Extension(300),
        Form::NoLength,
        Form::ConnectionHeader("close"),
        Form::ConnectionHeader("Close, x"),
        Form::ConnectionHeader("x,  CLOSE"),
        Form::Http10,
        Form::Interim,
        Form::Pieces(7, 2)
    )]
    form: Form,
) {
    let members = Members::start();
    let discovery = ScriptedDiscovery::start(&members.list("active"));
    discovery.form(form);
    let scene = Scene::start_with(Mode::Push, 1, members, discovery, |text| text).settled();
    scene.owed(scene.leaves(), GRACE);
    scene
        .discovery
        .tell(LEAVES, scene.members.one(LEAVES, "active"));
    scene.used();
    scene.owed(scene.leaves(), GRACE);
    let calls = scene.discovery.count();
    wait_until("some more are told", || {
        scene
            .discovery
            .tell(STAYS, scene.members.one(STAYS, "active"));
        scene.discovery.count() > calls + 40
    });
    let (calls, connections) = (scene.discovery.count(), scene.discovery.connections());
    println!("{calls} calls on {connections} connections");
    let ends = matches!(form, Form::NoLength | Form::ConnectionHeader(_) | Form::Http10);
    assert!(
        ends || connections * 5 <= calls,
        "{calls} calls took {connections} connections"
    );
    // A machine that is busy may keep an answer for long; anything else that is said would be wrong.
    let said = scene.program.log();
    let wrong = said
        .lines()
        .filter(|l| !l.contains("no response"))
        .find(|l| {
            l.contains("keeping the cached endpoint list") || l.contains("keeping the old one")
        });
    assert_eq!(wrong, None);
}

#[rstest]
fn a_whole_list_replaces_what_was_held(#[values(Mode::Push, Mode::Ask)] mode: Mode) {
    let scene = Scene::start(mode, 1).settled();
    scene.discovery.form(Form::FullList);
    let told = scene.discovery.forget(LEAVES);
    // Only the next call's answer is whole.
    scene.owed(told, mode.told() + GRACE);
}

/// Nothing of these is a list, and the watch goes on behind each of them.
#[rstest]
#[case::a_chunk_beyond_all_bounds(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"rev\r\nffffffffffffffff\r\n"
)]
#[case::a_body_beyond_all_bounds("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n")]
#[case::no_http("SSH-2.0-x\r\n\r\n")]
#[case::no_list("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")]
#[case::nothing("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::another_status("HTTP/1.1 204 No Content\r\n\r\n")]
fn nonsense_is_no_list_and_no_end_of_the_watch(#[case] bytes: &'static str) {
    let scene = Scene::start(Mode::Push, 1).settled();
    let mut first = true;
    scene
        .discovery
        .script(move |_| match std::mem::take(&mut first) {
            true => CallReply::Bytes(vec![(Duration::ZERO, bytes.into())], End::Silent),
            false => CallReply::Update(Form::Plain),
        });
    scene.discovery.reset();
    scene.program.wait_for_log("keeping the cached endpoint list");
    scene.owed(scene.leaves(), GRACE);
    scene.program.wait_for_log("discovery poll succeeded again");
}

// ---- Versions ----

/// An older version is no news: what it says is not taken, and the whole list is asked for.
#[rstest]
fn a_stale_answer_makes_no_drained_member_active_again(#[values(true, false)] whole: bool) {
    let scene = Scene::start(Mode::Push, 1).settled();
    let told = scene.leaves();
    scene.owed(told, GRACE);
    let stale = scene.members.body(1, whole, "active");
    let mut first = true;
    scene.discovery.script(move |asked: &Asked| {
        if asked.from.is_some() && std::mem::take(&mut first) {
            let (pieces, end) = answer(&stale, Form::Plain);
            return CallReply::Bytes(pieces, end);
        }
        CallReply::Update(Form::Plain)
    });
    let asks = |call: &Asked| call.from.is_none() && call.at > told;
    wait_until("the whole list is asked for", || {
        scene.discovery.calls.lock().unwrap().iter().any(asks)
    });
    scene.owed(told, GRACE);
}

/// It has nothing newer than the version that is held, and changes are not told as long as that is asked from.
#[rstest]
fn a_discovery_that_counts_anew_is_followed(#[values(Mode::Push, Mode::Ask)] mode: Mode) {
    let scene = Scene::start(mode, 1).settled();
    for _ in 0..5 {
        scene
            .discovery
            .tell(STAYS, scene.members.one(STAYS, "active"));
    }
    let held = |call: &Asked| call.from == Some(6);
    wait_until("the watch is at version 6", || {
        scene.discovery.calls.lock().unwrap().iter().any(held)
    });
    let told = scene
        .discovery
        .counts_anew(1, LEAVES, scene.members.one(LEAVES, "leaving"));
    scene.owed(told, mode.told() + GRACE);
    scene
        .discovery
        .tell(LEAVES, scene.members.one(LEAVES, "active"));
    scene.used();
}

// ---- Another address ----

/// SIGHUP in the middle of each trouble: what the new address has counts 4 s later.
#[rstest]
fn a_new_address_is_asked_in_every_trouble_of_the_old_one(
    #[values(
        Trouble::Silent,
        Trouble::Refused,
        Trouble::TurnedAway,
        Trouble::Reset,
        Trouble::HalfReset,
        Trouble::HalfClosed,
        Trouble::HalfHung,
        Trouble::Drips,
        Trouble::WholeReset
    )]
    trouble: Trouble,
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
) {
    let scene = Scene::start(mode, 100).settled();
    let new = ScriptedDiscovery::start(&scene.members.list("leaving"));
    scene.discovery.reset();
    trouble.begins(&scene.discovery, &scene.members);
    thread::sleep(Duration::from_millis(1_500));
    let moved = scene.moves(new.address);
    scene.owed(moved, TOLD_ELSEWHERE + GRACE);
    assert_eq!(
        new.calls.lock().unwrap()[0].from,
        None,
        "the old one's version is nothing to the new one"
    );
}

#[rstest]
fn a_connect_that_hangs_is_no_part_of_a_new_address(#[values(Mode::Push, Mode::Ask)] mode: Mode) {
    let scene = Scene::start(mode, 100).settled();
    let (hangs, new) = (
        HangingListener::start(),
        ScriptedDiscovery::start(&scene.members.list("leaving")),
    );
    scene.moves(hangs.0);
    thread::sleep(Duration::from_millis(200));
    let moved = scene.moves(new.address);
    scene.owed(moved, TOLD_ELSEWHERE + GRACE);
}

/// The old address answers what it was asked before the move after it: it is the new one's word that goes.
#[rstest]
fn what_the_old_address_says_after_the_move_is_not_the_last_word(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
) {
    let scene = Scene::start(mode, 1).settled();
    let late = answer(&scene.members.body(1_000, true, "active"), Form::Plain)
        .0
        .concat_bytes();
    let pause = Duration::from_millis(90);
    scene
        .discovery
        .script(move |_| CallReply::Bytes(vec![(pause, late.clone())], End::Keep));
    let calls = scene.discovery.count();
    scene.discovery.reset();
    wait_until("the old one is asked", || scene.discovery.count() > calls);
    let new = ScriptedDiscovery::start(&scene.members.list("leaving"));
    let moved = scene.moves(new.address);
    scene.owed(moved, TOLD_ELSEWHERE + GRACE);
    let old = scene.discovery.count();
    scene.used_only_one();
    assert_eq!(
        scene.discovery.count(),
        old,
        "the old one is not asked any more"
    );
}

// ---- Starts and stops ----

/// What the agent has binds from the first moment of a process; what a service has, 6 s later.
#[rstest]
fn what_changed_since_the_known_list_binds_from_the_start(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
    #[values(1, 100)] fleet: u32,
) {
    let members = Members::start();
    let discovery = ScriptedDiscovery::start(&members.list("leaving"));
    let scene = Scene::start_with(mode, fleet, members, discovery, |text| text);
    scene.owed(scene.began, mode.told() + GRACE);
}

#[test]
fn an_agent_that_is_silent_at_the_start_binds_as_it_returns() {
    let members = Members::start();
    let discovery = ScriptedDiscovery::start(&members.list("leaving"));
    discovery.falls_silent();
    let scene = Scene::start_with(Mode::Push, 100, members, discovery, |text| text);
    thread::sleep(Duration::from_millis(3_040));
    scene.used();
    scene.owed(scene.discovery.returns(), GRACE);
}

/// The list of the configuration may be empty, in part or no list at all: discovery's own replaces it.
#[rstest]
#[case::empty(r#"{"rev":7,"all":true,"targets":[]}"#)]
#[case::changes(r#"{"rev":7,"all":false,"targets":[]}"#)]
#[case::null("null")]
#[case::text(r#""s-00000001""#)]
#[case::no_versions(r#"{"all":true,"targets":[]}"#)]
fn without_a_known_list_the_whole_one_is_asked_for(#[case] known: &'static str) {
    let members = Members::start();
    let discovery = ScriptedDiscovery::start(&members.list("active"));
    let scene = Scene::start_with(Mode::Push, 1, members, discovery, |text| {
        let (before, rest) = text.split_once("\"known\":").unwrap();
        let (_, after) = rest.split_once("\"settings\"").unwrap();
        format!("{before}\"known\":{known},\"settings\"{after}")
    });
    let scene = scene.settled();
    assert_eq!(scene.discovery.calls.lock().unwrap()[0].from, None);
    scene.owed(scene.leaves(), GRACE);
}

/// The process stands still while the change is written to it.
#[rstest]
fn a_change_that_came_while_the_process_stood_still_binds_as_it_goes_on(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
    #[values(1_000, 3_500)] ms: u64,
) {
    let scene = Scene::start(mode, 1).settled();
    scene.stops();
    scene.leaves();
    thread::sleep(Duration::from_millis(ms));
    let goes = Instant::now();
    scene.program.signal("CONT");
    scene.owed(goes, GRACE);
}

impl Scene {
    fn used_only_one(&self) {
        let served = self.members.stays.1.count();
        wait_until("the other one serves", || {
            self.members.stays.1.count() > served + 50
        });
    }
}
