//! A crowd of clients that connect and stop half way through their first request, under the
//! platform's limits.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::pg::{self, Answer, Client};
use crate::platform::{Platform, Site, record_logs, vestera_classes};

/// The platform's limits, as the bench gives them on its short days (48 to 64 MB and 512 to 672
/// descriptors); the pages: no more than 192 MB and 1,024 descriptors.
const MEMORY_MB: usize = 64;
const DESCRIPTORS: usize = 640;
/// Clients of the crowd; the pages: thousands. Those that the gateway has no descriptor for wait.
const CROWD: usize = 700;
/// Length of the value that each of them begins to write; the pages: at most 64 KiB.
const VALUE_BYTES: usize = 64 * 1024;
/// Usual clients: one request at a time, for so long.
const USUAL_CLIENTS: usize = 6;
const PLAY: Duration = Duration::from_millis(6_000);
/// Work of a request; the pages: 48 to 83 ms.
const WORK: Duration = Duration::from_millis(60);

struct Database {
    is_primary: bool,
}

impl Database {
    fn role(&self) -> &'static str {
        if self.is_primary { "read-write" } else { "read-only" }
    }

    fn answer(&self, query: &str, stream: &mut TcpStream) -> io::Result<()> {
        if query == "SHOW stats" || query == "SELECT 1" {
            let report = format!(
                "x0={:.6},x1={},util=0.1,inflight=0",
                unix_us() as f64 / 1e6,
                u8::from(self.is_primary)
            );
            let row = pg::row(report.as_bytes(), "SELECT 1");
            return stream.write_all(&[row, pg::ready()].concat());
        }
        thread::sleep(WORK);
        let row = pg::row(b"pitches", "SELECT 1");
        stream.write_all(&[row, pg::status("mode", self.role()), pg::ready()].concat())
    }
}

/// A request of a usual client.
fn request(id: &str) -> String {
    format!(
        "/* id={id},c=site-browse,t=strandlejren,d=1500,cluster=0 */ \
         SELECT body FROM objects WHERE oid = 'browse'"
    )
}

/// The first half of a booking with a long value, as a client of the crowd writes it.
fn half_a_booking(n: usize) -> Vec<u8> {
    let value = "9f".repeat(VALUE_BYTES);
    let query = format!(
        "/* id=crowd{n},c=booking-write,t=strandlejren,d=5000,k=crowd{n},cluster=0 */ INSERT INTO \
         objects (oid, body) VALUES ('pitch{n}', '\\x{value}') RETURNING body\0"
    );
    let mut message = pg::message(b'Q', query.as_bytes());
    message.truncate(message.len() / 2);
    message
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::create();
    let mut entries = vec![];
    for n in 0..4 {
        let database = Database { is_primary: n == 0 };
        let mode = database.role();
        entries.push(Entry {
            uid: format!("s-0000000{n}"),
            address: pg::database(move |query, stream| database.answer(query, stream)),
            group: 0,
            state: "active",
            boot_ms: 0,
            mode,
        });
    }
    let agent = Agent::start(1, entries, "forsyningshuset");
    let platform = Platform {
        folder: &folder,
        listen: free_address(),
        known: agent.json(None).unwrap_or_default(),
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
        site: Site {
            classes: vestera_classes(),
            server_checks: "await",
            zone: "forsyningshuset",
        },
    };
    platform.write_config(agent.address);
    let second = free_address();
    let mut gateway = platform.start(agent.address, second, "gateway.log");
    if !platform.wait_until_ready(second) {
        record_logs(record, &folder.0, &["gateway.log"]);
        return Verdict::CouldNotRun("the gateway is not ready".into());
    }
    let verdict = play(record, &platform, &mut gateway);
    drop(gateway);
    record_logs(record, &folder.0, &["gateway.log"]);
    verdict
}

/// How the requests of some clients ended.
#[derive(Clone, Copy, Default)]
struct Counts {
    served: usize,
    other: usize,
    lost: usize,
}

impl Counts {
    fn add(self, more: Self) -> Self {
        Self {
            served: self.served + more.served,
            other: self.other + more.other,
            lost: self.lost + more.lost,
        }
    }

    fn text(self) -> String {
        let Self { served, other, lost } = self;
        format!("{served} served, {other} refused or failed, {lost} lost")
    }
}

/// A client of the crowd: connects, writes its startup message and half a booking, and stays until
/// it is answered or closed, or the play is over.
fn stop_half_way(platform: &Platform<'_>, n: usize, sent: &AtomicUsize, over: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(platform.listen) else { return };
    let _ = stream.set_read_timeout(Some(millis(100)));
    if stream.write_all(&[pg::startup(), half_a_booking(n)].concat()).is_err() {
        return;
    }
    sent.fetch_add(1, Ordering::SeqCst);
    while !over.load(Ordering::SeqCst) {
        // The greeting comes first; an error or a close ends the stay.
        match pg::read_message(&mut stream) {
            Ok((b'E', _)) => return,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
    }
}

/// A usual client: one command at a time. It opens a new connection where it was refused, as that
/// may be the gateway's last word on a connection. Ends with the first lost request.
fn usual_client(platform: &Platform<'_>, n: usize, record: &Record) -> Counts {
    let (mut counts, name) = (Counts::default(), format!("usual{n}"));
    let mut session = None;
    let until = Instant::now() + PLAY;
    let mut command = 0;
    while Instant::now() < until {
        command += 1;
        if session.is_none() {
            session = Client::connect(platform.listen, millis(13_000)).ok();
        }
        let Some(open) = &mut session else { break };
        match open.query(&request(&format!("{name}-{command}"))) {
            Answer::Served(_) => counts.served += 1,
            Answer::Cut(why) => {
                record.line(format!("{name}-{command}: lost: {why}"));
                counts.lost += 1;
                break;
            }
            other => {
                record.line(format!("{name}-{command}: {}", other.text()));
                counts.other += 1;
                session = None;
            }
        }
        thread::sleep(millis(20));
    }
    counts
}

fn play(record: &Record, platform: &Platform<'_>, gateway: &mut Gateway) -> Verdict {
    let (mut most_kb, mut most_descriptors, mut killed) = (0, 0, false);
    let (sent, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let usual = thread::scope(|scope| {
        let usual: Vec<_> = (0..USUAL_CLIENTS)
            .map(|n| scope.spawn(move || usual_client(platform, n, record)))
            .collect();
        thread::sleep(millis(1_000));
        if trouble() {
            record.line(format!("a crowd of {CROWD} clients connects"));
            for n in 0..CROWD {
                let (sent, over) = (&sent, &over);
                let stay = move || stop_half_way(platform, n, sent, over);
                let thread = thread::Builder::new().stack_size(128 * 1024);
                if thread.spawn_scoped(scope, stay).is_err() {
                    record.line("no thread for a client of the crowd");
                }
            }
        }
        let mut last_line = Instant::now();
        while !usual.iter().all(|client| client.is_finished()) {
            // The platform: over its limit on memory the gateway is killed.
            let resident_kb = gateway.resident_kb();
            most_kb = most_kb.max(resident_kb);
            most_descriptors = most_descriptors.max(gateway.descriptors());
            if !killed && resident_kb > MEMORY_MB * 1024 {
                record.say(format!(
                    "platform: {} MB of {MEMORY_MB} MB are used: the gateway is killed",
                    resident_kb / 1024,
                ));
                gateway.signal(SIGKILL);
                killed = true;
            }
            if last_line.elapsed() > millis(100) {
                last_line = Instant::now();
                record.line(format!(
                    "platform: {} MB and {} descriptors used; {} clients have written half",
                    resident_kb / 1024,
                    gateway.descriptors(),
                    sent.load(Ordering::SeqCst)
                ));
            }
            thread::sleep(millis(5));
        }
        over.store(true, Ordering::SeqCst);
        let counts = usual.into_iter().map(|client| client.join().unwrap_or_default());
        counts.fold(Counts::default(), Counts::add)
    });
    record.say(format!(
        "{} MB of {MEMORY_MB} MB and {most_descriptors} descriptors of {DESCRIPTORS} at the most",
        most_kb / 1024
    ));
    record.say(format!("usual clients: {}", usual.text()));
    if killed || gateway.has_ended() {
        Verdict::Broken
    } else if usual.served < USUAL_CLIENTS {
        Verdict::CouldNotRun("hardly a request was served".into())
    } else {
        Verdict::Held
    }
}
