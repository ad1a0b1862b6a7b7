//! Session reads across an upgrade: a client writes, the gateway's process is replaced as the
//! pages say, and the client reads what it wrote.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;
use crate::pg::{self, Answer, Client, field, quoted};
use crate::platform::{Class, Platform, Site, record_logs, says_yes};

/// Clients; each has a session of its own: a key that it writes and reads.
const CLIENTS: usize = 12;
/// Clients read this long after SIGTERM; by then the old process has closed what rests.
const SECOND_LOOK: Duration = Duration::from_millis(400);
/// A replica gets the log so much later.
const SHIPPED_US: i64 = 8_000;
/// A replica applies nothing for this long while it holds a season report of another gateway. The
/// pages: 800 to 1,400 ms of work, while a replica holds it, nothing is applied there.
const REPORT_US: i64 = 1_400_000;

/// The data of one group: a primary and its replicas.
struct Group {
    /// Commits in order: Unix time in microseconds, key and value.
    commits: Mutex<Vec<(i64, String, String)>>,
    /// When each replica was sent a season report, in Unix microseconds.
    reports_since: AtomicI64,
}

impl Group {
    /// Commits a value; returns the commit time.
    fn commit(&self, key: &str, value: &str) -> i64 {
        let mut commits = self.commits.lock().unwrap();
        let last = commits.last().map_or(0, |commit| commit.0);
        let at = unix_us().max(last + 1);
        commits.push((at, key.to_owned(), value.to_owned()));
        at
    }

    /// The value of a key in data that has all commits up to a position.
    fn read(&self, key: &str, position: i64) -> String {
        let commits = self.commits.lock().unwrap();
        let known = commits.iter().rev().find(|c| c.0 <= position && c.1 == key);
        known.map_or_else(|| "none".to_owned(), |commit| commit.2.clone())
    }
}

/// One database of the group.
struct Database {
    name: &'static str,
    is_primary: bool,
    group: Arc<Group>,
    record: Record,
}

impl Database {
    /// Up to when the database has applied all commits. A replica that holds a season report stands
    /// where it stood when that began, and catches up behind it.
    fn position(&self) -> i64 {
        let now = unix_us();
        if self.is_primary {
            return now;
        }
        let report_since = self.group.reports_since.load(Ordering::SeqCst);
        if (report_since..report_since + REPORT_US).contains(&now) {
            return report_since - SHIPPED_US;
        }
        now - SHIPPED_US
    }

    fn role(&self) -> &'static str {
        if self.is_primary { "read-write" } else { "read-only" }
    }

    fn answer(&self, query: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        let position = self.position();
        if query == "SHOW stats" || query == "SELECT 1" {
            let report = format!(
                "x0={:.6},x1={},util=0.3,inflight=1",
                position as f64 / 1e6,
                u8::from(self.is_primary)
            );
            let row = pg::row(report.as_bytes(), "SELECT 1");
            return stream.write_all(&[row, pg::ready()].concat());
        }
        let id = field(query, "id").unwrap_or("?");
        let (name, key) = (self.name, quoted(query));
        thread::sleep(millis(20));
        let mut answer = vec![];
        if query.contains("INSERT") {
            if !self.is_primary {
                self.record.line(format!("{name}: {id} turned away, no primary"));
                answer.extend(pg::error("25006", "no primary"));
            } else {
                let value = query.split('\'').nth(3).unwrap_or_default();
                let at = self.group.commit(key, value);
                self.record.line(format!("{name}: {id} committed {key}={value}"));
                answer.extend(pg::row(value.as_bytes(), "INSERT 0 1"));
                // Commits are rounded up.
                answer.extend(pg::status("wal_time", &((at + 999) / 1000).to_string()));
            }
        } else {
            let value = self.group.read(key, position);
            let lag = (unix_us() - position) / 1000;
            self.record.line(format!("{name}: {id} reads {key}={value}, {lag} ms behind"));
            answer.extend(pg::row(value.as_bytes(), "SELECT 1"));
        }
        answer.extend(pg::status("mode", self.role()));
        answer.extend(pg::ready());
        stream.write_all(&answer)
    }
}

fn site() -> Site {
    Site {
        classes: vec![
            Class {
                name: "booking-view",
                effect: "safe",
                need: "causal",
                bound_ms: 0.0,
                aim_ms: 400.0,
                deadline_ms: 1500.0,
                worth: 2.0,
                late_worth: 0.0,
            },
            Class {
                name: "booking-write",
                effect: "keyed",
                need: "mutate",
                bound_ms: 0.0,
                aim_ms: 600.0,
                deadline_ms: 5000.0,
                worth: 4.0,
                late_worth: 0.3,
            },
        ],
        server_checks: "off",
        zone: "forsyningshuset",
    }
}

fn write(id: &str, key: &str, value: &str) -> String {
    format!(
        "/* id={id},c=booking-write,t=strandlejren,d=5000,k={id},cluster=0 */ \
         INSERT INTO objects (oid, body) VALUES ('{key}', '{value}') RETURNING body"
    )
}

fn read(id: &str, key: &str) -> String {
    format!(
        "/* id={id},c=booking-view,t=strandlejren,d=1500,cluster=0 */ \
         SELECT body FROM objects WHERE oid = '{key}'"
    )
}

/// One client of the gateway. It opens a new connection where the last one was closed, and repeats
/// once what crossed a close or was refused, with a new id.
struct Caller {
    key: String,
    listen: SocketAddr,
    client: Option<Client>,
    sent: usize,
    record: Record,
}

impl Caller {
    fn ask(&mut self, query: impl Fn(&str) -> String) -> Answer {
        let mut answer = Answer::Cut("no connection".into());
        for _ in 0..4 {
            self.sent += 1;
            let id = format!("{}-{}", self.key, self.sent);
            if self.client.is_none() {
                self.client = Client::connect(self.listen, millis(8_000)).ok();
            }
            let Some(client) = &mut self.client else {
                thread::sleep(millis(20));
                continue;
            };
            let query = query(&id);
            let kind = if query.contains("INSERT") { "booking" } else { "read" };
            self.record.line(format!("client: {id} {kind} sent"));
            answer = client.query(&query);
            self.record.line(format!("client: {id} {}", answer.text()));
            match answer {
                Answer::Cut(_) => self.client = None,
                Answer::Refused => thread::sleep(millis(20)),
                _ => return answer,
            }
        }
        answer
    }

    /// Writes the session's key; whether that was served.
    fn book(&mut self, value: &str) -> bool {
        let key = self.key.clone();
        self.ask(|id| write(id, &key, value)) == Answer::Served(value.as_bytes().to_vec())
    }

    /// Reads the session's key; whether the answer is the session's last write, if it was served.
    fn sees(&mut self, value: &str) -> Option<bool> {
        let key = self.key.clone();
        match self.ask(|id| read(id, &key)) {
            Answer::Served(seen) if seen == value.as_bytes() => Some(true),
            Answer::Served(seen) => {
                let seen = String::from_utf8_lossy(&seen).into_owned();
                self.record.line(format!("BROKEN: {key} was told {value} is written, reads {seen}"));
                Some(false)
            }
            _ => None,
        }
    }
}

/// Runs the same for all clients at once.
fn at_once(
    callers: &mut [Caller],
    step: impl Fn(&mut Caller) -> Option<bool> + Send + Sync,
) -> Tally {
    let mut tally = Tally::default();
    thread::scope(|scope| {
        let step = &step;
        let running: Vec<_> =
            callers.iter_mut().map(|caller| scope.spawn(move || step(caller))).collect();
        for result in running {
            tally.add(result.join().unwrap_or(None));
        }
    });
    tally
}

#[derive(Default)]
struct Tally {
    saw: usize,
    missed: usize,
    unanswered: usize,
}

impl Tally {
    fn add(&mut self, seen: Option<bool>) {
        match seen {
            Some(true) => self.saw += 1,
            Some(false) => self.missed += 1,
            None => self.unanswered += 1,
        }
    }

    fn text(&self, what: &str) -> String {
        let Self { saw, missed, unanswered } = self;
        format!("{what}: {saw} as written, {missed} not, {unanswered} not served")
    }
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::create();
    let group = Arc::new(Group { commits: Mutex::default(), reports_since: AtomicI64::new(0) });
    let mut entries = vec![];
    for (n, name) in ["db-1", "db-2", "db-3", "db-4"].into_iter().enumerate() {
        let group = Arc::clone(&group);
        let database = Database { name, is_primary: n == 0, group, record: record.clone() };
        let mode = database.role();
        let address = pg::database(move |query, stream| database.answer(query, stream));
        entries.push(Entry {
            uid: format!("s-0000000{}", n + 1),
            address,
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
        memory_mb: 192,
        descriptors: 1024,
        site: site(),
    };
    platform.write_config(agent.address);
    let second = free_address();
    let old = platform.start(agent.address, second, "old.log");
    if !platform.wait_until_ready(second) {
        record_logs(record, &folder.0, &["old.log"]);
        return Verdict::CouldNotRun("the gateway is not ready".into());
    }
    let verdict = play(record, &platform, &agent, &group, old);
    record_logs(record, &folder.0, &["old.log", "new.log"]);
    verdict
}

fn play(
    record: &Record,
    platform: &Platform<'_>,
    agent: &Agent,
    group: &Group,
    old: Gateway,
) -> Verdict {
    let mut callers: Vec<Caller> = (0..CLIENTS)
        .map(|n| Caller {
            key: format!("guest{n}"),
            listen: platform.listen,
            client: None,
            sent: 0,
            record: record.clone(),
        })
        .collect();
    // Each client writes and reads a few times, so that all is known that an ordinary day tells.
    for round in 0..3 {
        let value = format!("b{round}");
        let tally = at_once(&mut callers, |caller| {
            caller.book(&value).then(|| caller.sees(&value)).flatten()
        });
        record.say(tally.text("a first round"));
        if tally.missed > 0 || tally.saw < CLIENTS {
            return Verdict::CouldNotRun("the first rounds were not served".into());
        }
    }
    // An upgrade: the new process starts beside the old one, and says yes.
    let with_trouble = trouble();
    let mut new = None;
    if with_trouble {
        let second = free_address();
        record.line("platform: the new process starts");
        new = Some(platform.start(agent.address, second, "new.log"));
        if !wait_for(millis(6_000), || says_yes(second)) {
            return Verdict::CouldNotRun("the new process does not say yes".into());
        }
        record.line("platform: the new process said yes");
    }
    // The replicas are sent season reports by other gateways, and every client books.
    group.reports_since.store(unix_us(), Ordering::SeqCst);
    record.line("databases: each replica holds a season report for 1.4 s");
    let booked = at_once(&mut callers, |caller| Some(caller.book("last")));
    record.say(booked.text("bookings answered before SIGTERM, and kept"));
    if booked.saw < CLIENTS {
        return Verdict::CouldNotRun("not all bookings were served".into());
    }
    if with_trouble {
        record.line("platform: SIGTERM to the old process");
        old.signal(SIGTERM);
    }
    thread::sleep(SECOND_LOOK);
    // Every client reads what it booked, on the connection that it has, or on a new one if that
    // was closed.
    let after = at_once(&mut callers, |caller| caller.sees("last"));
    record.say(after.text("the last round"));
    drop((old, new));
    if after.missed > 0 {
        Verdict::Broken
    } else if after.saw < CLIENTS / 2 {
        Verdict::CouldNotRun("too few reads were served".into())
    } else {
        Verdict::Held
    }
}
