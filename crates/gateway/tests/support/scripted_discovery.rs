//! A discovery that does with each call what the test's script says, and keeps when which call came.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{free_address, wait_until};

/// How often what holds a call is looked at again.
const LOOK: Duration = Duration::from_millis(2);

/// A call as it came.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub at: Instant,
    /// Of its connection, counted from 1.
    pub connection: usize,
    pub from: Option<u64>,
    pub hold: Duration,
}

/// The form in which an answer comes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Form {
    Plain,
    Indented,
    /// The whole list, whatever it was asked from.
    FullList,
    Chunked,
    /// With fields behind the last chunk.
    Trailers,
    /// With an extension of so many bytes behind the size of the chunk.
    Extension(usize),
    /// Without a length: the connection's end is the answer's.
    NoLength,
    /// With this word on the connection, which ends behind the answer.
    ConnectionHeader(&'static str),
    Http10,
    /// Behind interim answers.
    Interim,
    /// In pieces of so many bytes, with a pause of so many milliseconds before each.
    Pieces(usize, u64),
}

/// What a call meets.
pub(crate) enum CallReply {
    /// What there is to tell, when there is.
    Update(Form),
    /// Nothing, on an open connection.
    NoReply,
    /// These bytes with a pause before each piece, then this end.
    Bytes(Vec<(Duration, Vec<u8>)>, End),
}

/// How a connection goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    Keep,
    Close,
    Reset,
    /// It stays open, and nothing more comes.
    Silent,
}

type Script = Box<dyn FnMut(&Asked) -> CallReply + Send>;

struct List {
    rev: u64,
    /// What is listed, with the version that it is of.
    entries: BTreeMap<String, (u64, String)>,
}

impl List {
    fn json(&self, from: Option<u64>, whole: bool) -> String {
        let new = |of: u64| whole || from.is_none_or(|from| of > from);
        let told: Vec<_> = self
            .entries
            .values()
            .filter(|e| new(e.0))
            .map(|e| e.1.as_str())
            .collect();
        let all = whole || from.is_none();
        format!(
            r#"{{"rev":{},"all":{all},"targets":[{}]}}"#,
            self.rev,
            told.join(",")
        )
    }
}

pub(crate) struct ScriptedDiscovery {
    pub address: SocketAddr,
    list: Mutex<List>,
    script: Mutex<Script>,
    pub calls: Mutex<Vec<Asked>>,
    /// When each right answer with news was written.
    pub update_times: Mutex<Vec<Instant>>,
    connections: AtomicUsize,
    /// Connections up to this number say nothing more; up to that one they are reset.
    muted: AtomicUsize,
    reset: AtomicUsize,
    /// New connections say nothing at all.
    silent: AtomicBool,
    refuses: AtomicBool,
    refusing: AtomicBool,
}

impl ScriptedDiscovery {
    /// Lists these at version 1.
    pub(crate) fn start(entries: &[(&str, String)]) -> Arc<Self> {
        let entries = entries
            .iter()
            .map(|(uid, text)| ((*uid).to_owned(), (1, text.clone())))
            .collect();
        let script: Script = Box::new(|_| CallReply::Update(Form::Plain));
        let all = Arc::new(Self {
            address: free_address(),
            list: Mutex::new(List { rev: 1, entries }),
            script: Mutex::new(script),
            calls: Mutex::default(),
            update_times: Mutex::default(),
            connections: AtomicUsize::new(0),
            muted: AtomicUsize::new(0),
            reset: AtomicUsize::new(0),
            silent: AtomicBool::new(false),
            refuses: AtomicBool::new(false),
            refusing: AtomicBool::new(true),
        });
        let listens = Arc::clone(&all);
        thread::spawn(move || listens.listen());
        wait_until("it listens", || !all.refusing.load(SeqCst));
        all
    }

    fn listen(self: Arc<Self>) {
        loop {
            let listener = TcpListener::bind(self.address).expect("an address of the test's own");
            listener.set_nonblocking(true).unwrap();
            self.refusing.store(false, SeqCst);
            while !self.refuses.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(LOOK);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                let (number, serves) =
                    (1 + self.connections.fetch_add(1, SeqCst), Arc::clone(&self));
                thread::spawn(move || serves.serve(stream, number));
            }
            drop(listener);
            self.refusing.store(true, SeqCst);
            while self.refuses.load(SeqCst) {
                thread::sleep(LOOK);
            }
        }
    }

    /// What the calls from now on meet.
    pub(crate) fn script(&self, script: impl FnMut(&Asked) -> CallReply + Send + 'static) {
        *self.script.lock().unwrap() = Box::new(script);
    }

    /// The same for all of them.
    pub(crate) fn form(&self, form: Form) {
        self.script(move |_| CallReply::Update(form));
    }

    /// A newer version, with this entry; what watches is told. Since when it can be told.
    pub(crate) fn tell(&self, uid: &str, entry: String) -> Instant {
        let mut list = self.list.lock().unwrap();
        list.rev += 1;
        let rev = list.rev;
        list.entries.insert(uid.to_owned(), (rev, entry));
        Instant::now()
    }

    /// A newer version without this one, which only whole lists show.
    pub(crate) fn forget(&self, uid: &str) -> Instant {
        let mut list = self.list.lock().unwrap();
        list.rev += 1;
        list.entries.remove(uid);
        Instant::now()
    }

    /// Counts anew from this version on, of which everything is, this entry among it. Since when it can be told.
    pub(crate) fn counts_anew(&self, rev: u64, uid: &str, entry: String) -> Instant {
        let mut list = self.list.lock().unwrap();
        list.rev = rev;
        list.entries.insert(uid.to_owned(), (rev, entry));
        list.entries.values_mut().for_each(|entry| entry.0 = rev);
        Instant::now()
    }

    /// Open connections say nothing more.
    pub(crate) fn mute(&self) {
        self.muted.store(self.connections.load(SeqCst), SeqCst);
    }

    /// Open connections are reset.
    pub(crate) fn reset(&self) {
        self.reset.store(self.connections.load(SeqCst), SeqCst);
    }

    /// Is silent, on connections that are open and on those that come meanwhile, also later.
    pub(crate) fn falls_silent(&self) {
        self.silent.store(true, SeqCst);
        self.mute();
    }

    /// Refuses connections, and resets those that are open.
    pub(crate) fn goes(&self) {
        self.refuses.store(true, SeqCst);
        self.reset();
        wait_until("it refuses", || self.refusing.load(SeqCst));
    }

    /// Is there again, for new connections.
    pub(crate) fn returns(&self) -> Instant {
        self.mute();
        self.silent.store(false, SeqCst);
        self.refuses.store(false, SeqCst);
        wait_until("it listens again", || !self.refusing.load(SeqCst));
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
            return rest(&mut stream);
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
            let asked = Asked {
                at: Instant::now(),
                connection,
                from,
                hold,
            };
            self.calls.lock().unwrap().push(asked.clone());
            let says = (self.script.lock().unwrap())(&asked);
            let end = match says {
                CallReply::Update(form) => self.tells(&mut stream, &asked, form),
                CallReply::NoReply => End::Silent,
                CallReply::Bytes(pieces, end) => {
                    write(&mut stream, &pieces).map_or(End::Close, |()| end)
                }
            };
            match end {
                End::Keep => {}
                End::Silent => return rest(&mut stream),
                // The byte of the request that was left unread makes a reset of the close.
                End::Reset => return,
                End::Close => {
                    let _ = stream.read(&mut [0]);
                    return;
                }
            }
        }
    }

    /// Waits until there is news, or until the wait is over, and tells it.
    fn tells(&self, stream: &mut TcpStream, asked: &Asked, form: Form) -> End {
        let end = asked.at + asked.hold;
        let (body, news) = loop {
            if asked.connection <= self.reset.load(SeqCst) {
                return End::Reset;
            }
            if asked.connection <= self.muted.load(SeqCst) {
                return End::Silent;
            }
            let list = self.list.lock().unwrap();
            let news = asked.from.is_none_or(|from| list.rev > from);
            if news || Instant::now() >= end {
                break (list.json(asked.from, matches!(form, Form::FullList)), news);
            }
            drop(list);
            thread::sleep(LOOK);
        };
        let (pieces, end) = answer(&body, form);
        if write(stream, &pieces).is_none() {
            return End::Close;
        }
        self.update_times.lock().unwrap().extend(news.then(Instant::now));
        end
    }
}

/// An answer in this form, and what becomes of the connection behind it.
pub(crate) fn answer(body: &str, form: Form) -> (Vec<(Duration, Vec<u8>)>, End) {
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
    let (text, end) = match form {
        Form::Plain | Form::FullList | Form::Pieces(..) => (sized(ok, body), End::Keep),
        Form::Indented => (sized(ok, &indented(body)), End::Keep),
        Form::Chunked => (chunks("", ""), End::Keep),
        Form::Trailers => (chunks("", "X-Rev: 1\r\nX-More: a, b\r\n"), End::Keep),
        Form::Extension(length) => (chunks(&format!(";x={}", "y".repeat(length)), ""), End::Keep),
        Form::NoLength => (format!("{ok}\r\n\r\n{body}"), End::Close),
        Form::ConnectionHeader(word) => (
            sized(&format!("{ok}\r\nConnection: {word}"), body),
            End::Close,
        ),
        Form::Http10 => (sized("HTTP/1.0 200 OK", body), End::Close),
        Form::Interim => {
            let interim =
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
            (interim.to_owned() + &sized(ok, body), End::Keep)
        }
    };
    let pieces = match form {
        Form::Pieces(size, ms) => text
            .as_bytes()
            .chunks(size)
            .map(|some| (Duration::from_millis(ms), some.to_vec()))
            .collect(),
        _ => vec![(Duration::ZERO, text.into_bytes())],
    };
    (pieces, end)
}

fn indented(body: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(body).unwrap();
    serde_json::to_string_pretty(&value)
        .unwrap()
        .replace('\n', "\r\n\t")
}

fn write(stream: &mut TcpStream, pieces: &[(Duration, Vec<u8>)]) -> Option<()> {
    for (pause, some) in pieces {
        thread::sleep(*pause);
        stream.write_all(some).ok()?;
    }
    Some(())
}

/// Says nothing until the other side ends the connection.
fn rest(stream: &mut TcpStream) {
    while matches!(stream.read(&mut [0; 256]), Ok(1..)) {}
}

/// A request but its last byte: a connection that is closed over it is reset.
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

/// An address at which connects hang: its queue is full, and nobody takes anything from it.
pub(crate) struct HangingListener(pub SocketAddr, TcpListener, Vec<TcpStream>);

impl HangingListener {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind(free_address()).unwrap();
        let (address, mut held) = (listener.local_addr().unwrap(), vec![]);
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            held.push(stream);
            assert!(held.len() < 10_000, "the queue is never full");
        }
        Self(address, listener, held)
    }
}
