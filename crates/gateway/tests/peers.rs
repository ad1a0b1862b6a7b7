//! Several gateways as processes, with relays between them that lose, delay, double and cut.

mod support;

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rstest::rstest;
use support::*;
use valehatch_testbed::relay::{NetworkConditions, Relays};

struct Fleet {
    relays: Arc<Relays>,
    fronts: Vec<SocketAddr>,
    real: Vec<SocketAddr>,
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
        let real: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
        let relays = Relays::start(real.clone(), 1).unwrap();
        let fronts = (0..size).map(|_| free_address()).collect();
        let (database, _) = stub_database("read-write", |_, _| Reply::Send(row("here")));
        let programs = (0..size).map(|_| None).collect();
        let mut fleet = Self {
            relays,
            fronts,
            real,
            database,
            programs,
        };
        (0..size).for_each(|n| fleet.start(n));
        fleet
    }

    fn known(&self, n: usize) -> SocketAddr {
        self.relays.address(n).unwrap()
    }

    fn start(&mut self, n: usize) {
        self.start_as(n, self.known(n));
    }

    fn start_as(&mut self, n: usize, known: SocketAddr) {
        let seeds: Vec<String> = (0..2).map(|s| format!("\"{}\"", self.known(s))).collect();
        let peers = format!(
            "[peers]\nlisten = \"{}\"\nadvertise = \"{}\"\nfleet = \"test\"\nseeds = [{}]\nfrom = [\"127.0.0.0/8\"]\nprobe-ms = 150\n",
            self.real[n],
            known,
            seeds.join(", ")
        );
        let path = temp_folder().join("gateway.toml");
        std::fs::write(&path, config(self.fronts[n], self.database, &peers)).unwrap();
        let program =
            GatewayProcess::start(&["serve", path.to_str().unwrap()], None, self.fronts[n]);
        self.programs[n] = Some(program);
    }

    fn kill(&mut self, which: &[usize]) {
        for n in which {
            self.programs[*n].as_mut().unwrap().0.kill().unwrap();
        }
        which.iter().for_each(|n| drop(self.programs[*n].take()));
    }

    fn log(&self, n: usize) -> String {
        self.programs[n].as_ref().unwrap().log()
    }

    /// Those that a gateway takes for living, by its log.
    fn living(&self, n: usize) -> BTreeSet<SocketAddr> {
        let mut living = BTreeSet::new();
        for line in self.log(n).lines() {
            let Some((_, told)) = line.split_once("gateway ") else {
                continue;
            };
            let Some((what, peer)) = told.split_once(" peer=") else {
                continue;
            };
            let Ok(peer) = peer.parse() else { continue };
            match what {
                "joined" | "restarted" | "responds again" | "suspected" => living.insert(peer),
                "failed" | "left" => living.remove(&peer),
                _ => false,
            };
        }
        living
    }

    /// Waits until each that runs takes just those for living that run.
    fn agrees(&self, what: &str) {
        let running: Vec<usize> = (0..self.programs.len())
            .filter(|n| self.programs[*n].is_some())
            .collect();
        wait_until(what, || {
            running.iter().all(|n| {
                let others = running.iter().filter(|o| *o != n).map(|o| self.known(*o));
                self.living(*n) == others.collect::<BTreeSet<_>>()
            })
        });
    }

    /// What a gateway says last of its view, if it says that it is settled: members, and digest.
    fn view(&self, n: usize) -> Option<(usize, String)> {
        let log = self.log(n);
        let last = log.lines().rfind(|l| l.contains("membership view "))?;
        let (members, rest) = last
            .split_once("settled gateways=")?
            .1
            .split_once(" digest=")?;
        Some((members.parse().ok()?, rest.split(' ').next()?.to_owned()))
    }

    /// Waits until each that runs says that its view is settled, with so many in it, and the same one.
    fn settles(&self, members: usize, what: &str) {
        let running: Vec<usize> = (0..self.programs.len())
            .filter(|n| self.programs[*n].is_some())
            .collect();
        wait_until(what, || {
            let views: BTreeSet<_> = running.iter().map(|n| self.view(*n)).collect();
            views.len() == 1 && views.iter().flatten().any(|v| v.0 == members)
        });
    }

    fn serves(&self) {
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
fn most_of_a_fleet_killed_in_one_instant_comes_back_as_others_and_all_serve() {
    let mut fleet = Fleet::new(7);
    fleet.agrees("all know all");
    // More than the three that the file says: what is shared is divided by more, at once.
    fleet.programs[3]
        .as_ref()
        .unwrap()
        .wait_for_log("gateway count changed gateways=7");
    fleet.kill(&[0, 1, 2, 4, 5]);
    [0, 1, 2, 4, 5].into_iter().for_each(|n| fleet.start(n));
    fleet.agrees("all know all again, the seeds among them");
    fleet.settles(7, "all hold the same after the kill");
    fleet.serves();
    let anew = format!("gateway restarted peer={}\n", fleet.known(4));
    wait_until("it is told from its former self", || {
        fleet.log(3).contains(&anew) && fleet.log(6).contains(&anew)
    });
}

#[test]
fn a_planned_end_is_no_death_and_silence_is() {
    let mut fleet = Fleet::new(4);
    fleet.agrees("all know all");
    fleet.programs[2].as_ref().unwrap().terminate();
    let left = format!("gateway left peer={}\n", fleet.known(2));
    wait_until("they heard of its end", || {
        [0, 1, 3].iter().all(|n| fleet.log(*n).contains(&left))
    });
    fleet.programs[2].as_mut().unwrap().wait_for_exit();
    fleet.programs[2] = None;
    fleet.kill(&[3]);
    fleet.agrees("they missed the other");
    let (planned, killed) = (fleet.known(2), fleet.known(3));
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
fn one_that_stood_still_knows_it_and_blames_nobody() {
    let fleet = Fleet::new(4);
    fleet.agrees("all know all");
    let stopped = fleet.known(3);
    fleet.programs[3].as_ref().unwrap().signal("STOP");
    let dead = format!("gateway failed peer={stopped}\n");
    wait_until("the others miss it", || {
        (0..3).all(|n| fleet.log(n).contains(&dead))
    });
    // Only now: while it stands still it says nothing, and what it said just before has been read.
    let before = fleet.log(3).len();
    fleet.programs[3].as_ref().unwrap().signal("CONT");
    fleet.agrees("it is one of them again");
    fleet.settles(4, "all hold the same after the sleep");
    let said = fleet.log(3)[before..].to_owned();
    let first = said
        .lines()
        .find(|l| l.contains("gateway") || l.contains("membership"))
        .unwrap_or_default();
    assert!(
        first.contains("this gateway was suspended suspended_ms="),
        "{said}"
    );
    assert!(!said.contains("gateway failed"), "{said}");
    fleet.serves();
}

#[rstest]
#[case::both_ways(true)]
#[case::one_way(false)]
fn two_halves_cut_apart_serve_on_and_are_one_again(#[case] both: bool) {
    let fleet = Fleet::new(6);
    fleet.agrees("all know all");
    let halves: Vec<(usize, usize)> = (0..3).flat_map(|a| (3..6).map(move |b| (a, b))).collect();
    let back = halves.iter().filter(|_| both).map(|(a, b)| (*b, *a));
    fleet.relays.set(NetworkConditions {
        cut: halves.iter().copied().chain(back).collect(),
        ..NetworkConditions::default()
    });
    let other_half: BTreeSet<SocketAddr> = (0..3).map(|n| fleet.known(n)).collect();
    wait_until(
        "the half that hears nothing of the other gives it up",
        || (3..6).all(|n| fleet.living(n).is_disjoint(&other_half)),
    );
    wait_until("each half is settled by itself", || {
        (0..6).all(|n| fleet.view(n).is_some_and(|v| v.0 == 3))
    });
    fleet.serves();
    fleet.relays.set(NetworkConditions::default());
    fleet.agrees("one fleet again");
    fleet.settles(6, "all hold the same after the cut");
}

#[test]
fn with_half_the_datagrams_lost_and_the_rest_late_and_doubled_a_start_of_all_finds_all() {
    let mut fleet = Fleet::new(5);
    fleet.relays.set(NetworkConditions {
        lost: 0.5,
        duplicated: 0.5,
        delay: Duration::from_millis(60),
        ..NetworkConditions::default()
    });
    fleet.kill(&[0, 1, 2, 3, 4]);
    (0..5).for_each(|n| fleet.start(n));
    let found = |n: usize| {
        (0..5).filter(|o| *o != n).all(|o| {
            fleet
                .log(n)
                .contains(&format!("gateway joined peer={}\n", fleet.known(o)))
        })
    };
    wait_until("each has met each", || (0..5).all(found));
    fleet.serves();
    fleet.relays.set(NetworkConditions::default());
    fleet.agrees("in fair weather all is well");
    fleet.settles(5, "and all hold the same");
    // 256 bytes are the most that the platform's networks carry whole.
    for n in 0..5 {
        let (sent, bytes) = (
            fleet.relays.sent[n].load(Ordering::Relaxed),
            fleet.relays.bytes[n].load(Ordering::Relaxed),
        );
        assert!(sent > 0 && bytes <= sent * 256, "{bytes} bytes in {sent}");
    }
}

#[test]
fn what_is_of_another_fleet_or_no_datagram_at_all_changes_nothing() {
    let fleet = Fleet::new(3);
    fleet.agrees("all know all");
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let front = free_address();
    let seeds: Vec<String> = fleet.real.iter().map(|a| format!("\"{a}\"")).collect();
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
        stranger.send_to(&bytes, fleet.real[n % 3]).unwrap();
    }
    // They go on as before: one that ends is still missed, and by then the other fleet's has asked often.
    let mut fleet = fleet;
    fleet.kill(&[2]);
    fleet.agrees("two of three");
    fleet.settles(2, "the other fleet's is not in the view");
    fleet.serves();
    assert!(!other.log().contains("gateway joined"));
    let strangers = [listen, stranger.local_addr().unwrap()];
    assert!((0..2).all(|n| {
        strangers
            .iter()
            .all(|s| !fleet.log(n).contains(&s.to_string()))
    }));
}

#[test]
fn two_under_one_name_are_both_told_and_neither_is_harmed() {
    let mut fleet = Fleet::new(5);
    fleet.kill(&[4]);
    fleet.settles(4, "four without the fifth");
    fleet.relays.set(NetworkConditions {
        shared_address: Some((4, 3)),
        ..NetworkConditions::default()
    });
    fleet.start_as(4, fleet.known(3));
    wait_until("both are told", || {
        [3, 4].iter().all(|n| {
            fleet
                .log(*n)
                .contains("another gateway has this one's address")
        })
    });
    fleet.settles(4, "four names, and all five hold the same");
    fleet.serves();
}

#[rstest]
#[case::of_all("listen = \"0.0.0.0:7946\"", "peers.listen")]
#[case::no_port("listen = \"127.0.0.1:0\"", "peers.listen")]
#[case::no_seed("listen = \"127.0.0.1:7946\"\nseeds = [\"here\"]", "peers.seeds")]
#[case::nobody("listen = \"127.0.0.1:7946\"", "peers.seeds")]
#[case::no_network("listen = \"127.0.0.1:7946\"\nfrom = [\"10.0.0.0/99\"]", "peers.from")]
#[case::too_fast(
    "listen = \"127.0.0.1:7946\"\nfrom = [\"10.0.0.0/8\"]\nprobe-ms = 1",
    "peers.probe-ms"
)]
#[case::unknown(
    "listen = \"127.0.0.1:7946\"\nfrom = [\"10.0.0.0/8\"]\nport = 1",
    "peers.port"
)]
fn what_is_wrong_with_the_peers_is_named(#[case] peers: &str, #[case] key: &str) {
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
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && said.contains(key),
        "{said}"
    );
}
