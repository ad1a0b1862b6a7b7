//! The platform's front: clients that speak PostgreSQL's protocol, simple queries only.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io;
use std::sync::Arc;

use valehatch::config::Site;
use valehatch::{GroupId, Need, SessionKey, Span};

use super::clients::{Incoming, Serves, Session};
use super::pg::{self, Opening};
use super::servers::place_ms;
use crate::core::{Answer, Ask, Clock, Failure, Payload};

/// How the platform's clients are spoken with.
pub struct Front {
    pub site: Site,
    pub clock: Clock,
}

impl Front {
    /// A request, or what is wrong with it.
    #[allow(clippy::cast_possible_truncation)]
    fn understand(&self, query: &[u8]) -> Result<Ask, String> {
        let text = std::str::from_utf8(query).map_err(|_| "the query is not UTF-8")?;
        let (comment, statement) = pg::comment(text).ok_or("the query has no leading comment")?;
        let value = |name: &str| {
            let pairs = comment.split(',').filter_map(|p| p.trim().split_once('='));
            pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next()
        };
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let wanted = |name: &str| value(name).ok_or_else(|| format!("the comment has no {name}"));
        let class = wanted("c")?;
        let class = place(&self.site.classes, class).ok_or_else(|| format!("no class {class:?} is known"))?;
        let patience = wanted("d")?.parse::<f64>().ok().filter(|d| (0.0..=86_400_000.0).contains(d));
        let patience = patience.ok_or("d is not a number of milliseconds")?;
        let group = wanted("cluster")?.parse().map_err(|_| "cluster is not a number")?;
        let need = self.site.settings.classes[class].need;
        let session = matches!(need, Need::Write | Need::Session).then(|| quoted(statement)).flatten();
        Ok(Ask {
            class,
            tenant: value("t").and_then(|t| place(&self.site.tenants, t)),
            group: GroupId(group),
            session: session.map(|key| {
                let mut hasher = DefaultHasher::new();
                key.hash(&mut hasher);
                SessionKey(hasher.finish())
            }),
            patience: Span((patience * 1000.0) as i64),
            repeat: value("r") == Some("1"),
            wrote_at: value("after").and_then(|a| a.parse().ok()).map(|ms| place_ms(self.clock, ms)),
            payload: Arc::new(Payload { bytes: query.to_vec(), write: need == Need::Write }),
        })
    }

    /// What is answered at once: nothing, settings that this front has no use for, or an error.
    fn aside(query: &[u8], fault: &str) -> Vec<u8> {
        let mut out = vec![];
        let text = String::from_utf8_lossy(query);
        let first = text.trim().trim_end_matches(';').split_whitespace().next().unwrap_or_default();
        match first.to_ascii_uppercase().as_str() {
            "" => pg::put(&mut out, b'I', &[]),
            tag @ ("SET" | "RESET" | "DISCARD") => pg::put(&mut out, b'C', &[tag.as_bytes(), b"\0"]),
            _ => pg::put_error(&mut out, "ERROR", "42601", fault, None),
        }
        pg::put_ready(&mut out);
        out
    }
}

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

impl Serves for Front {
    fn serve(&self, from: &mut Incoming, session: &Session, full: bool) -> io::Result<()> {
        let mut wishes = 0;
        loop {
            if !from.begins()? {
                return Ok(());
            }
            match pg::read_opening(from) {
                Ok(Opening::Startup) => break,
                // Two kinds of encryption may be wished for, each once.
                Ok(Opening::Encryption) if wishes < 2 => {
                    wishes += 1;
                    from.write(b"N")?;
                }
                Ok(Opening::Encryption) => return session.say(fatal("08P01", "no encryption is offered")),
                Ok(Opening::Cancel) => return Ok(()),
                Ok(Opening::Unknown(version)) => {
                    let text =
                        format!("protocol version {}.{} is not spoken", version >> 16, version & 0xffff);
                    return session.say(fatal("0A000", &text));
                }
                Err(e) => {
                    if e.kind() == io::ErrorKind::InvalidData {
                        session.say(fatal("08P01", &e.to_string()))?;
                    }
                    return Err(e);
                }
            }
        }
        session.say(pg::greeting())?;
        let (mut ticket, mut skipping) = (0, false);
        loop {
            from.ends();
            if !from.begins()? {
                return Ok(());
            }
            let (kind, bytes) = match pg::read_message(from, pg::FROM_CLIENT) {
                Ok(message) => message,
                Err(e) => {
                    if e.kind() == io::ErrorKind::InvalidData {
                        session.reply(ticket, fatal("54000", &e.to_string()))?;
                    }
                    return Err(e);
                }
            };
            match kind {
                b'Q' => {
                    skipping = false;
                    let query = bytes.strip_suffix(b"\0").unwrap_or(&bytes);
                    match self.understand(query) {
                        Ok(_) if full => {
                            let after = self.site.settings.limits.max_retry_after;
                            return session.reply(ticket, self.encode(ticket, Answer::Refused { after }));
                        }
                        Ok(ask) => session.ask(ticket, ask)?,
                        Err(fault) => session.reply(ticket, Self::aside(query, &fault))?,
                    }
                    ticket += 1;
                }
                b'X' => return Ok(()),
                b'S' => {
                    let mut out = vec![];
                    if !skipping {
                        pg::put_error(&mut out, "ERROR", "0A000", "only simple queries are served", None);
                    }
                    skipping = false;
                    pg::put_ready(&mut out);
                    session.reply(ticket, out)?;
                    ticket += 1;
                }
                // The extended protocol: one error, then silence up to Sync.
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                    if !skipping {
                        let mut out = vec![];
                        pg::put_error(&mut out, "ERROR", "0A000", "only simple queries are served", None);
                        session.reply(ticket, out)?;
                        ticket += 1;
                    }
                    skipping = true;
                }
                b'd' | b'c' | b'f' => {}
                other => {
                    let text = format!("a message of type {other:#04x} is not known");
                    return session.reply(ticket, fatal("08P01", &text));
                }
            }
        }
    }

    fn encode(&self, _ticket: u64, answer: Answer) -> Vec<u8> {
        let mut out = vec![];
        match answer {
            Answer::Served(body) => out = body,
            Answer::Refused { after } => {
                let wait = (after.0 / 1000).max(1).to_string();
                let text = "refused: nothing ran, or running it again does no harm";
                pg::put_error(&mut out, "ERROR", "53300", text, Some(&wait));
            }
            Answer::Failed(Failure::Told(body)) => out = body,
            Answer::Failed(Failure::Timeout) => {
                pg::put_error(&mut out, "ERROR", "57014", "no answer in time; it may have run", None);
            }
            Answer::Failed(Failure::Broken) => {
                pg::put_error(&mut out, "ERROR", "58000", "the answer was lost; it may have run", None);
            }
        }
        pg::put_ready(&mut out);
        out
    }

    fn ordered(&self) -> bool {
        true
    }
}
