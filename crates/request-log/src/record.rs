//! One record for each final answer, and its line in the request log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use valehatch_policy::Outcome;

macro_rules! named {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum $name {
            $($(#[$vdoc])* #[serde(rename = $text)] $variant,)*
        }
        impl $name {
            /// All of them, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];
            /// Its name in the request log and in the MIB.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

named! {
    /// Why a request was refused.
    RejectionReason {
        /// The answers of late take too much of their time: some requests are turned away on arrival.
        Overloaded = "strain",
        /// Half of its time went by without a member that could take it.
        NeverSent = "unsent",
        /// It could no longer be served in time that counts.
        TooLate = "late",
        /// Its deadline is over.
        DeadlineExceeded = "deadline",
        /// All its attempts are used up, and none of them ran.
        AttemptsExhausted = "attempts",
        /// The time in which its repeats are dropped is over.
        RetryWindowClosed = "window",
        /// As many requests are open as the settings allow.
        TooManyOpen = "open",
        /// The bytes of open requests take all the memory that they may.
        OutOfMemory = "room",
        /// More connections than there are places.
        OutOfConnections = "places",
        /// The gateway stops.
        Stopping = "stopping",
        /// At the door: what waits before it takes too long.
        QueueWaitTooLong = "queue-wait",
        /// At the door: as many wait as may.
        QueueFull = "queue-full",
        /// At the door: it waited until it could no longer be served in time.
        QueueTimeout = "queue-waited",
        /// At the door: the queue has stood for too long, and is cut from the front.
        QueueDelayPersistent = "queue-standing",
    }
}

named! {
    /// How a request failed.
    FailureReason {
        /// No answer in time; it may have run.
        Timeout = "timeout",
        /// An error or a break; it may have run.
        ConnectionLost = "broken",
        /// A member's error was passed on; it may have run.
        UpstreamError = "told",
        /// The statement is at fault, which every member would say.
        InvalidStatement = "statement",
        /// Its id is that of a request that is open.
        DuplicateRequestId = "named",
        /// The gateway stopped while it was out.
        Stopping = "stopping",
    }
}

named! {
    /// How an attempt ended; [`Outcome`], and one more.
    AttemptOutcome {
        /// Served.
        Ok = "ok",
        /// An error; it may have had an effect.
        Error = "error",
        /// Turned away unseen.
        Rejected = "full",
        /// No answer in time.
        Timeout = "timeout",
        /// No connection; nothing ran.
        ConnectFailed = "connect-failed",
        /// The connection dropped.
        Reset = "reset",
        /// Called off.
        Cancelled = "cancelled",
        /// Never sent.
        NotSent = "moot",
        /// Turned away untouched: not the primary, or too far behind.
        Misdirected = "miss",
        /// Still out when the request had its final answer, or when its client had left.
        Unfinished = "out",
    }
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Ok => Self::Ok,
            Outcome::Error => Self::Error,
            Outcome::Rejected => Self::Rejected,
            Outcome::Timeout => Self::Timeout,
            Outcome::ConnectFailed | Outcome::LocalFailure => Self::ConnectFailed,
            Outcome::Reset => Self::Reset,
            Outcome::Cancelled => Self::Cancelled,
            Outcome::NotSent => Self::NotSent,
            Outcome::Misdirected => Self::Misdirected,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "final", content = "why", rename_all = "kebab-case")]
pub enum FinalOutcome {
    /// Served within its class's aim.
    InTime,
    /// Served after it.
    Late,
    /// Rejected without having run; a retry is harmless.
    #[serde(rename = "refused")]
    Rejected(RejectionReason),
    /// Failed.
    Failed(FailureReason),
    /// Its client left first.
    Aborted,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The member's name.
    #[serde(rename = "member")]
    pub endpoint: Arc<str>,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it took, in microseconds.
    #[serde(rename = "took_us")]
    pub duration_us: u64,
}

/// What is known of a request at its final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The front that took it.
    pub front: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// Its tenant, where it names one that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<Arc<str>>,
    /// Its group.
    pub group: u16,
    /// How it ended.
    #[serde(flatten)]
    pub outcome: FinalOutcome,
    /// Its attempts, in their order; the last one's member is the one that served it, if one did.
    pub attempts: Vec<AttemptRecord>,
    /// From its arrival to its first attempt, or to its end if there was none, in microseconds.
    #[serde(rename = "waited_us")]
    pub queued_us: u64,
    /// From its arrival to its final answer, in microseconds.
    pub total_us: u64,
}

/// A record with its number and the time of its final answer.
#[derive(Debug, Serialize, Deserialize)]
struct Line<R> {
    seq: u64,
    /// Unix time in milliseconds.
    at: u64,
    #[serde(flatten)]
    record: R,
}

/// What is wrong with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorruptRecord {
    /// It has no end: the write was cut off.
    Torn,
    /// It has no seal where one belongs.
    Unsealed,
    /// Its seal does not fit what it says.
    Checksum,
    /// It is sealed and still cannot be read: another version wrote it.
    Unreadable,
}

/// Lines of JSON that end in their own checksum: `{…,"crc":"89abcdef"}`, CRC-32 (ISO-HDLC) of all before `,"crc"`.
pub struct ChecksumLine;

/// `,"crc":"` and `"}` round eight digits.
const SEAL: usize = 18;

impl ChecksumLine {
    /// Appends a JSON object as a sealed line.
    pub fn put(out: &mut Vec<u8>, object: &impl Serialize) {
        let from = out.len();
        // Texts and numbers only: writing them to memory cannot fail.
        if serde_json::to_writer(&mut *out, object).is_err() {
            return out.truncate(from);
        }
        out.pop();
        let crc = crc32fast::hash(&out[from..]);
        out.extend_from_slice(format!(",\"crc\":\"{crc:08x}\"}}\n").as_bytes());
    }

    /// The object of a line, which comes with its end of line.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn open<T: for<'a> Deserialize<'a>>(line: &[u8]) -> Result<T, CorruptRecord> {
        let bare = line.strip_suffix(b"\n").ok_or(CorruptRecord::Torn)?;
        let (body, seal) = bare
            .split_at_checked(bare.len().wrapping_sub(SEAL))
            .ok_or(CorruptRecord::Unsealed)?;
        let digits = seal
            .strip_prefix(b",\"crc\":\"")
            .and_then(|s| s.strip_suffix(b"\"}"));
        let digits = digits
            .and_then(|d| std::str::from_utf8(d).ok())
            .ok_or(CorruptRecord::Unsealed)?;
        let crc = u32::from_str_radix(digits, 16).map_err(|_| CorruptRecord::Unsealed)?;
        if crc32fast::hash(body) != crc {
            return Err(CorruptRecord::Checksum);
        }
        serde_json::from_slice(bare).map_err(|_| CorruptRecord::Unreadable)
    }
}

impl RequestRecord {
    /// Appends the record as a line of the request log.
    pub fn put(&self, out: &mut Vec<u8>, seq: u64, at_unix_ms: u64) {
        ChecksumLine::put(
            out,
            &Line {
                seq,
                at: at_unix_ms,
                record: self,
            },
        );
    }

    /// Reads a line of the request log: the record and its number.
    ///
    /// # Errors
    /// What is wrong with the line.
    pub fn read(line: &[u8]) -> Result<(u64, Self), CorruptRecord> {
        ChecksumLine::open::<Line<Self>>(line).map(|line| (line.seq, line.record))
    }

    /// The member that had it last.
    #[must_use]
    pub fn endpoint(&self) -> Option<&Arc<str>> {
        self.attempts.last().map(|t| &t.endpoint)
    }
}
