//! The platform's front: clients that speak PostgreSQL's protocol, simple queries only.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io;
use std::sync::Arc;

use valehatch_config::Site;
use valehatch_policy::{Consistency, GroupId, Idempotency, RequestClass, SessionKey, Span};

use crate::codec::{self as pg, Opening};
use valehatch_core::{Failure, FinalAnswer, IncomingRequest, MemoryReservation, Payload};
use valehatch_net::Clock;
use valehatch_net::clients::{
    NextInput, RequestHandler, RequestReader, Session, SessionProgress, SessionStatus,
};

/// How the platform's clients are spoken with.
pub struct Front {
    pub site: Site,
    pub clock: Clock,
}

impl Front {
    /// A request, `None` where there is no room for it, or what is wrong with it.
    fn understand(
        &self,
        client: u64,
        query: &[u8],
        room: impl FnOnce(usize, Option<usize>, GroupId) -> Option<MemoryReservation>,
    ) -> Result<Option<IncomingRequest>, String> {
        let text = std::str::from_utf8(query).map_err(|_| "the query is not UTF-8")?;
        let (comment, statement) = pg::comment(text).ok_or("the query has no leading comment")?;
        let pairs: Option<Vec<_>> = comment
            .split(',')
            .map(|p| p.trim().split_once('='))
            .collect();
        let pairs = pairs.ok_or("the comment is not made of names and values")?;
        let mut names: Vec<_> = pairs.iter().map(|(name, _)| *name).collect();
        names.sort_unstable();
        if names.windows(2).any(|n| n[0] == n[1]) {
            return Err("the comment holds a name twice".into());
        }
        let value = |name: &str| pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let wanted = |name: &str| value(name).ok_or_else(|| format!("the comment has no {name}"));
        let id = Some(wanted("id")?).filter(|id| (1..=64).contains(&id.len()));
        let id = id.ok_or("the id is empty or longer than 64 bytes")?;
        let class = wanted("c")?;
        let class = place(&self.site.classes, class)
            .ok_or_else(|| format!("no class {class:?} is known"))?;
        let client_timeout = wanted("d")?
            .parse::<u32>()
            .ok()
            .filter(|d| (1..=86_400_000).contains(d));
        let client_timeout = client_timeout.ok_or("d is not a number of milliseconds")?;
        let group = wanted("cluster")?
            .parse()
            .map_err(|_| "cluster is not a number")?;
        let RequestClass {
            consistency,
            idempotency,
            deadline,
            ..
        } = self.site.settings.classes[class];
        let keyed = matches!(idempotency, Idempotency::IdempotencyKey { .. });
        if keyed && wanted("k")?.is_empty() {
            return Err("the key is empty".into());
        }
        let verb = if consistency == Consistency::Write {
            "INSERT "
        } else {
            "SELECT "
        };
        if statement
            .trim_start()
            .get(..verb.len())
            .is_none_or(|s| !s.eq_ignore_ascii_case(verb))
        {
            return Err(format!("the class takes statements that begin with {verb}"));
        }
        // Where no read asks for its session's writes, no session is remembered.
        let asked = self
            .site
            .settings
            .classes
            .iter()
            .any(|c| c.consistency == Consistency::Session);
        let session = matches!(consistency, Consistency::Write | Consistency::Session)
            .then(|| quoted(statement))
            .flatten();
        let session = session.filter(|_| asked);
        let (tenant, group) = (
            value("t").and_then(|t| place(&self.site.tenants, t)),
            GroupId(group),
        );
        let Some(room) = room(class, tenant, group) else {
            return Ok(None);
        };
        Ok(Some(IncomingRequest {
            name: Some(Arc::from(id)),
            class,
            tenant,
            group,
            session: session.map(|key| {
                let mut hasher = DefaultHasher::new();
                key.hash(&mut hasher);
                SessionKey(hasher.finish())
            }),
            received: self.clock.now(),
            // Nobody waits for longer than the class's deadline; what would is not held for it.
            client_timeout: Span::from_millis(client_timeout.into()).min(deadline),
            is_client_retry: value("r") == Some("1"),
            last_write_at: value("after")
                .and_then(|a| a.parse().ok())
                .map(|ms| self.clock.at_unix_ms(ms)),
            client,
            payload: Arc::new(Payload {
                bytes: query.to_vec(),
                write: consistency == Consistency::Write,
                class,
            }),
            memory: room,
        }))
    }

    /// What is answered at once: nothing, settings that this front has no use for, or an error.
    fn aside(query: &[u8], fault: &str) -> Vec<u8> {
        let mut out = vec![];
        let text = String::from_utf8_lossy(query);
        let first = text
            .trim()
            .trim_end_matches(';')
            .split_whitespace()
            .next()
            .unwrap_or_default();
        match first.to_ascii_uppercase().as_str() {
            "" => pg::put(&mut out, b'I', &[]),
            tag @ ("SET" | "RESET" | "DISCARD") => {
                pg::put(&mut out, b'C', &[tag.as_bytes(), b"\0"])
            }
            _ => pg::put_error(&mut out, "ERROR", "42601", fault, None),
        }
        pg::put_ready(&mut out);
        out
    }
}

/// How far what has come has brought a session.
enum Step {
    /// It is opened, and there may be more.
    Opened,
    /// Nothing more has come.
    Rest,
    /// It is over, with a last word to the client, if it is owed one.
    Last(Vec<u8>),
}

/// Requests that one connection may have open: the rest waits unread.
const PIPELINE: usize = 256;
/// Queries on a connection that may be beyond understanding before it is ended.
const FAULTS: usize = 64;

/// The first quoted text of a statement: the key that it is about.
fn quoted(statement: &str) -> Option<&str> {
    statement.split('\'').nth(1)
}

/// The last word to a client that broke the protocol.
fn fatal(code: &str, text: &str) -> Vec<u8> {
    let mut out = vec![];
    pg::put_error(&mut out, "FATAL", code, text, None);
    out
}

/// The last word on a connection that is ended through no fault of its client.
fn come_back(after: Span, text: &str) -> Vec<u8> {
    let mut out = vec![];
    pg::put_error(
        &mut out,
        "FATAL",
        "53300",
        text,
        Some(&(after.0 / 1000).max(1).to_string()),
    );
    out
}

impl Front {
    /// Takes the opening of a session; else the last word to the client, if it is owed one.
    fn open(
        progress: &mut SessionProgress,
        reader: &mut RequestReader,
        session: &Session,
    ) -> io::Result<Step> {
        loop {
            reader.finish_message();
            match reader.next_input()? {
                NextInput::Message => {}
                NextInput::Pending => return Ok(Step::Rest),
                NextInput::Closed => return Ok(Step::Last(vec![])),
            }
            match pg::read_opening(reader) {
                Ok(Opening::Startup) => break,
                // Two kinds of encryption may be wished for, each once.
                Ok(Opening::Encryption) if progress.malformed_messages < 2 => {
                    progress.malformed_messages += 1;
                    reader.write_unqueued(b"N")?;
                }
                Ok(Opening::Encryption) => {
                    return Ok(Step::Last(fatal("08P01", "no encryption is offered")));
                }
                Ok(Opening::Cancel) => return Ok(Step::Last(vec![])),
                Ok(Opening::Unknown(version)) => {
                    let text = format!(
                        "protocol version {}.{} is not spoken",
                        version >> 16,
                        version & 0xffff
                    );
                    return Ok(Step::Last(fatal("0A000", &text)));
                }
                Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                    return Ok(Step::Last(fatal("08P01", &e.to_string())));
                }
                Err(e) => return Err(e),
            }
        }
        session.send(pg::greeting())?;
        (progress.handshake_complete, progress.malformed_messages) = (true, 0);
        Ok(Step::Opened)
    }

    /// Takes queries until nothing more has come or the session is over; the last word to the client, if it is owed one.
    fn serve_queries(
        &self,
        progress: &mut SessionProgress,
        reader: &mut RequestReader,
        session: &Session,
    ) -> io::Result<Step> {
        let last = |word| Ok(Step::Last(word));
        loop {
            reader.finish_message();
            match reader.next_input()? {
                NextInput::Message => {}
                NextInput::Pending => return Ok(Step::Rest),
                NextInput::Closed => return last(vec![]),
            }
            let ticket = progress.next_ticket;
            progress.next_ticket += 1;
            let (kind, bytes) = match pg::read_message(reader, pg::FROM_CLIENT) {
                Ok(message) => message,
                Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                    return last(fatal("54000", &e.to_string()));
                }
                Err(e) => return Err(e),
            };
            match kind {
                b'Q' => {}
                b'X' => return last(vec![]),
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' | b'S' => {
                    return last(fatal("0A000", "only simple queries are served"));
                }
                other => {
                    return last(fatal(
                        "08P01",
                        &format!("a message of type {other:#04x} is not known"),
                    ));
                }
            }
            let query = bytes.strip_suffix(b"\0").unwrap_or(&bytes);
            let room = |class, tenant, group| {
                let declined = |why| session.report_rejection(class, tenant, group, why);
                session.reserve(bytes.len()).map_err(declined).ok()
            };
            match self.understand(session.client_number(), query, room) {
                Ok(Some(ask)) => session.submit(ticket, ask)?,
                Ok(None) => {
                    let after = self.site.settings.limits.max_retry_after;
                    return last(come_back(
                        after,
                        "refused: nothing ran, there is no room for it",
                    ));
                }
                Err(fault) => {
                    let word = Self::aside(query, &fault);
                    progress.malformed_messages += usize::from(word.starts_with(b"E"));
                    if progress.malformed_messages > FAULTS {
                        return last(fatal(
                            "08P01",
                            "too much on this connection could not be understood",
                        ));
                    }
                    session.reply(ticket, word)?;
                }
            }
        }
    }
}

impl RequestHandler for Front {
    fn serve(
        &self,
        progress: &mut SessionProgress,
        reader: &mut RequestReader,
        session: &Session,
    ) -> io::Result<SessionStatus> {
        let mut step = if progress.handshake_complete {
            Step::Opened
        } else {
            Self::open(progress, reader, session)?
        };
        if matches!(step, Step::Opened) {
            step = self.serve_queries(progress, reader, session)?;
        }
        Ok(match step {
            Step::Opened | Step::Rest => SessionStatus::Idle,
            Step::Last(word) if word.is_empty() => SessionStatus::Closed,
            Step::Last(word) => {
                tracing::info!(
                    "a client is turned away: {}",
                    pg::field(&word[5..], b'M').unwrap_or_default()
                );
                reader.close_gracefully(word)
            }
        })
    }

    fn encode(&self, _ticket: u64, answer: FinalAnswer) -> Vec<u8> {
        let mut out = vec![];
        match answer {
            FinalAnswer::Served(body) => out = body,
            FinalAnswer::Rejected {
                retry_after: after,
                overloaded,
            } => {
                let wait = (after.0 / 1000).max(1).to_string();
                let text = if overloaded {
                    "refused: nothing ran; more wait than can be served by the time that is given"
                } else {
                    "refused: nothing ran, or running it again does no harm"
                };
                pg::put_error(&mut out, "ERROR", "53300", text, Some(&wait));
            }
            FinalAnswer::Failed(Failure::UpstreamError(body)) => out = body,
            FinalAnswer::Failed(Failure::Timeout) => {
                pg::put_error(
                    &mut out,
                    "ERROR",
                    "57014",
                    "no answer in time; it may have run",
                    None,
                );
            }
            FinalAnswer::Failed(Failure::DuplicateName) => {
                pg::put_error(
                    &mut out,
                    "ERROR",
                    "42710",
                    "a request with this id is open",
                    None,
                );
            }
            FinalAnswer::Failed(Failure::ConnectionLost) => {
                pg::put_error(
                    &mut out,
                    "ERROR",
                    "58000",
                    "the answer was lost; it may have run",
                    None,
                );
            }
        }
        pg::put_ready(&mut out);
        out
    }

    fn has_ordered_responses(&self) -> bool {
        true
    }

    /// A request's time runs from when it was sent: one that is not read for what is before it loses what its client has
    /// left, and tells its database more. The bytes of all that are open are bounded elsewhere.
    fn pipeline_limit(&self) -> usize {
        PIPELINE
    }

    fn closing_error(&self, after: Span) -> Vec<u8> {
        come_back(
            after,
            "the connection is ended; what was asked on it meanwhile did not run",
        )
    }
}
