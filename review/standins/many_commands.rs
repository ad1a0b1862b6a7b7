//! Bad clients that send hundreds of commands at once, under the platform's limit on memory.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::pg::{self, Answer, Client, field};
use crate::platform::{Class, Platform, Site, record_logs};

/// The platform's limits: those of hard days, half of 192 MB and of 1,024 descriptors.
const MEMORY_MB: usize = 96;
const DESCRIPTORS: usize = 512;
/// Bad clients, and commands that each of them sends at once; the pages: hundreds. They read
/// whatever is sent to them.
const BAD_CLIENTS: usize = 20;
const COMMANDS: usize = 250;
/// Usual clients: one command at a time.
const USUAL_CLIENTS: usize = 6;
/// Length of a value; the pages: at most 64 KiB where values are not long ones.
const VALUE_BYTES: usize = 64 * 1024 - 512;
/// Usual clients go on for so long.
const PLAY: Duration = Duration::from_millis(8_000);
/// Two groups of six databases with four cores each; work of a request.
const GROUPS: u16 = 2;
const MEMBERS: u16 = 6;
const CORES: usize = 4;
const WORK: Duration = Duration::from_millis(60);

/// The cores of one database: what it holds beyond them waits.
struct Cores {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Cores {
    fn work(&self) {
        let mut free = self.freed.wait_while(self.free.lock().unwrap(), |free| *free == 0).unwrap();
        *free -= 1;
        drop(free);
        thread::sleep(WORK);
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
    }
}

struct Database {
    is_primary: bool,
    cores: Cores,
    answered: Arc<AtomicUsize>,
    record: Record,
}

impl Database {
    fn answer(&self, query: &str, stream: &mut TcpStream) -> io::Result<()> {
        if query == "SHOW stats" || query == "SELECT 1" {
            let report = format!(
                "x0={:.6},x1={},util=0.3,inflight=4",
                unix_us() as f64 / 1e6,
                u8::from(self.is_primary)
            );
            let row = pg::row(report.as_bytes(), "SELECT 1");
            return stream.write_all(&[row, pg::ready()].concat());
        }
        let id = field(query, "id").unwrap_or("?");
        self.cores.work();
        let role = if self.is_primary { "read-write" } else { "read-only" };
        let row = pg::row(&vec![b'v'; VALUE_BYTES], "SELECT 1");
        stream.write_all(&[row, pg::status("mode", role), pg::ready()].concat())?;
        self.answered.fetch_add(1, Ordering::SeqCst);
        self.record.line(format!("database: {id} run and answered"));
        Ok(())
    }
}

fn site() -> Site {
    Site {
        classes: vec![Class {
            name: "stay-list",
            effect: "safe",
            need: "eventual",
            bound_ms: 0.0,
            aim_ms: 6000.0,
            deadline_ms: 12000.0,
            worth: 1.0,
            late_worth: 0.0,
        }],
        server_checks: "await",
        zone: "forsyningshuset",
    }
}

fn request(client: &str, group: usize, n: usize) -> String {
    let group = group % usize::from(GROUPS);
    format!(
        "/* id={client}-{n},c=stay-list,t=strandlejren,d=12000,cluster={group} */ \
         SELECT body FROM objects WHERE oid = 'list{n}'"
    )
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::create();
    let answered = Arc::new(AtomicUsize::new(0));
    let mut entries = vec![];
    for n in 0..GROUPS * MEMBERS {
        let is_primary = n % MEMBERS == 0;
        let cores = Cores { free: Mutex::new(CORES), freed: Condvar::new() };
        let answered = Arc::clone(&answered);
        let database = Database { is_primary, cores, answered, record: record.clone() };
        entries.push(Entry {
            uid: format!("s-000000{n:02}"),
            address: pg::database(move |query, stream| database.answer(query, stream)),
            group: n / MEMBERS,
            state: "active",
            boot_ms: 0,
            mode: if is_primary { "read-write" } else { "read-only" },
        });
    }
    let agent = Agent::start(1, entries, "forsyningshuset");
    let platform = Platform {
        folder: &folder,
        listen: free_address(),
        known: agent.json(None).unwrap_or_default(),
        site: site(),
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
    };
    platform.write_config(agent.address);
    let second = free_address();
    let mut gateway = platform.start(agent.address, second, "gateway.log");
    if !platform.wait_until_ready(second) {
        record_logs(record, &folder.0, &["gateway.log"]);
        return Verdict::CouldNotRun("the gateway is not ready".into());
    }
    let verdict = play(record, &platform, &mut gateway, &answered);
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

/// A bad client: sends all its commands at once and reads all answers at full speed. Without the
/// disruption it sends one at a time.
fn bad_client(platform: &Platform<'_>, n: usize, record: &Record) -> Counts {
    let (mut counts, name) = (Counts::default(), format!("bad{n}"));
    let Ok(mut session) = Client::connect(platform.listen, millis(13_000)) else { return counts };
    if trouble() {
        let mut bytes = vec![];
        for command in 0..COMMANDS {
            let query = request(&name, n, command);
            bytes.extend(pg::message(b'Q', format!("{query}\0").as_bytes()));
        }
        record.line(format!("{name}: sends {name}-0 to {name}-{} at once", COMMANDS - 1));
        // Read beside the sending, so that nothing waits for this client.
        let Ok(mut writer) = session.0.try_clone() else { return counts };
        thread::spawn(move || writer.write_all(&bytes));
    }
    let until = Instant::now() + PLAY;
    for command in 0..COMMANDS {
        if !trouble() {
            if Instant::now() > until || session.send(&request(&name, n, command)).is_err() {
                break;
            }
        }
        if !trouble() {
            record.line(format!("{name}-{command}: sent"));
        }
        let answer = session.answer();
        record.line(format!("{name}-{command}: {}", answer.text()));
        match answer {
            Answer::Served(_) => counts.served += 1,
            Answer::Cut(why) => {
                counts.lost += if trouble() { COMMANDS - command } else { 1 };
                record.line(format!("{name}: after {command} answers: {why}"));
                break;
            }
            _ => counts.other += 1,
        }
    }
    counts
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
        record.line(format!("{name}-{command}: sent"));
        let answer = open.query(&request(&name, n, command));
        record.line(format!("{name}-{command}: {}", answer.text()));
        match answer {
            Answer::Served(_) => counts.served += 1,
            Answer::Cut(why) => {
                record.line(format!("{name}-{command}: lost: {why}"));
                counts.lost += 1;
                break;
            }
            _ => {
                counts.other += 1;
                session = None;
            }
        }
        thread::sleep(millis(20));
    }
    counts
}

fn play(
    record: &Record,
    platform: &Platform<'_>,
    gateway: &mut Gateway,
    answered: &AtomicUsize,
) -> Verdict {
    let (mut most_kb, mut killed) = (0, false);
    let (bad, usual) = thread::scope(|scope| {
        let usual: Vec<_> = (0..USUAL_CLIENTS)
            .map(|n| scope.spawn(move || usual_client(platform, n, record)))
            .collect();
        thread::sleep(millis(1_000));
        let bad: Vec<_> = (0..BAD_CLIENTS)
            .map(|n| scope.spawn(move || bad_client(platform, n, record)))
            .collect();
        let mut last_line = Instant::now();
        while !bad.iter().chain(&usual).all(|client| client.is_finished()) {
            // The platform: over its limit on memory the gateway is killed.
            let resident_kb = gateway.resident_kb();
            most_kb = most_kb.max(resident_kb);
            if !killed && resident_kb > MEMORY_MB * 1024 {
                record.say(format!(
                    "platform: {} MB of {MEMORY_MB} MB are used, {} answers given by databases: \
                     the gateway is killed",
                    resident_kb / 1024,
                    answered.load(Ordering::SeqCst)
                ));
                gateway.signal(SIGKILL);
                killed = true;
            }
            if last_line.elapsed() > millis(250) {
                last_line = Instant::now();
                record.line(format!(
                    "platform: {} MB used, {} answers given by databases",
                    resident_kb / 1024,
                    answered.load(Ordering::SeqCst)
                ));
            }
            thread::sleep(millis(5));
        }
        let sum = |clients: Vec<thread::ScopedJoinHandle<'_, Counts>>| {
            let counts = clients.into_iter().map(|client| client.join().unwrap_or_default());
            counts.fold(Counts::default(), Counts::add)
        };
        (sum(bad), sum(usual))
    });
    record.say(format!("{} MB of {MEMORY_MB} MB at the most", most_kb / 1024));
    record.say(format!("usual clients: {}", usual.text()));
    record.say(format!("the other clients: {}", bad.text()));
    if killed || gateway.has_ended() {
        Verdict::Broken
    } else if usual.served < USUAL_CLIENTS {
        Verdict::CouldNotRun("hardly a request was served".into())
    } else {
        Verdict::Held
    }
}
