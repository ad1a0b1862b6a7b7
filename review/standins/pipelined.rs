//! A booking that is sent behind a report on one connection. The database that gives the report's
//! long value resets its connection in the middle of it.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::pg::{self, Answer, Client, field, quoted};
use crate::platform::{Platform, Site, record_logs, vestera_classes};

const CLIENTS: usize = 6;
/// Length of a report's value; the pages: up to 4 MiB.
const VALUE_BYTES: usize = 1024 * 1024;
/// The database gives a value in so many pieces, evenly over `GIVING`.
const PIECES: usize = 16;
const GIVING: Duration = Duration::from_millis(1_600);
/// The connection is reset after so many pieces.
const RESET_AFTER: usize = 6;
/// How long a client of a booking waits for its answer.
const BOOKING_MS: u64 = 5_000;

/// What the databases did with the bookings, by id.
#[derive(Default)]
struct Bookings {
    /// When each was committed, and its whole answer was written to the gateway.
    answered: BTreeMap<String, Instant>,
}

struct Database {
    name: &'static str,
    is_primary: bool,
    bookings: Arc<Mutex<Bookings>>,
    record: Record,
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
        let id = field(query, "id").unwrap_or("?").to_owned();
        self.record.line(format!("{}: {id} begins", self.name));
        thread::sleep(millis(60));
        let end = [pg::status("mode", self.role()), pg::ready()].concat();
        if query.contains("INSERT") {
            if !self.is_primary {
                self.record.line(format!("{}: {id} turned away, no primary", self.name));
                return stream.write_all(&[pg::error("25006", "no primary"), end].concat());
            }
            let wal_time = pg::status("wal_time", &((unix_us() + 999) / 1000).to_string());
            let row = pg::row(id.as_bytes(), "INSERT 0 1");
            stream.write_all(&[row, wal_time, end].concat())?;
            self.bookings.lock().unwrap().answered.insert(id.clone(), Instant::now());
            self.record.line(format!("{}: {id} committed and answered", self.name));
            return Ok(());
        }
        if !quoted(query).starts_with("report") {
            return stream.write_all(&[pg::row(b"short", "SELECT 1"), end].concat());
        }
        let length = (VALUE_BYTES as u32).to_be_bytes();
        let row_length = (VALUE_BYTES as u32 + 6 + 4).to_be_bytes();
        stream.write_all(&pg::description())?;
        stream.write_all(&[&b"D"[..], &row_length, &[0, 1], &length].concat())?;
        let piece = vec![b'v'; VALUE_BYTES / PIECES];
        let begun = Instant::now();
        for n in 0..PIECES {
            let due = GIVING.mul_f64(n as f64 / PIECES as f64);
            thread::sleep(due.saturating_sub(begun.elapsed()));
            if trouble() && n == RESET_AFTER {
                self.record.line(format!("{}: {id} reset in the middle of its value", self.name));
                reset_on_close(stream);
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            stream.write_all(&piece)?;
        }
        self.record.line(format!("{}: {id} has given all of its value", self.name));
        stream.write_all(&[pg::complete("SELECT 1"), end].concat())
    }
}

fn report(id: &str) -> String {
    format!(
        "/* id={id},c=season-report,t=strandlejren,d=12000,cluster=0 */ \
         SELECT body FROM objects WHERE oid = 'report-{id}'"
    )
}

fn booking(id: &str) -> String {
    format!(
        "/* id={id},c=booking-write,t=strandlejren,d={BOOKING_MS},k=5c0f{id},cluster=0 */ \
         INSERT INTO objects (oid, body) VALUES ('pitch-{id}', '{id}') RETURNING body"
    )
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::create();
    let bookings = Arc::new(Mutex::new(Bookings::default()));
    let mut entries = vec![];
    for (n, name) in ["db-1", "db-2", "db-3", "db-4"].into_iter().enumerate() {
        let bookings = Arc::clone(&bookings);
        let database = Database { name, is_primary: n == 0, bookings, record: record.clone() };
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
    let verdict = play(record, &platform, &bookings);
    let has_ended = gateway.has_ended();
    drop(gateway);
    record_logs(record, &folder.0, &["gateway.log"]);
    if has_ended { Verdict::CouldNotRun("the gateway has ended".into()) } else { verdict }
}

/// The answers to a client's two commands, in the order of the commands.
fn two_commands(platform: &Platform<'_>, n: usize, record: &Record) -> Option<(Answer, Answer)> {
    let mut client = Client::connect(platform.listen, millis(BOOKING_MS + 500)).ok()?;
    let commands = [report(&format!("r{n}")), booking(&format!("b{n}"))];
    let bytes: Vec<u8> = commands
        .iter()
        .flat_map(|query| pg::message(b'Q', format!("{query}\0").as_bytes()))
        .collect();
    record.line(format!("client {n}: r{n} and b{n} sent on one connection"));
    client.0.write_all(&bytes).ok()?;
    let first = client.answer();
    record.line(format!("client {n}: r{n}: {}", first.text()));
    let second = client.answer();
    record.line(format!("client {n}: b{n}: {}", second.text()));
    Some((first, second))
}

fn play(record: &Record, platform: &Platform<'_>, bookings: &Mutex<Bookings>) -> Verdict {
    // A few requests as ever, one at a time.
    let Ok(mut client) = Client::connect(platform.listen, millis(8_000)) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    for n in 0..4 {
        let id = format!("warm{n}");
        record.line(format!("client: {id} sent"));
        let answer = client.query(&booking(&id));
        record.line(format!("client: {id}: {}", answer.text()));
        if answer != Answer::Served(id.into_bytes()) {
            return Verdict::CouldNotRun("a request before the disruption was not served".into());
        }
    }
    let answers: Vec<Option<(Answer, Answer)>> = thread::scope(|scope| {
        let running: Vec<_> = (0..CLIENTS)
            .map(|n| scope.spawn(move || two_commands(platform, n, record)))
            .collect();
        running.into_iter().map(|client| client.join().unwrap_or(None)).collect()
    });
    let (mut answered, mut run, mut lost) = (0, 0, 0);
    for (n, answers) in answers.iter().enumerate() {
        let Some((_, answer)) = answers else {
            return Verdict::CouldNotRun("a client could not connect".into());
        };
        let is_run = bookings.lock().unwrap().answered.contains_key(&format!("b{n}"));
        run += usize::from(is_run);
        match answer {
            Answer::Served(_) | Answer::Refused | Answer::Failed(_) => answered += 1,
            // Only bookings that the gateway has certainly read are counted: they have run.
            _ if is_run => {
                lost += 1;
                record.line(format!("BROKEN: b{n} was read, has run, and got no answer"));
            }
            _ => {}
        }
    }
    record.say(format!(
        "{CLIENTS} bookings sent behind a report: {run} run and answered by the database, \
         {answered} answered to their clients, {lost} lost"
    ));
    if lost > 0 {
        Verdict::Broken
    } else if answered < CLIENTS / 2 {
        Verdict::CouldNotRun("too few bookings were answered".into())
    } else {
        Verdict::Held
    }
}
