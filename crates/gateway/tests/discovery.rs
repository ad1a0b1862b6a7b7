//! Discovery under all kinds of faults, with the gateway as a process and stub databases. Whether a
//! change has taken effect is measured at the database: by when the draining endpoint was last sent
//! a request.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rstest::rstest;
use support::scripted_discovery::{
    AfterReply, Call, CallReply, Form, HangingListener, ScriptedDiscovery, answer,
};
use support::*;

/// How long a draining endpoint may still be sent requests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How late a change that discovery has may take effect.
const UPDATE_BOUND: Duration = Duration::from_secs(6);
/// The same after a change of the address of discovery.
const UPDATE_BOUND_NEW_ADDRESS: Duration = Duration::from_secs(4);
/// The same for a long-polling call, after the end of its wait.
const UPDATE_BOUND_AFTER_WAIT: Duration = Duration::from_secs(2);
/// Uid of the endpoint that stays active.
const STAYING: &str = "s-00000001";
/// Uid of the endpoint that is drained.
const LEAVING: &str = "s-00000002";

/// The setting `membership-mode`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Push,
    Ask,
}

impl Mode {
    /// How late a change that discovery could send may take effect.
    fn update_bound(self) -> Duration {
        if self == Self::Push {
            Duration::ZERO
        } else {
            UPDATE_BOUND
        }
    }
}

/// Two endpoints, and lists of them.
struct Members {
    staying: (SocketAddr, Arc<StubDatabase>),
    leaving: (SocketAddr, Arc<StubDatabase>),
}

impl Members {
    fn start() -> Self {
        let echo =
            |query: &str| Reply::Send(row_with_tag(query.split('\'').nth(1).unwrap(), "SELECT 1"));
        let staying = stub_database("read-write", move |_, q| echo(q));
        Self {
            staying,
            leaving: stub_database("read-only", move |_, q| echo(q)),
        }
    }

    fn entry(&self, uid: &str, state: &str) -> String {
        if uid == STAYING {
            target(uid, self.staying.0, "read-write", state)
        } else {
            // By far the larger, so that it gets most requests for as long as it may.
            target(uid, self.leaving.0, "read-only", state)
                .replace("\"capacity_hint\":1.0", "\"capacity_hint\":20.0")
        }
    }

    fn list(&self, leaving_state: &str) -> [(&'static str, String); 2] {
        [
            (STAYING, self.entry(STAYING, "active")),
            (LEAVING, self.entry(LEAVING, leaving_state)),
        ]
    }

    fn body(&self, rev: u64, all: bool, leaving_state: &str) -> String {
        let targets = self.list(leaving_state).map(|(_, text)| text).join(",");
        format!(r#"{{"rev":{rev},"all":{all},"targets":[{targets}]}}"#)
    }
}

/// Clients that send requests until this is dropped.
struct Load(Arc<AtomicBool>, Vec<JoinHandle<()>>);

impl Load {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let client = |_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let mut client = Client::connect(address);
                while !stop.load(SeqCst) {
                    let query = "/* id=1,c=read,t=acme,d=4000,cluster=0 */ SELECT body FROM objects WHERE oid = 'x'";
                    if client.query(query) == Answer::Ended {
                        return;
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            })
        };
        let clients = (0..3).map(client).collect();
        Self(stop, clients)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.store(true, SeqCst);
        self.1.drain(..).for_each(|client| drop(client.join()));
    }
}

/// A gateway under load that watches a scripted discovery service.
struct Scenario {
    members: Members,
    discovery: Arc<ScriptedDiscovery>,
    config: PathBuf,
    _load: Load,
    program: GatewayProcess,
    began: Instant,
}

impl Scenario {
    fn start(mode: Mode, fleet: u32) -> Self {
        let members = Members::start();
        let discovery = ScriptedDiscovery::start(&members.list("active"));
        Self::start_with(mode, fleet, members, discovery, |text| text)
    }

    /// Starts a gateway that has both endpoints as active at version 0.
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

    /// Waits until the watch is open and the endpoint that will drain gets requests.
    fn settled(self) -> Self {
        wait_until("the watch is open", || self.discovery.count() > 1);
        self.wait_until_leaving_is_used();
        self
    }

    fn wait_until_leaving_is_used(&self) {
        let before = self.members.leaving.1.count();
        wait_until("the endpoint that may drain gets requests", || {
            self.members.leaving.1.count() > before + 2
        });
    }

    /// Publishes the drain; returns when.
    fn drain(&self) -> Instant {
        self.discovery
            .publish(LEAVING, self.members.entry(LEAVING, "leaving"))
    }

    /// Asserts that the draining endpoint gets nothing later than `bound` after `since`, while the
    /// other endpoint serves.
    fn assert_drained(&self, since: Instant, bound: Duration) {
        let end = since + bound;
        let until_then = end.saturating_duration_since(Instant::now());
        wait_until_within(TEST_TIMEOUT + until_then, "the bound has passed", || {
            Instant::now() > end + Duration::from_millis(700)
        });
        let served = self.members.staying.1.count();
        wait_until("the other endpoint serves", || {
            self.members.staying.1.count() > served + 20
        });
        let sent = self.members.leaving.1.queries.lock().unwrap();
        let last = sent.iter().map(|q| q.0).max();
        let after = last.map(|at| at.saturating_duration_since(since));
        println!("last request {after:?} after the change, allowed {bound:?}");
        let late = sent.iter().filter(|q| q.0 > end).count();
        assert_eq!(
            late, 0,
            "sent to a draining endpoint: last request {after:?} after the change, allowed {bound:?}"
        );
    }

    /// Changes the address of discovery in the configuration and sends SIGHUP; returns when.
    fn change_discovery(&self, to: SocketAddr) -> Instant {
        let text = std::fs::read_to_string(&self.config).unwrap();
        let current = text
            .split("\"discovery\":\"")
            .nth(1)
            .unwrap()
            .split('"')
            .next()
            .unwrap();
        std::fs::write(&self.config, text.replace(current, &to.to_string())).unwrap();
        let at = Instant::now();
        self.program.signal("HUP");
        self.program.wait_for_log(&format!("discovery={to}"));
        at
    }

    /// Sends SIGSTOP and waits until every thread has stopped.
    fn pause(&self) {
        self.program.signal("STOP");
        let tasks = procfs::process::Process::new(self.program.0.id().cast_signed()).unwrap();
        let is_stopped = |t: procfs::process::Task| t.stat().is_ok_and(|s| s.state == 'T');
        wait_until("all threads of the gateway are stopped", || {
            tasks.tasks().unwrap().flatten().all(is_stopped)
        });
    }
}

fn config_of(address: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    support::config(address, discovery, known, 15_000)
}

/// A fault of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// Open watches and new connections never get an answer, even after the outage.
    Silent,
    /// Open watches are reset and new connections refused.
    Refused,
    /// Calls are answered with status 503.
    Unavailable,
    /// Each call is reset.
    Reset,
    /// Half a list, then a reset.
    PartialThenReset,
    /// Half a list without a length, then the end of the connection.
    PartialThenClose,
    /// Half a list, then nothing more.
    PartialThenSilent,
    /// An endless list in small pieces.
    Dripping,
    /// A complete but wrong list without a length, then a reset.
    WrongListThenReset,
}

/// Number of pieces of an endless answer.
const PIECES: usize = 2_000;

impl Outage {
    /// Applies the fault to all open and later calls.
    fn begin(self, discovery: &ScriptedDiscovery, members: &Members) {
        let body = members.body(1_000, true, "active");
        let partial = |form: Form| {
            let (pieces, _) = answer(&body, form);
            let bytes = pieces.concat_bytes();
            bytes[..bytes.len() - body.len() / 2].to_vec()
        };
        let soon = Duration::from_millis(20);
        let (bytes, end) = match self {
            Self::Silent => return discovery.go_silent(),
            Self::Refused => return discovery.go_down(),
            Self::Unavailable => (
                vec![(
                    soon,
                    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_vec(),
                )],
                AfterReply::Keep,
            ),
            Self::Reset => (vec![], AfterReply::Reset),
            Self::PartialThenReset => (
                vec![(soon, partial(Form::Plain)), (soon, vec![])],
                AfterReply::Reset,
            ),
            Self::PartialThenClose => (vec![(soon, partial(Form::NoLength))], AfterReply::Close),
            Self::PartialThenSilent => (vec![(soon, partial(Form::Plain))], AfterReply::Silent),
            Self::Dripping => {
                let head = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n".to_vec();
                let piece = (Duration::from_millis(40), b" ".to_vec());
                (
                    [vec![(soon, head)], vec![piece; PIECES]].concat(),
                    AfterReply::Silent,
                )
            }
            Self::WrongListThenReset => {
                // The list lacks the endpoint that is still active.
                let only = members.entry(STAYING, "active");
                let body = format!(r#"{{"rev":1000,"all":true,"targets":[{only}]}}"#);
                let (pieces, _) = answer(&body, Form::NoLength);
                ([pieces, vec![(soon, vec![])]].concat(), AfterReply::Reset)
            }
        };
        discovery.set_script(move |_| CallReply::Bytes(bytes.clone(), end));
        discovery.reset_open_connections();
    }

    /// Ends the fault for new calls; returns when.
    fn end(self, discovery: &ScriptedDiscovery) -> Instant {
        discovery.set_form(Form::Plain);
        if matches!(self, Self::Silent | Self::Refused) {
            discovery.come_back()
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
        self.iter().flat_map(|(_, bytes)| bytes.clone()).collect()
    }
}

// ---- Broken watches ----

/// An agent has its changes whether or not a watch is open; a service has to be called again.
#[rstest]
fn watch_gets_no_answer_it_is_repeated(#[values(Mode::Push, Mode::Ask)] mode: Mode) {
    let scenario = Scenario::start(mode, 1).settled();
    scenario.discovery.mute_open_connections();
    let changed = scenario.drain();
    scenario.assert_drained(changed, mode.update_bound() + DRAIN_GRACE);
}

/// In a fleet of a hundred gateways a watch waits for 20 s.
#[test]
fn long_watch_gets_no_answer_it_is_repeated_soon_after_its_wait() {
    let scenario = Scenario::start(Mode::Ask, 100).settled();
    let watch = scenario
        .discovery
        .calls
        .lock()
        .unwrap()
        .last()
        .cloned()
        .unwrap();
    scenario.discovery.mute_open_connections();
    scenario.drain();
    let bound = (watch.hold + UPDATE_BOUND_AFTER_WAIT).max(UPDATE_BOUND);
    assert!(watch.hold >= Duration::from_secs(10), "{watch:?}");
    scenario.assert_drained(watch.at, bound + DRAIN_GRACE);
}

#[rstest]
fn watch_is_reset_it_is_reopened(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
    #[values(1, 100)] fleet: u32,
) {
    let scenario = Scenario::start(mode, fleet).settled();
    scenario.discovery.reset_open_connections();
    let changed = scenario.drain();
    scenario.assert_drained(changed, mode.update_bound() + DRAIN_GRACE);
}

/// After any outage, changes of an agent take effect as soon as it is back, those of a service
/// within 6 s.
#[rstest]
fn outage_ends_changes_take_effect_in_time(
    #[values(
        Outage::Silent,
        Outage::Refused,
        Outage::Unavailable,
        Outage::Reset,
        Outage::PartialThenReset,
        Outage::PartialThenClose,
        Outage::PartialThenSilent,
        Outage::Dripping,
        Outage::WrongListThenReset
    )]
    outage: Outage,
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
) {
    let scenario = Scenario::start(mode, 100).settled();
    // The open watch is reset and the calls after it fail; a long watch without an answer is tested
    // above.
    scenario.discovery.reset_open_connections();
    outage.begin(&scenario.discovery, &scenario.members);
    scenario.drain();
    // Long enough for the pauses to have grown, and so that the outage ends in the middle of a
    // pause or of a call.
    thread::sleep(Duration::from_millis(8_030));
    scenario.wait_until_leaving_is_used();
    let back = outage.end(&scenario.discovery);
    // A dripping answer goes on until the gateway gives it up, which may take until after the
    // outage.
    let dripping = if outage == Outage::Dripping {
        Duration::from_secs(1)
    } else {
        Duration::ZERO
    };
    scenario.assert_drained(back, mode.update_bound().max(dripping) + DRAIN_GRACE);
}

/// Several calls in turn get no answer on a connection that stays open; then one does.
#[rstest]
fn calls_get_no_answer_they_are_repeated(#[values(Mode::Push, Mode::Ask)] mode: Mode) {
    let scenario = Scenario::start(mode, 1).settled();
    let mut unanswered = 3;
    scenario.discovery.set_script(move |_| {
        unanswered -= 1;
        if unanswered >= 0 {
            CallReply::Unanswered
        } else {
            CallReply::Update(Form::Plain)
        }
    });
    scenario.discovery.reset_open_connections();
    let changed = scenario.drain();
    // Three calls, each of which times out.
    let each = if mode == Mode::Push {
        Duration::from_millis(200)
    } else {
        UPDATE_BOUND
    };
    scenario.assert_drained(changed, each * 3 + mode.update_bound() + DRAIN_GRACE);
}

/// No call goes on forever.
#[rstest]
fn answer_in_pieces_never_ends_it_is_given_up(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
    #[values(
        "HTTP/1.1 200 OK\r\nX: ",
        "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n",
        "HTTP/1.1 200 OK\r\n\r\n"
    )]
    head: &'static str,
) {
    let scenario = Scenario::start(mode, 1).settled();
    let mut first = true;
    scenario.discovery.set_script(move |_| {
        if !std::mem::take(&mut first) {
            return CallReply::Update(Form::Plain);
        }
        let piece = (Duration::from_millis(40), b" ".to_vec());
        CallReply::Bytes(
            [vec![(Duration::ZERO, head.into())], vec![piece; PIECES]].concat(),
            AfterReply::Silent,
        )
    });
    scenario.discovery.reset_open_connections();
    let calls = scenario.discovery.count();
    wait_until("the endless answer has started", || {
        scenario.discovery.count() > calls
    });
    let changed = scenario.drain();
    scenario.assert_drained(changed, UPDATE_BOUND + DRAIN_GRACE);
}

// ---- Forms of answers ----

/// In each form a change takes effect at once, the connection is reused where the form allows it,
/// and no problem is logged.
#[rstest]
fn answer_has_any_valid_form_change_takes_effect_at_once(
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
    discovery.set_form(form);
    let scenario = Scenario::start_with(Mode::Push, 1, members, discovery, |text| text).settled();
    scenario.assert_drained(scenario.drain(), DRAIN_GRACE);
    scenario
        .discovery
        .publish(LEAVING, scenario.members.entry(LEAVING, "active"));
    scenario.wait_until_leaving_is_used();
    scenario.assert_drained(scenario.drain(), DRAIN_GRACE);
    let calls = scenario.discovery.count();
    wait_until("more calls are answered", || {
        scenario
            .discovery
            .publish(STAYING, scenario.members.entry(STAYING, "active"));
        scenario.discovery.count() > calls + 40
    });
    let (calls, connections) = (scenario.discovery.count(), scenario.discovery.connections());
    println!("{calls} calls on {connections} connections");
    let closes = matches!(
        form,
        Form::NoLength | Form::ConnectionHeader(_) | Form::Http10
    );
    assert!(
        closes || connections * 5 <= calls,
        "{calls} calls took {connections} connections"
    );
    // On a busy machine a call may time out; any other problem in the log is an error.
    let log = scenario.program.log();
    let wrong = log
        .lines()
        .filter(|l| !l.contains("no response"))
        .find(|l| {
            l.contains("keeping the cached endpoint list") || l.contains("keeping the old one")
        });
    assert_eq!(wrong, None);
}

#[rstest]
fn full_list_lacks_endpoint_endpoint_is_removed(#[values(Mode::Push, Mode::Ask)] mode: Mode) {
    let scenario = Scenario::start(mode, 1).settled();
    scenario.discovery.set_form(Form::FullList);
    let changed = scenario.discovery.remove(LEAVING);
    // Only the answer to the next call is a full list.
    scenario.assert_drained(changed, mode.update_bound() + DRAIN_GRACE);
}

/// None of these is a list, and the watch goes on after each of them.
#[rstest]
#[case::oversized_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"rev\r\nffffffffffffffff\r\n"
)]
#[case::oversized_body("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n")]
#[case::not_http("SSH-2.0-x\r\n\r\n")]
#[case::not_a_list("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")]
#[case::empty_body("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::another_status("HTTP/1.1 204 No Content\r\n\r\n")]
fn answer_is_invalid_it_is_ignored_and_watch_goes_on(#[case] bytes: &'static str) {
    let scenario = Scenario::start(Mode::Push, 1).settled();
    let mut first = true;
    scenario
        .discovery
        .set_script(move |_| match std::mem::take(&mut first) {
            true => CallReply::Bytes(vec![(Duration::ZERO, bytes.into())], AfterReply::Silent),
            false => CallReply::Update(Form::Plain),
        });
    scenario.discovery.reset_open_connections();
    scenario
        .program
        .wait_for_log("keeping the cached endpoint list");
    scenario.assert_drained(scenario.drain(), DRAIN_GRACE);
    scenario
        .program
        .wait_for_log("discovery poll succeeded again");
}

// ---- Versions ----

/// An answer of an older version is not applied, and the full list is requested.
#[rstest]
fn stale_answer_lists_drained_endpoint_as_active_it_stays_drained(
    #[values(true, false)] full: bool,
) {
    let scenario = Scenario::start(Mode::Push, 1).settled();
    let changed = scenario.drain();
    scenario.assert_drained(changed, DRAIN_GRACE);
    let stale = scenario.members.body(1, full, "active");
    let mut first = true;
    scenario.discovery.set_script(move |call: &Call| {
        if call.from.is_some() && std::mem::take(&mut first) {
            let (pieces, end) = answer(&stale, Form::Plain);
            return CallReply::Bytes(pieces, end);
        }
        CallReply::Update(Form::Plain)
    });
    let is_full_request = |call: &Call| call.from.is_none() && call.at > changed;
    wait_until("the full list is requested", || {
        scenario
            .discovery
            .calls
            .lock()
            .unwrap()
            .iter()
            .any(is_full_request)
    });
    scenario.assert_drained(changed, DRAIN_GRACE);
}

/// A discovery service whose version count restarts has nothing newer than the version the gateway
/// has, so it sends no changes as long as the gateway asks from that version.
#[rstest]
fn discovery_restarts_its_versions_changes_still_take_effect(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
) {
    let scenario = Scenario::start(mode, 1).settled();
    for _ in 0..5 {
        scenario
            .discovery
            .publish(STAYING, scenario.members.entry(STAYING, "active"));
    }
    let is_at_6 = |call: &Call| call.from == Some(6);
    wait_until("the watch is at version 6", || {
        scenario.discovery.calls.lock().unwrap().iter().any(is_at_6)
    });
    let changed =
        scenario
            .discovery
            .restart_versions(1, LEAVING, scenario.members.entry(LEAVING, "leaving"));
    scenario.assert_drained(changed, mode.update_bound() + DRAIN_GRACE);
    scenario
        .discovery
        .publish(LEAVING, scenario.members.entry(LEAVING, "active"));
    scenario.wait_until_leaving_is_used();
}

// ---- Change of the discovery address ----

/// SIGHUP during each kind of outage: changes at the new address take effect within 4 s.
#[rstest]
fn address_changes_during_outage_new_address_is_used(
    #[values(
        Outage::Silent,
        Outage::Refused,
        Outage::Unavailable,
        Outage::Reset,
        Outage::PartialThenReset,
        Outage::PartialThenClose,
        Outage::PartialThenSilent,
        Outage::Dripping,
        Outage::WrongListThenReset
    )]
    outage: Outage,
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
) {
    let scenario = Scenario::start(mode, 100).settled();
    let new = ScriptedDiscovery::start(&scenario.members.list("leaving"));
    scenario.discovery.reset_open_connections();
    outage.begin(&scenario.discovery, &scenario.members);
    thread::sleep(Duration::from_millis(1_500));
    let changed = scenario.change_discovery(new.address);
    scenario.assert_drained(changed, UPDATE_BOUND_NEW_ADDRESS + DRAIN_GRACE);
    assert_eq!(
        new.calls.lock().unwrap()[0].from,
        None,
        "the first call to the new address must not name a version of the old one"
    );
}

#[rstest]
fn connect_to_previous_address_hangs_new_address_is_used(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
) {
    let scenario = Scenario::start(mode, 100).settled();
    let (hangs, new) = (
        HangingListener::start(),
        ScriptedDiscovery::start(&scenario.members.list("leaving")),
    );
    scenario.change_discovery(hangs.0);
    thread::sleep(Duration::from_millis(200));
    let changed = scenario.change_discovery(new.address);
    scenario.assert_drained(changed, UPDATE_BOUND_NEW_ADDRESS + DRAIN_GRACE);
}

/// The old address answers a call only after the change of address; the list of the new address
/// counts.
#[rstest]
fn old_address_answers_after_change_its_list_does_not_apply(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
) {
    let scenario = Scenario::start(mode, 1).settled();
    let late = answer(&scenario.members.body(1_000, true, "active"), Form::Plain)
        .0
        .concat_bytes();
    let pause = Duration::from_millis(90);
    scenario
        .discovery
        .set_script(move |_| CallReply::Bytes(vec![(pause, late.clone())], AfterReply::Keep));
    let calls = scenario.discovery.count();
    scenario.discovery.reset_open_connections();
    wait_until("the old address is called", || {
        scenario.discovery.count() > calls
    });
    let new = ScriptedDiscovery::start(&scenario.members.list("leaving"));
    let changed = scenario.change_discovery(new.address);
    scenario.assert_drained(changed, UPDATE_BOUND_NEW_ADDRESS + DRAIN_GRACE);
    let old_calls = scenario.discovery.count();
    scenario.wait_until_staying_serves();
    assert_eq!(
        scenario.discovery.count(),
        old_calls,
        "the old address is still called"
    );
}

// ---- Starts and pauses of the process ----

/// Changes of an agent take effect from the start of the process, those of a service within 6 s.
#[rstest]
fn configured_list_is_stale_change_takes_effect_from_start(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
    #[values(1, 100)] fleet: u32,
) {
    let members = Members::start();
    let discovery = ScriptedDiscovery::start(&members.list("leaving"));
    let scenario = Scenario::start_with(mode, fleet, members, discovery, |text| text);
    scenario.assert_drained(scenario.began, mode.update_bound() + DRAIN_GRACE);
}

#[test]
fn agent_is_silent_at_start_its_change_takes_effect_as_it_returns() {
    let members = Members::start();
    let discovery = ScriptedDiscovery::start(&members.list("leaving"));
    discovery.go_silent();
    let scenario = Scenario::start_with(Mode::Push, 100, members, discovery, |text| text);
    thread::sleep(Duration::from_millis(3_040));
    scenario.wait_until_leaving_is_used();
    scenario.assert_drained(scenario.discovery.come_back(), DRAIN_GRACE);
}

/// The list in the configuration may be empty, partial or no list at all; the one of discovery
/// replaces it.
#[rstest]
#[case::empty(r#"{"rev":7,"all":true,"targets":[]}"#)]
#[case::changes(r#"{"rev":7,"all":false,"targets":[]}"#)]
#[case::null("null")]
#[case::text(r#""s-00000001""#)]
#[case::no_versions(r#"{"all":true,"targets":[]}"#)]
fn configured_list_is_unusable_full_list_is_requested(#[case] known: &'static str) {
    let members = Members::start();
    let discovery = ScriptedDiscovery::start(&members.list("active"));
    let scenario = Scenario::start_with(Mode::Push, 1, members, discovery, |text| {
        let (before, rest) = text.split_once("\"known\":").unwrap();
        let (_, after) = rest.split_once("\"settings\"").unwrap();
        format!("{before}\"known\":{known},\"settings\"{after}")
    });
    let scenario = scenario.settled();
    assert_eq!(scenario.discovery.calls.lock().unwrap()[0].from, None);
    scenario.assert_drained(scenario.drain(), DRAIN_GRACE);
}

/// The process is paused while the change is sent to it.
#[rstest]
fn change_arrives_while_process_is_paused_it_takes_effect_on_resume(
    #[values(Mode::Push, Mode::Ask)] mode: Mode,
    #[values(1_000, 3_500)] ms: u64,
) {
    let scenario = Scenario::start(mode, 1).settled();
    scenario.pause();
    scenario.drain();
    thread::sleep(Duration::from_millis(ms));
    let resumed = Instant::now();
    scenario.program.signal("CONT");
    scenario.assert_drained(resumed, DRAIN_GRACE);
}

impl Scenario {
    fn wait_until_staying_serves(&self) {
        let served = self.members.staying.1.count();
        wait_until("the other endpoint serves", || {
            self.members.staying.1.count() > served + 50
        });
    }
}
