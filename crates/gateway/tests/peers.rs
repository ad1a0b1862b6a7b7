//! Membership of several gateway processes, with relays between them that lose, delay, duplicate
//! and block datagrams.

mod support;

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rstest::rstest;
use support::*;
use valehatch_testbed::relay::{Relays, Weather};

/// Gateways whose peer traffic passes through relays. The n-th gateway listens for peers at
/// `listen[n]` and advertises the address of its relay; a gateway that does not run is `None`.
struct Fleet {
    relays: Arc<Relays>,
    fronts: Vec<SocketAddr>,
    listen: Vec<SocketAddr>,
    database: SocketAddr,
    programs: Vec<Option<GatewayProcess>>,
}

fn config(front: SocketAddr, database: SocketAddr, peers: &str) -> String {
    format!(
        "[gateway]\nname = \"g\"\nrouters = 3\n[log]\nlines-per-s = 100000\n{peers}\n\
         [[front]]\nname = \"f\"\nprotocol = \"postgresql\"\nlisten = \"{front}\"\n\
         [[front.member]]\nname = \"m\"\naddress = \"{database}\"\nprimary = true\n\
         [[front.contract]]\nname = \"read\"\nneed = \"any\"\neffect = \"safe\"\naim-ms = 2000\ndeadline-ms = 5000\n"
    )
}

impl Fleet {
    fn new(size: usize) -> Self {
        let listen: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
        let relays = Relays::start(listen.clone(), 1).unwrap();
        let fronts = (0..size).map(|_| free_address()).collect();
        let (database, _) = stub_database("read-write", |_, _| Reply::Send(row("here")));
        let programs = (0..size).map(|_| None).collect();
        let mut fleet = Self {
            relays,
            fronts,
            listen,
            database,
            programs,
        };
        (0..size).for_each(|n| fleet.start(n));
        fleet
    }

    /// The peer address that a gateway advertises, which is that of its relay.
    fn advertised(&self, n: usize) -> SocketAddr {
        self.relays.address(n).unwrap()
    }

    fn start(&mut self, n: usize) {
        self.start_as(n, self.advertised(n));
    }

    fn start_as(&mut self, n: usize, advertised: SocketAddr) {
        let seeds: Vec<String> = (0..2)
            .map(|s| format!("\"{}\"", self.advertised(s)))
            .collect();
        let peers = format!(
            "[peers]\nlisten = \"{}\"\nadvertise = \"{}\"\nfleet = \"test\"\nseeds = [{}]\nfrom = [\"127.0.0.0/8\"]\nprobe-ms = 150\n",
            self.listen[n],
            advertised,
            seeds.join(", ")
        );
        let path = temp_folder().join("gateway.toml");
        std::fs::write(&path, config(self.fronts[n], self.database, &peers)).unwrap();
        let program =
            GatewayProcess::start(&["serve", path.to_str().unwrap()], None, self.fronts[n]);
        self.programs[n] = Some(program);
    }

    fn kill(&mut self, gateways: &[usize]) {
        for n in gateways {
            self.programs[*n].as_mut().unwrap().0.kill().unwrap();
        }
        gateways.iter().for_each(|n| drop(self.programs[*n].take()));
    }

    fn log(&self, n: usize) -> String {
        self.programs[n].as_ref().unwrap().log()
    }

    /// The peers that a gateway considers live, according to its log.
    fn live_peers(&self, n: usize) -> BTreeSet<SocketAddr> {
        let mut live = BTreeSet::new();
        for line in self.log(n).lines() {
            let Some((_, event)) = line.split_once("gateway ") else {
                continue;
            };
            let Some((change, peer)) = event.split_once(" peer=") else {
                continue;
            };
            let Ok(peer) = peer.parse() else { continue };
            match change {
                "joined" | "restarted" | "responds again" | "suspected" => live.insert(peer),
                "failed" | "left" => live.remove(&peer),
                _ => false,
            };
        }
        live
    }

    /// Waits until each running gateway considers exactly the other running gateways live.
    fn wait_for_agreement(&self, what: &str) {
        let running: Vec<usize> = (0..self.programs.len())
            .filter(|n| self.programs[*n].is_some())
            .collect();
        wait_until(what, || {
            running.iter().all(|n| {
                let others = running
                    .iter()
                    .filter(|o| *o != n)
                    .map(|o| self.advertised(*o));
                self.live_peers(*n) == others.collect::<BTreeSet<_>>()
            })
        });
    }

    /// Member count and digest of a gateway's view, if its last log line about the view says that
    /// it is settled.
    fn view(&self, n: usize) -> Option<(usize, String)> {
        let log = self.log(n);
        let last = log.lines().rfind(|l| l.contains("membership view "))?;
        let (members, rest) = last
            .split_once("settled gateways=")?
            .1
            .split_once(" digest=")?;
        Some((members.parse().ok()?, rest.split(' ').next()?.to_owned()))
    }

    /// Waits until all running gateways report the same settled view with this number of members.
    fn wait_for_settled_view(&self, members: usize, what: &str) {
        let running: Vec<usize> = (0..self.programs.len())
            .filter(|n| self.programs[*n].is_some())
            .collect();
        wait_until(what, || {
            let views: BTreeSet<_> = running.iter().map(|n| self.view(*n)).collect();
            views.len() == 1 && views.iter().flatten().any(|v| v.0 == members)
        });
    }

    /// Asserts that each running gateway serves a request.
    fn expect_all_serve(&self) {
        for front in self
            .programs
            .iter()
            .zip(&self.fronts)
            .filter(|(p, _)| p.is_some())
            .map(|(_, f)| *f)
        {
            let query = "/* id=1,c=read,t=acme,d=5000,cluster=0 */ SELECT body FROM objects WHERE oid = 'x'";
            assert_eq!(
                Client::connect(front).query(query),
                Answer::Value("here".into())
            );
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.relays.stop();
    }
}

#[test]
fn five_of_seven_gateways_killed_and_restarted_all_agree_and_serve() {
    let mut fleet = Fleet::new(7);
    fleet.wait_for_agreement("all gateways know each other");
    // The configuration says 3 gateways; shared limits must be divided by the actual number at
    // once.
    fleet.programs[3]
        .as_ref()
        .unwrap()
        .wait_for_log("gateway count changed gateways=7");
    fleet.kill(&[0, 1, 2, 4, 5]);
    [0, 1, 2, 4, 5].into_iter().for_each(|n| fleet.start(n));
    fleet.wait_for_agreement("all gateways know each other again, including the seeds");
    fleet.wait_for_settled_view(7, "all views are equal after the restarts");
    fleet.expect_all_serve();
    let restarted = format!("gateway restarted peer={}\n", fleet.advertised(4));
    wait_until("the surviving gateways log the restart", || {
        fleet.log(3).contains(&restarted) && fleet.log(6).contains(&restarted)
    });
}

#[test]
fn planned_shutdown_is_logged_as_left_and_kill_as_failed() {
    let mut fleet = Fleet::new(4);
    fleet.wait_for_agreement("all gateways know each other");
    fleet.programs[2].as_ref().unwrap().terminate();
    let left = format!("gateway left peer={}\n", fleet.advertised(2));
    wait_until("the others log the planned shutdown", || {
        [0, 1, 3].iter().all(|n| fleet.log(*n).contains(&left))
    });
    fleet.programs[2].as_mut().unwrap().wait_for_exit();
    fleet.programs[2] = None;
    fleet.kill(&[3]);
    fleet.wait_for_agreement("the others notice the kill");
    let (planned, killed) = (fleet.advertised(2), fleet.advertised(3));
    for n in [0, 1] {
        assert!(
            !fleet
                .log(n)
                .contains(&format!("gateway failed peer={planned}\n"))
        );
        assert!(
            fleet
                .log(n)
                .contains(&format!("gateway failed peer={killed}\n"))
        );
    }
}

#[test]
fn gateway_resumes_after_suspension_logs_it_and_reports_no_other_as_failed() {
    let fleet = Fleet::new(4);
    fleet.wait_for_agreement("all gateways know each other");
    let stopped = fleet.advertised(3);
    fleet.programs[3].as_ref().unwrap().signal("STOP");
    let failed = format!("gateway failed peer={stopped}\n");
    wait_until("the others log the failure", || {
        (0..3).all(|n| fleet.log(n).contains(&failed))
    });
    // Taken only now: the suspended gateway logs nothing, and its earlier output has been read.
    let before = fleet.log(3).len();
    fleet.programs[3].as_ref().unwrap().signal("CONT");
    fleet.wait_for_agreement("the resumed gateway is a member again");
    fleet.wait_for_settled_view(4, "all views are equal after the suspension");
    let log = fleet.log(3)[before..].to_owned();
    let first = log
        .lines()
        .find(|l| l.contains("gateway") || l.contains("membership"))
        .unwrap_or_default();
    assert!(
        first.contains("this gateway was suspended suspended_ms="),
        "{log}"
    );
    assert!(!log.contains("gateway failed"), "{log}");
    fleet.expect_all_serve();
}

#[rstest]
#[case::both_directions(true)]
#[case::one_direction(false)]
fn halves_partitioned_then_reconnected_both_serve_and_merge(#[case] both_directions: bool) {
    let fleet = Fleet::new(6);
    fleet.wait_for_agreement("all gateways know each other");
    let halves: Vec<(usize, usize)> = (0..3).flat_map(|a| (3..6).map(move |b| (a, b))).collect();
    let back = halves
        .iter()
        .filter(|_| both_directions)
        .map(|(a, b)| (*b, *a));
    fleet.relays.set(Weather {
        cut: halves.iter().copied().chain(back).collect(),
        ..Weather::default()
    });
    let other_half: BTreeSet<SocketAddr> = (0..3).map(|n| fleet.advertised(n)).collect();
    wait_until(
        "the half that receives nothing considers the other failed",
        || (3..6).all(|n| fleet.live_peers(n).is_disjoint(&other_half)),
    );
    wait_until("each half has a settled view of itself", || {
        (0..6).all(|n| fleet.view(n).is_some_and(|v| v.0 == 3))
    });
    fleet.expect_all_serve();
    fleet.relays.set(Weather::default());
    fleet.wait_for_agreement("the halves have merged");
    fleet.wait_for_settled_view(6, "all views are equal after the partition");
}

#[test]
fn half_of_datagrams_lost_others_late_or_duplicated_all_gateways_find_each_other() {
    let mut fleet = Fleet::new(5);
    fleet.relays.set(Weather {
        lost: 0.5,
        doubled: 0.5,
        delay: Duration::from_millis(60),
        ..Weather::default()
    });
    fleet.kill(&[0, 1, 2, 3, 4]);
    (0..5).for_each(|n| fleet.start(n));
    let has_found_all = |n: usize| {
        (0..5).filter(|o| *o != n).all(|o| {
            fleet
                .log(n)
                .contains(&format!("gateway joined peer={}\n", fleet.advertised(o)))
        })
    };
    wait_until("all gateways have found each other", || {
        (0..5).all(has_found_all)
    });
    fleet.expect_all_serve();
    fleet.relays.set(Weather::default());
    fleet.wait_for_agreement("all gateways agree once the faults have ended");
    fleet.wait_for_settled_view(5, "all views are equal once the faults have ended");
    // The platform's networks carry at most 256 bytes in one datagram.
    for n in 0..5 {
        let (sent, bytes) = (
            fleet.relays.sent[n].load(Ordering::Relaxed),
            fleet.relays.bytes[n].load(Ordering::Relaxed),
        );
        assert!(sent > 0 && bytes <= sent * 256, "{bytes} bytes in {sent}");
    }
}

#[test]
fn datagrams_of_another_fleet_or_invalid_are_ignored() {
    let fleet = Fleet::new(3);
    fleet.wait_for_agreement("all gateways know each other");
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let front = free_address();
    let seeds: Vec<String> = fleet.listen.iter().map(|a| format!("\"{a}\"")).collect();
    let listen = free_address();
    let peers = format!(
        "[peers]\nlisten = \"{listen}\"\nfleet = \"another\"\nseeds = [{}]\nfrom = [\"127.0.0.0/8\"]\nprobe-ms = 150\n",
        seeds.join(", ")
    );
    let path = temp_folder().join("gateway.toml");
    std::fs::write(&path, config(front, fleet.database, &peers)).unwrap();
    let other = GatewayProcess::start(&["serve", path.to_str().unwrap()], None, front);
    for n in 0..300_usize {
        let bytes: Vec<u8> = (0..n)
            .map(|b| u8::try_from((b * n) % 251).unwrap())
            .collect();
        stranger.send_to(&bytes, fleet.listen[n % 3]).unwrap();
    }
    // Failure detection still works; meanwhile the gateway of the other fleet has sent many
    // requests.
    let mut fleet = fleet;
    fleet.kill(&[2]);
    fleet.wait_for_agreement("the other two notice the kill");
    fleet.wait_for_settled_view(
        2,
        "the view does not contain the gateway of the other fleet",
    );
    fleet.expect_all_serve();
    assert!(!other.log().contains("gateway joined"));
    let strangers = [listen, stranger.local_addr().unwrap()];
    assert!((0..2).all(|n| {
        strangers
            .iter()
            .all(|s| !fleet.log(n).contains(&s.to_string()))
    }));
}

#[test]
fn two_gateways_share_an_address_both_log_it_and_all_serve() {
    let mut fleet = Fleet::new(5);
    fleet.kill(&[4]);
    fleet.wait_for_settled_view(4, "four gateways without the fifth");
    fleet.relays.set(Weather {
        namesake: Some((4, 3)),
        ..Weather::default()
    });
    fleet.start_as(4, fleet.advertised(3));
    wait_until("both gateways log the duplicate address", || {
        [3, 4].iter().all(|n| {
            fleet
                .log(*n)
                .contains("another gateway has this one's address")
        })
    });
    fleet.wait_for_settled_view(4, "all five views are equal, with four addresses");
    fleet.expect_all_serve();
}

#[rstest]
#[case::unspecified_address("listen = \"0.0.0.0:7946\"", "peers.listen")]
#[case::no_port("listen = \"127.0.0.1:0\"", "peers.listen")]
#[case::invalid_seed("listen = \"127.0.0.1:7946\"\nseeds = [\"here\"]", "peers.seeds")]
#[case::no_seeds_and_no_networks("listen = \"127.0.0.1:7946\"", "peers.seeds")]
#[case::invalid_network("listen = \"127.0.0.1:7946\"\nfrom = [\"10.0.0.0/99\"]", "peers.from")]
#[case::probe_period_too_short(
    "listen = \"127.0.0.1:7946\"\nfrom = [\"10.0.0.0/8\"]\nprobe-ms = 1",
    "peers.probe-ms"
)]
#[case::unknown_key(
    "listen = \"127.0.0.1:7946\"\nfrom = [\"10.0.0.0/8\"]\nport = 1",
    "peers.port"
)]
fn invalid_peer_settings_check_names_the_key(#[case] peers: &str, #[case] key: &str) {
    let path = temp_folder().join("gateway.toml");
    let text = config(
        free_address(),
        free_address(),
        &format!("[peers]\nfleet = \"test\"\n{peers}\n"),
    );
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_valehatch"))
        .args(["check", path.to_str().unwrap()])
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && stderr.contains(key),
        "{stderr}"
    );
}
