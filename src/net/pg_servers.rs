//! Databases that speak PostgreSQL's protocol.

use std::io::{BufReader, Read};
use std::net::TcpStream;

use valehatch::{Outcome, Report, Role};

use super::pg;
use super::servers::{Speaks, place_ms};
use crate::core::{Clock, Job, Reply};

/// How the platform's databases are spoken to.
pub struct Databases {
    pub clock: Clock,
}

impl Databases {
    /// `x0=1767225600.1,x1=1,busy=0.61,rif=7`: by name, in any order; a position is in Unix seconds.
    fn report(&self, text: &str, names: &[&str]) -> Option<Report> {
        let value = |name: &str| {
            let mut pairs = text.split(',').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| n.trim() == name)?.1.trim().parse::<f64>().ok()
        };
        let mut out = Report::default();
        let named = |one: &str| names.contains(&one).then(|| value(one)).flatten();
        out.position = named("x0").map(|s| place_ms(self.clock, s * 1000.0));
        out.primary = named("x1").map(|v| v > 0.0);
        out.busy = named("busy").or_else(|| named("util"));
        (out != Report::default()).then_some(out)
    }

    const NAMES: [&str; 4] = ["x0", "x1", "busy", "util"];

    /// Reads up to ReadyForQuery; what this answer told is all that counts.
    fn read(&self, from: &mut impl Read, job: &Job) -> (Reply, bool) {
        let mut reply = Reply::bare(Outcome::Reset);
        let (mut body, mut row, mut whole) = (vec![], None, false);
        // Half an answer is none; one that was whole, or an error, counts though the end is missing.
        while let Ok((kind, bytes)) = pg::read_message(from, pg::FROM_SERVER) {
            match kind {
                b'T' | b'D' | b'C' => {
                    if kind == b'D' {
                        row = pg::column(&bytes).map(<[u8]>::to_vec);
                    }
                    whole |= kind == b'C' && row.is_some();
                    pg::put(&mut body, kind, &[&bytes]);
                }
                b'E' => reply.outcome = outcome(pg::field(&bytes, b'C').unwrap_or_default()),
                b'S' => match pg::parameter(&bytes) {
                    Some(("mode", "read-write")) => reply.role = Some(Role::Primary),
                    Some(("mode", "read-only")) => reply.role = Some(Role::Replica),
                    Some(("wal_time", at)) => {
                        reply.position = at.parse().ok().map(|ms| place_ms(self.clock, ms));
                    }
                    Some(("stats", text)) => reply.report = self.report(text, &Self::NAMES),
                    _ => {}
                },
                b'Z' => {
                    let settled = whole || reply.outcome != Outcome::Reset;
                    return (self.finish(reply, whole, row, body, job), settled);
                }
                _ => {}
            }
        }
        (self.finish(reply, whole, row, body, job), false)
    }

    fn finish(&self, mut reply: Reply, whole: bool, row: Option<Vec<u8>>, body: Vec<u8>, job: &Job) -> Reply {
        if whole && reply.outcome == Outcome::Reset {
            reply.outcome = Outcome::Ok;
            match job {
                Job::Run { .. } => reply.body = Some(body),
                Job::Probe => {
                    let text = row.and_then(|r| String::from_utf8(r).ok());
                    reply.report = text.and_then(|t| self.report(&t, &Self::NAMES)).or(reply.report);
                }
            }
        }
        reply
    }
}

/// What an error's code says of the attempt.
fn outcome(code: &str) -> Outcome {
    match code {
        "25006" | "72000" => Outcome::Miss,
        "53300" | "57P03" => Outcome::Full,
        _ => Outcome::Error,
    }
}

impl Speaks for Databases {
    fn open(&self, stream: &TcpStream) -> Result<(), Outcome> {
        pg::write_startup(&mut &*stream).map_err(|_| Outcome::ConnectFailed)?;
        loop {
            // Unbuffered: what comes behind the greeting belongs to the first answer.
            match pg::read_message(&mut &*stream, pg::FROM_SERVER) {
                Ok((b'Z', _)) => return Ok(()),
                Ok((b'E', bytes))
                    if outcome(pg::field(&bytes, b'C').unwrap_or_default()) == Outcome::Full =>
                {
                    return Err(Outcome::Full);
                }
                Ok((b'E', _)) | Err(_) => return Err(Outcome::ConnectFailed),
                Ok(_) => {}
            }
        }
    }

    fn request(&self, job: &Job, left_ms: i64) -> Vec<u8> {
        let mut out = vec![];
        match job {
            Job::Run { payload, .. } => {
                pg::put(&mut out, b'Q', &[&pg::with_deadline(&payload.bytes, left_ms), b"\0"]);
            }
            Job::Probe => pg::put(&mut out, b'Q', &[b"SHOW stats\0"]),
        }
        out
    }

    fn answer(&self, stream: &TcpStream, job: &Job, _sent: &[u8]) -> (Reply, bool) {
        self.read(&mut BufReader::with_capacity(4096, stream), job)
    }
}
