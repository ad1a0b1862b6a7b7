//! Databases that speak PostgreSQL's protocol.

use std::io::{self, BufReader, ErrorKind, Read};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use valehatch_policy::{LoadReport, Outcome, Role, Time};

use crate::codec as pg;
use valehatch_core::{UpstreamJob, UpstreamReply};
use valehatch_net::Clock;
use valehatch_net::clients::ResponseBody;
use valehatch_net::upstream::{BodyOpener, Protocol, ReceivedReply};

/// How long an answer that has begun may stand still, while another attempt may still take its place.
const STALL: Duration = Duration::from_millis(400);
/// The same for one that is passed on, which nothing can take the place of: some databases take seconds for a piece.
const SLOW: Duration = Duration::from_secs(30);
/// What a database may say beside one answer, or as it greets, in notices and parameters: it may go on with them for ever.
const ASIDE: usize = 64 * 1024;
/// Positions that are told, in Unix milliseconds: none lies before 1970 or behind the year 2286.
const POSITIONS_MS: std::ops::Range<f64> = 1.0..1e13;

/// How the platform's databases are spoken to.
pub struct Databases {
    pub clock: Clock,
}

impl Databases {
    /// `x0=1767225600.1,x1=1,busy=0.61,rif=7`: by name, in any order; a position is in Unix seconds. A report
    /// of which any part cannot be read, or cannot be, tells nothing: it is not taken for zeros.
    fn report(&self, text: &str) -> Option<LoadReport> {
        let mut out = LoadReport::default();
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
            match name.trim() {
                "x0" => out.position = Some(self.position(value * 1000.0)?),
                "x1" => out.primary = Some(value > 0.0),
                "busy" | "util" if (0.0..=1000.0).contains(&value) => out.busy = Some(value),
                "busy" | "util" => return None,
                _ => {}
            }
        }
        (out != LoadReport::default()).then_some(out)
    }

    /// A position in Unix milliseconds. Whether it can be true is judged by who knows when it was asked for.
    #[allow(clippy::cast_possible_truncation)]
    fn position(&self, ms: f64) -> Option<Time> {
        POSITIONS_MS.contains(&ms).then(|| {
            self.clock
                .at_uncorrected_unix_micros((ms * 1_000.0).floor() as i64)
        })
    }

    /// Reads up to ReadyForQuery. What does not fit, in itself or in its place, spoils the answer: it may have
    /// run, nothing of it counts, and its connection is of no further use. A long value goes the way to its client
    /// that `open_body` opens; what spoils the answer from then on ends the client's connection too.
    fn read(
        &self,
        from: &mut BufReader<Answer>,
        job: &UpstreamJob,
        open_body: BodyOpener,
    ) -> (UpstreamReply, bool) {
        let spoilt = |what: &str| {
            tracing::warn!("a database's answer is spoilt: {what}");
            (UpstreamReply::without_details(Outcome::Error), false)
        };
        let mut reply = UpstreamReply::without_details(Outcome::Reset);
        let (mut body, mut described, mut row, mut whole, mut way) =
            (vec![], false, None, false, None);
        let mut aside = 0;
        loop {
            let failed = reply.outcome != Outcome::Reset;
            let long = |kind, length| kind == b'D' && length > pg::LONG + pg::value_head(0).len();
            let message = match pg::read_head(from, pg::LONGEST) {
                Ok((kind, length))
                    if long(kind, length) && matches!(job, UpstreamJob::Request { .. }) =>
                {
                    if !described || row.is_some() || failed {
                        return spoilt("a long row out of place");
                    }
                    match pass_on(from, &std::mem::take(&mut body), length, open_body) {
                        Ok(opened) => (row, way) = (Some(vec![]), Some(opened)),
                        Err((outcome, what)) => {
                            tracing::warn!("a long answer is not whole: {what}");
                            return (UpstreamReply::without_details(outcome), false);
                        }
                    }
                    continue;
                }
                Ok((kind, length)) => {
                    pg::read_body(from, length, pg::FROM_SERVER).map(|bytes| (kind, bytes))
                }
                Err(e) => Err(e),
            };
            let (kind, bytes) = match message {
                Ok(message) => message,
                // Half an answer is none; one that was whole, or an error, counts though the end is missing.
                Err(e)
                    if e.kind() == ErrorKind::UnexpectedEof
                        || e.kind() == ErrorKind::ConnectionReset =>
                {
                    return (self.finish(reply, whole, row, body, job, way), false);
                }
                Err(e) => return spoilt(&e.to_string()),
            };
            if matches!(kind, b'N' | b'S') {
                aside += bytes.len() + 5;
                if aside > ASIDE {
                    return spoilt("notices and parameters without an end");
                }
            }
            match kind {
                b'T' if !described && !failed && pg::one_column(&bytes) => described = true,
                b'D' if described && row.is_none() && !failed => match pg::column(&bytes) {
                    Some(value) if matches!(job, UpstreamJob::HealthCheck) => {
                        row = Some(value.to_vec())
                    }
                    Some(_) => row = Some(vec![]),
                    None => return spoilt("a row that is not one column"),
                },
                b'C' if row.is_some()
                    && !whole
                    && !failed
                    && pg::tag(&bytes).is_some_and(|t| fits(t, job)) =>
                {
                    whole = true;
                }
                b'E' if !whole && !failed => {
                    let Some(code) = pg::field(&bytes, b'C').filter(|c| c.len() == 5) else {
                        return spoilt("an error without a code");
                    };
                    // Behind the beginning of a row it proves nothing.
                    reply.outcome = if described {
                        Outcome::Error
                    } else {
                        outcome(code)
                    };
                    reply.is_final_error = !described && faulty(code);
                }
                b'S' => match pg::parameter(&bytes) {
                    Some(["mode", "read-write"]) => reply.role = Some(Role::Primary),
                    Some(["mode", "read-only"]) => reply.role = Some(Role::Replica),
                    Some(["wal_time", at]) => {
                        reply.position = at.parse().ok().and_then(|at| self.position(at))
                    }
                    Some(["stats", text]) => reply.report = self.report(text),
                    Some(_) => {}
                    None => return spoilt("a parameter that cannot be read"),
                },
                b'N' => {}
                b'Z' if bytes == b"I" && (whole || failed) => {
                    return (self.finish(reply, whole, row, body, job, way), true);
                }
                other => return spoilt(&format!("a message of type {other:#04x} out of place")),
            }
            if matches!(kind, b'T' | b'D' | b'C') || reply.is_final_error && kind == b'E' {
                pg::put(&mut body, kind, &[&bytes]);
            }
        }
    }

    fn finish(
        &self,
        mut reply: UpstreamReply,
        whole: bool,
        row: Option<Vec<u8>>,
        mut body: Vec<u8>,
        job: &UpstreamJob,
        way: Option<Arc<ResponseBody>>,
    ) -> UpstreamReply {
        if whole && reply.outcome == Outcome::Reset {
            reply.outcome = Outcome::Ok;
            match (job, way) {
                (UpstreamJob::Request { .. }, way) => {
                    if way.is_some() {
                        pg::put_ready(&mut body);
                    }
                    reply.body = Some(body);
                }
                (UpstreamJob::HealthCheck, _) => {
                    let text = row.and_then(|r| String::from_utf8(r).ok());
                    reply.report = text.and_then(|t| self.report(&t)).or(reply.report);
                }
            }
        } else if reply.is_final_error {
            reply.body = Some(body);
        }
        reply
    }
}

/// Passes on a row whose value is too long to be held, as it comes: what its head says is checked first, and nothing of
/// it is kept. What does not come to its end ends the client's connection in the middle of it.
fn pass_on(
    from: &mut BufReader<Answer>,
    before: &[u8],
    length: usize,
    open_body: BodyOpener,
) -> Result<Arc<ResponseBody>, (Outcome, String)> {
    let broken = |e: io::Error| (Outcome::Reset, e.to_string());
    let mut head = [0; 6];
    from.read_exact(&mut head).map_err(broken)?;
    let mut left = length - head.len();
    if head != pg::value_head(left) {
        return Err((Outcome::Error, "a row that is not one column".into()));
    }
    let gone = || (Outcome::Cancelled, "its client has left".to_owned());
    let way = open_body().ok_or_else(gone)?;
    way.begin(&[before, &pg::head(b'D', length), &head].concat())
        .map_err(|_| gone())?;
    from.get_mut().slow().map_err(broken)?;
    let mut chunk = vec![0; way.chunk_bytes()];
    while left > 0 {
        let most = left.min(chunk.len());
        match from.read(&mut chunk[..most]) {
            Ok(0) => return Err(broken(ErrorKind::UnexpectedEof.into())),
            Ok(n) => {
                way.forward(&chunk[..n]).map_err(|_| gone())?;
                left -= n;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(broken(e)),
        }
    }
    Ok(way)
}

/// Whether a tag is that of what was asked: a row and a probe are told by others.
fn fits(tag: &str, job: &UpstreamJob) -> bool {
    match job {
        UpstreamJob::Request { payload, .. } => {
            tag.starts_with(if payload.write { "INSERT " } else { "SELECT " })
        }
        UpstreamJob::HealthCheck => true,
    }
}

/// Whether an error's code says that the statement itself is at fault, which every database would say.
fn faulty(code: &str) -> bool {
    ["08P01", "0A"].iter().any(|c| code.starts_with(c)) || code.starts_with("42")
}

/// What an error's code says of the attempt.
fn outcome(code: &str) -> Outcome {
    match code {
        "25006" | "72000" => Outcome::Misdirected,
        "53300" | "57P03" => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

impl Protocol for Databases {
    fn open(&self, stream: &TcpStream) -> Result<(), Outcome> {
        pg::write_startup(&mut &*stream).map_err(|_| Outcome::ConnectFailed)?;
        let mut aside = 0;
        while aside <= ASIDE {
            // Unbuffered: what comes behind the greeting belongs to the first answer.
            match pg::read_message(&mut &*stream, pg::FROM_SERVER) {
                Ok((b'Z', _)) => return Ok(()),
                Ok((b'E', bytes))
                    if outcome(pg::field(&bytes, b'C').unwrap_or_default())
                        == Outcome::Rejected =>
                {
                    return Err(Outcome::Rejected);
                }
                Ok((b'E', _)) | Err(_) => return Err(Outcome::ConnectFailed),
                // Each is of five bytes at the least.
                Ok((_, bytes)) => aside += bytes.len() + 5,
            }
        }
        Err(Outcome::ConnectFailed)
    }

    fn request(&self, job: &UpstreamJob, left_ms: i64) -> Vec<u8> {
        let mut out = vec![];
        match job {
            UpstreamJob::Request { payload, .. } => {
                pg::put(
                    &mut out,
                    b'Q',
                    &[&pg::with_deadline(&payload.bytes, left_ms), b"\0"],
                );
            }
            UpstreamJob::HealthCheck => pg::put(&mut out, b'Q', &[b"SHOW stats\0"]),
        }
        out
    }

    fn answer(
        &self,
        stream: &TcpStream,
        job: &UpstreamJob,
        _sent: &[u8],
        open_body: BodyOpener,
    ) -> ReceivedReply {
        let mut from = BufReader::with_capacity(
            4096,
            Answer {
                stream,
                begun: false,
                timed: false,
            },
        );
        let (reply, settled) = self.read(&mut from, job, open_body);
        // What came along behind the answer would be taken for the next one.
        let alone = settled && from.buffer().is_empty();
        let untimed = !from.get_ref().timed || stream.set_read_timeout(None).is_ok();
        ReceivedReply {
            reply,
            reusable: alone && untimed,
        }
    }
}

/// An answer may take its time to begin; once it has, it comes without a stop or is spoilt.
struct Answer<'a> {
    stream: &'a TcpStream,
    begun: bool,
    timed: bool,
}

impl Answer<'_> {
    /// What is passed on may come slowly.
    fn slow(&mut self) -> io::Result<()> {
        self.timed = true;
        self.stream.set_read_timeout(Some(SLOW))
    }
}

impl Read for Answer<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        if self.begun && !self.timed {
            self.stream.set_read_timeout(Some(STALL))?;
            self.timed = true;
        }
        let got = { self.stream }.read(into);
        self.begun |= got.is_ok();
        got
    }
}
