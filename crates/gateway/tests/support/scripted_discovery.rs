//! A stub discovery service that replies to each call as the test's script says and records the
//! calls.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{free_address, wait_until};

/// Interval at which a waiting call checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A call as it was received.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub at: Instant,
    /// Number of its connection, counted from 1.
    pub connection: usize,
    /// The version from which changes are requested; `None` requests the full list.
    pub from: Option<u64>,
    /// How long the call may wait for changes.
    pub hold: Duration,
}

/// The form of an HTTP answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Form {
    Plain,
    Indented,
    /// The full list, whichever version the call names.
    FullList,
    Chunked,
    /// Chunked, with trailer fields.
    Trailers,
    /// Chunked, with a chunk extension of this many bytes.
    Extension(usize),
    /// Without a length: the answer ends with the connection.
    NoLength,
    /// With this value of the `Connection` header; the connection is closed after the answer.
    ConnectionHeader(&'static str),
    Http10,
    /// After interim (1xx) answers.
    Interim,
    /// In pieces of this many bytes, with a pause of this many milliseconds before each.
    Pieces(usize, u64),
}

/// How a call is replied to.
pub(crate) enum CallReply {
    /// The changes as soon as there are some, or an empty answer when the wait is over.
    Update(Form),
    /// No reply; the connection stays open.
    Unanswered,
    /// These bytes, with a pause before each piece; then the connection goes on like this.
    Bytes(Vec<(Duration, Vec<u8>)>, AfterReply),
}

/// What happens to the connection after a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AfterReply {
    Keep,
    Close,
    Reset,
    /// The connection stays open, and nothing more is sent.
    Silent,
}

type Script = Box<dyn FnMut(&Call) -> CallReply + Send>;

struct List {
    rev: u64,
    /// Each entry with the version that last changed it, by uid.
    entries: BTreeMap<String, (u64, String)>,
}

impl List {
    fn json(&self, from: Option<u64>, full: bool) -> String {
        let is_new = |rev: u64| full || from.is_none_or(|from| rev > from);
        let targets: Vec<_> = self
            .entries
            .values()
            .filter(|e| is_new(e.0))
            .map(|e| e.1.as_str())
            .collect();
        let all = full || from.is_none();
        format!(
            r#"{{"rev":{},"all":{all},"targets":[{}]}}"#,
            self.rev,
            targets.join(",")
        )
    }
}

pub(crate) struct ScriptedDiscovery {
    pub address: SocketAddr,
    list: Mutex<List>,
    script: Mutex<Script>,
    pub calls: Mutex<Vec<Call>>,
    /// When each update with changes was written.
    pub update_times: Mutex<Vec<Instant>>,
    connections: AtomicUsize,
    /// Connections up to this number get no more replies.
    muted_up_to: AtomicUsize,
    /// Connections up to this number are reset.
    reset_up_to: AtomicUsize,
    /// New connections get no reply at all.
    silent: AtomicBool,
    /// Whether new connections are to be refused.
    refuse: AtomicBool,
    /// Whether new connections are refused, as no listener is open.
    refusing: AtomicBool,
}

impl ScriptedDiscovery {
    /// Starts the service with these entries as version 1.
    pub(crate) fn start(entries: &[(&str, String)]) -> Arc<Self> {
        let entries = entries
            .iter()
            .map(|(uid, text)| ((*uid).to_owned(), (1, text.clone())))
            .collect();
        let script: Script = Box::new(|_| CallReply::Update(Form::Plain));
        let discovery = Arc::new(Self {
            address: free_address(),
            list: Mutex::new(List { rev: 1, entries }),
            script: Mutex::new(script),
            calls: Mutex::default(),
            update_times: Mutex::default(),
            connections: AtomicUsize::new(0),
            muted_up_to: AtomicUsize::new(0),
            reset_up_to: AtomicUsize::new(0),
            silent: AtomicBool::new(false),
            refuse: AtomicBool::new(false),
            refusing: AtomicBool::new(true),
        });
        let listening = Arc::clone(&discovery);
        thread::spawn(move || listening.listen());
        wait_until("the discovery service listens", || {
            !discovery.refusing.load(SeqCst)
        });
        discovery
    }

    fn listen(self: Arc<Self>) {
        loop {
            let listener = TcpListener::bind(self.address).expect("the address is free");
            listener.set_nonblocking(true).unwrap();
            self.refusing.store(false, SeqCst);
            while !self.refuse.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                let (number, shared) =
                    (1 + self.connections.fetch_add(1, SeqCst), Arc::clone(&self));
                thread::spawn(move || shared.serve(stream, number));
            }
            drop(listener);
            self.refusing.store(true, SeqCst);
            while self.refuse.load(SeqCst) {
                thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Sets how calls are replied to from now on.
    pub(crate) fn set_script(&self, script: impl FnMut(&Call) -> CallReply + Send + 'static) {
        *self.script.lock().unwrap() = Box::new(script);
    }

    /// Replies to all calls from now on with updates in this form.
    pub(crate) fn set_form(&self, form: Form) {
        self.set_script(move |_| CallReply::Update(form));
    }

    /// Publishes a newer version with this entry, and returns when it became available.
    pub(crate) fn publish(&self, uid: &str, entry: String) -> Instant {
        let mut list = self.list.lock().unwrap();
        list.rev += 1;
        let rev = list.rev;
        list.entries.insert(uid.to_owned(), (rev, entry));
        Instant::now()
    }

    /// Publishes a newer version without this entry, which only full lists show, and returns when
    /// it became available.
    pub(crate) fn remove(&self, uid: &str) -> Instant {
        let mut list = self.list.lock().unwrap();
        list.rev += 1;
        list.entries.remove(uid);
        Instant::now()
    }

    /// Restarts the version count at `rev`, to which all entries then belong, this one among them;
    /// returns when that became available.
    pub(crate) fn restart_versions(&self, rev: u64, uid: &str, entry: String) -> Instant {
        let mut list = self.list.lock().unwrap();
        list.rev = rev;
        list.entries.insert(uid.to_owned(), (rev, entry));
        list.entries.values_mut().for_each(|entry| entry.0 = rev);
        Instant::now()
    }

    /// Sends nothing more on the open connections.
    pub(crate) fn mute_open_connections(&self) {
        self.muted_up_to
            .store(self.connections.load(SeqCst), SeqCst);
    }

    /// Resets the open connections.
    pub(crate) fn reset_open_connections(&self) {
        self.reset_up_to
            .store(self.connections.load(SeqCst), SeqCst);
    }

    /// Sends nothing on open connections, nor on those accepted before `come_back`, even
    /// afterwards.
    pub(crate) fn go_silent(&self) {
        self.silent.store(true, SeqCst);
        self.mute_open_connections();
    }

    /// Refuses new connections and resets the open ones.
    pub(crate) fn go_down(&self) {
        self.refuse.store(true, SeqCst);
        self.reset_open_connections();
        wait_until("the discovery service refuses connections", || {
            self.refusing.load(SeqCst)
        });
    }

    /// Serves new connections again, and returns since when.
    pub(crate) fn come_back(&self) -> Instant {
        self.mute_open_connections();
        self.silent.store(false, SeqCst);
        self.refuse.store(false, SeqCst);
        wait_until("the discovery service listens again", || {
            !self.refusing.load(SeqCst)
        });
        Instant::now()
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.load(SeqCst)
    }

    pub(crate) fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    fn serve(&self, mut stream: TcpStream, connection: usize) {
        if self.silent.load(SeqCst) {
            return read_until_closed(&mut stream);
        }
        while let Some(head) = read_head(&mut stream) {
            let field = |name: &str| -> Option<u64> {
                let text = head.split_once(name)?.1;
                text.split(['&', ' ']).next()?.parse().ok()
            };
            let (from, hold) = (
                field("from="),
                Duration::from_millis(field("hold_ms=").unwrap_or(0)),
            );
            let call = Call {
                at: Instant::now(),
                connection,
                from,
                hold,
            };
            self.calls.lock().unwrap().push(call.clone());
            let reply = (self.script.lock().unwrap())(&call);
            let after = match reply {
                CallReply::Update(form) => self.send_update(&mut stream, &call, form),
                CallReply::Unanswered => AfterReply::Silent,
                CallReply::Bytes(pieces, after) => {
                    write(&mut stream, &pieces).map_or(AfterReply::Close, |()| after)
                }
            };
            match after {
                AfterReply::Keep => {}
                AfterReply::Silent => return read_until_closed(&mut stream),
                // Closing with the last byte of the request unread resets the connection.
                AfterReply::Reset => return,
                AfterReply::Close => {
                    let _ = stream.read(&mut [0]);
                    return;
                }
            }
        }
    }

    /// Waits until there are changes or the wait of the call is over, and sends them.
    fn send_update(&self, stream: &mut TcpStream, call: &Call, form: Form) -> AfterReply {
        let end = call.at + call.hold;
        let (body, changed) = loop {
            if call.connection <= self.reset_up_to.load(SeqCst) {
                return AfterReply::Reset;
            }
            if call.connection <= self.muted_up_to.load(SeqCst) {
                return AfterReply::Silent;
            }
            let list = self.list.lock().unwrap();
            let changed = call.from.is_none_or(|from| list.rev > from);
            if changed || Instant::now() >= end {
                break (
                    list.json(call.from, matches!(form, Form::FullList)),
                    changed,
                );
            }
            drop(list);
            thread::sleep(POLL_INTERVAL);
        };
        let (pieces, after) = answer(&body, form);
        if write(stream, &pieces).is_none() {
            return AfterReply::Close;
        }
        self.update_times
            .lock()
            .unwrap()
            .extend(changed.then(Instant::now));
        after
    }
}

/// An answer in this form, in pieces with the pause before each, and what happens to the connection
/// after it.
pub(crate) fn answer(body: &str, form: Form) -> (Vec<(Duration, Vec<u8>)>, AfterReply) {
    let sized =
        |head: &str, body: &str| format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let ok = "HTTP/1.1 200 OK";
    let (chunked, size) = (
        format!("{ok}\r\nTransfer-Encoding: chunked\r\n\r\n"),
        body.len() / 2,
    );
    let chunks = |extension: &str, trailers: &str| {
        let (first, second) = body.split_at(size);
        let (one, two) = (first.len(), second.len());
        format!(
            "{chunked}{one:x}{extension}\r\n{first}\r\n{two:X}\r\n{second}\r\n0\r\n{trailers}\r\n"
        )
    };
    let (text, after) = match form {
        Form::Plain | Form::FullList | Form::Pieces(..) => (sized(ok, body), AfterReply::Keep),
        Form::Indented => (sized(ok, &indented(body)), AfterReply::Keep),
        Form::Chunked => (chunks("", ""), AfterReply::Keep),
        Form::Trailers => (chunks("", "X-Rev: 1\r\nX-More: a, b\r\n"), AfterReply::Keep),
        Form::Extension(length) => (
            chunks(&format!(";x={}", "y".repeat(length)), ""),
            AfterReply::Keep,
        ),
        Form::NoLength => (format!("{ok}\r\n\r\n{body}"), AfterReply::Close),
        Form::ConnectionHeader(value) => (
            sized(&format!("{ok}\r\nConnection: {value}"), body),
            AfterReply::Close,
        ),
        Form::Http10 => (sized("HTTP/1.0 200 OK", body), AfterReply::Close),
        Form::Interim => {
            let interim =
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
            (interim.to_owned() + &sized(ok, body), AfterReply::Keep)
        }
    };
    let pieces = match form {
        Form::Pieces(size, ms) => text
            .as_bytes()
            .chunks(size)
            .map(|part| (Duration::from_millis(ms), part.to_vec()))
            .collect(),
        _ => vec![(Duration::ZERO, text.into_bytes())],
    };
    (pieces, after)
}

fn indented(body: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(body).unwrap();
    serde_json::to_string_pretty(&value)
        .unwrap()
        .replace('\n', "\r\n\t")
}

fn write(stream: &mut TcpStream, pieces: &[(Duration, Vec<u8>)]) -> Option<()> {
    for (pause, bytes) in pieces {
        thread::sleep(*pause);
        stream.write_all(bytes).ok()?;
    }
    Some(())
}

/// Reads and sends nothing until the peer closes the connection.
fn read_until_closed(stream: &mut TcpStream) {
    while matches!(stream.read(&mut [0; 256]), Ok(1..)) {}
}

/// Reads a request except for its last byte, so that closing the connection resets it.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = vec![];
    while !head.ends_with(b"\r\n\r") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        if !(head.is_empty() && byte[0] == b'\n') {
            head.push(byte[0]);
        }
    }
    String::from_utf8(head).ok()
}

/// An address at which connection attempts hang, since the accept queue is full and never drained.
pub(crate) struct HangingListener(pub SocketAddr, TcpListener, Vec<TcpStream>);

impl HangingListener {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind(free_address()).unwrap();
        let (address, mut queued) = (listener.local_addr().unwrap(), vec![]);
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            queued.push(stream);
            assert!(queued.len() < 10_000, "the accept queue never fills up");
        }
        Self(address, listener, queued)
    }
}
