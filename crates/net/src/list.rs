//! Discovery: the list of servers, watched over HTTP.

use std::collections::{HashMap, HashSet};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crossbeam_channel::Sender;
use serde::Deserialize;
use serde_json::Value;
use valehatch_config::{Site, number};
use valehatch_pace::Backoff;
use valehatch_policy::{Entry, GroupId, KindId, ListMode, NodeId, NodeState, Span, Time, ZoneId};
use valehatch_recovery::book::{Ahead, Book, Listed};

use super::servers::place_ms;
use crate::Clock;
use crate::lock;
use valehatch_core::{Event, Member};

/// How often all gateways together may call a discovery that has no news: one service answers them all.
const CALLS_S: u32 = 5;
/// How long one call of the watch may wait for news, by that.
const HOLD: (Span, Span) = (Span::from_millis(2_000), Span::from_millis(20_000));
/// How long an agent that is asked for nothing but what it has been sent may take.
const SILENCE: Duration = Duration::from_millis(700);
/// Between tries, at first; the watch goes on only when the next call comes within 200 ms.
const PAUSE: Span = Span::from_millis(50);
/// The longest answer that is read.
const MOST: usize = 1024 * 1024;

#[derive(Deserialize)]
struct List {
    rev: u64,
    all: bool,
    targets: Vec<Listed>,
}

/// Where discovery answers, and the connection to it that is in use: a new address ends it at once, and a rest too.
pub struct Place(Mutex<(SocketAddr, Option<Arc<TcpStream>>)>, Condvar);

impl Place {
    pub const fn new(address: SocketAddr) -> Self {
        Self(Mutex::new((address, None)), Condvar::new())
    }

    fn address(&self) -> SocketAddr {
        lock(&self.0).0
    }

    /// Takes the watch elsewhere; the list that is held goes on to hold.
    pub fn set(&self, address: SocketAddr) {
        let mut held = lock(&self.0);
        if held.0 != address {
            held.0 = address;
            held.1.take().into_iter().for_each(|line| drop(line.shutdown(Shutdown::Both)));
            self.1.notify_all();
        }
    }

    /// Waits, for as long as discovery stays at this address.
    fn rest(&self, address: SocketAddr, pause: Span) {
        let pause = Duration::from_micros(pause.0.unsigned_abs());
        drop(self.1.wait_timeout_while(lock(&self.0), pause, |held| held.0 == address));
    }

    fn connect(&self) -> io::Result<Line> {
        let address = self.address();
        let stream = TcpStream::connect_timeout(&address, SILENCE)?;
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        let mut held = lock(&self.0);
        if held.0 != address {
            return Err(io::Error::other("discovery has moved"));
        }
        held.1 = Some(Arc::clone(&stream));
        Ok(Line { address, from: BufReader::new(Shared(stream)) })
    }
}

struct Shared(Arc<TcpStream>);

impl Read for Shared {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(into)
    }
}

/// A connection to discovery.
struct Line {
    address: SocketAddr,
    from: BufReader<Shared>,
}

/// What takes lists in, whoever tells them, and hands them to the core.
pub struct Taker {
    site: Site,
    clock: Clock,
    events: Sender<Event>,
    ids: HashMap<String, NodeId>,
    /// The list as it is held.
    book: Book,
    /// When discovery itself has confirmed it.
    confirmed_at: Option<Time>,
    /// How far the other process of this gateway has brought it.
    ahead: Option<Ahead>,
}

impl Taker {
    /// What is held, and when discovery confirmed it, if it has.
    pub const fn held(&self) -> (&Book, Option<Time>) {
        (&self.book, self.confirmed_at)
    }

    /// How long ago that was.
    pub fn age(&self, at: Time) -> Span {
        self.clock.now() - at
    }

    /// How long ago discovery confirmed it is not known any more: it is told to nobody until that is done again.
    pub const fn doubt(&mut self) {
        self.confirmed_at = None;
    }

    /// Takes what discovery told the other process of this gateway, if that is more than is held: the two are one gateway, which
    /// has been told.
    pub fn hear(&mut self, book: &Book) {
        if let Some(told) = book.told.filter(|_| book.is_ahead_of(&self.book)) {
            self.ahead = Ahead::of(book, self.clock.now());
            self.take(told.0, List { rev: told.1, all: true, targets: book.members().cloned().collect() });
        }
    }

    /// Takes a list of discovery's own, unless all of it is in already.
    fn told(&mut self, from: SocketAddr, list: List) -> u64 {
        let now = self.clock.now();
        if self.ahead.is_some_and(|ahead| ahead.covers(from, list.rev, now)) {
            return list.rev;
        }
        self.ahead = None;
        self.take(from, list)
    }

    /// Takes a list that somebody else than discovery told, unless one is held.
    pub fn guess(&mut self, listed: Vec<Listed>, told: (SocketAddr, u64)) -> bool {
        let none = self.book.told.is_none();
        if none {
            self.take(told.0, List { rev: told.1, all: true, targets: listed });
        }
        none
    }
}

/// Watches the list.
pub struct Watch {
    place: Arc<Place>,
    taker: Arc<Mutex<Taker>>,
    asked: bool,
    clock: Clock,
    /// Gateways that ask the same service.
    fleet: Arc<AtomicU32>,
    /// How much longer an answer may take before the agent counts as silent.
    silence: Duration,
    pace: Backoff,
    /// Called whenever discovery itself has confirmed the list.
    confirmed: Box<dyn Fn() + Send>,
    /// Called with all that is held whenever discovery itself has changed it.
    changed: Box<dyn Fn(Book) + Send>,
}

impl Watch {
    pub fn new(
        place: Arc<Place>,
        site: Site,
        clock: Clock,
        events: Sender<Event>,
        fleet: Arc<AtomicU32>,
        seed: u64,
    ) -> Self {
        let (asked, within) = (site.settings.list_mode == ListMode::Asked, site.settings.rules.ask_within);
        // Where all gateways ask one service, a call waits for its turn: hanging up early only wastes it. The rules
        // count a gateway as told that has not asked within that time, four times that after a call that failed.
        let round = valehatch_pace::round(site.settings.routers, CALLS_S).min(within.times(0.8));
        let (silence, pace) = if asked {
            (Duration::from_micros(within.0.unsigned_abs() / 4), (round.max(PAUSE), Span(within.0 * 3)))
        } else {
            (SILENCE, (PAUSE, Span(within.0 / 4)))
        };
        let pace = Backoff::new(pace.0, pace.1, seed);
        let (ids, book, confirmed_at, ahead) = (HashMap::new(), Book::default(), None, None);
        let taker = Arc::new(Mutex::new(Taker { site, clock, events, ids, book, confirmed_at, ahead }));
        Self {
            place,
            taker,
            asked,
            clock,
            fleet,
            silence,
            pace,
            confirmed: Box::new(|| {}),
            changed: Box::new(drop),
        }
    }

    /// What takes the lists in.
    pub fn taker(&self) -> Arc<Mutex<Taker>> {
        Arc::clone(&self.taker)
    }

    /// Tells of each time that discovery confirms the list.
    #[must_use]
    pub fn telling(mut self, confirmed: impl Fn() + Send + 'static) -> Self {
        self.confirmed = Box::new(confirmed);
        self
    }

    /// Tells of each change that discovery has made, with all that is held after it.
    #[must_use]
    pub fn passing(mut self, changed: impl Fn(Book) + Send + 'static) -> Self {
        self.changed = Box::new(changed);
        self
    }

    /// Takes the list as it was held before the last stop, then watches: from there on if the same discovery told it.
    pub fn resume(self, listed: Vec<Listed>, told: (SocketAddr, u64)) -> io::Result<()> {
        let rev = lock(&self.taker).take(told.0, List { rev: told.1, all: true, targets: listed });
        let held = (told.0 == self.place.address()).then_some((told.0, rev));
        super::spawn("list", move || self.run(held))
    }

    /// Takes the list as it was last held, then watches from there on: what has changed since is far less than all.
    pub fn start(self, known: &Value) -> io::Result<()> {
        let mut held = None;
        if !known.is_null() {
            match serde_json::from_value::<List>(known.clone()) {
                Ok(list) if list.all && !list.targets.is_empty() => {
                    let address = self.place.address();
                    held = Some((address, lock(&self.taker).take(address, list)));
                }
                Ok(list) => {
                    lock(&self.taker).take(self.place.address(), list);
                }
                Err(e) => tracing::warn!("config: known is not a list of servers: {e}"),
            }
        }
        super::spawn("list", move || self.run(held))
    }

    fn run(mut self, mut told: Option<(SocketAddr, u64)>) {
        let mut line: Option<Line> = None;
        // Versions belong to the address that told them: elsewhere the whole list is asked for first.
        let mut failing = false;
        if self.asked {
            let pause = self.pace.start();
            self.place.rest(self.place.address(), pause);
        }
        loop {
            let address = self.place.address();
            line = line.filter(|l| l.address == address);
            match self.call(&mut line, told.filter(|(at, _)| *at == address).map(|(_, rev)| rev)) {
                Ok(list) => {
                    if std::mem::take(&mut failing) {
                        tracing::info!("discovery answers again");
                    }
                    self.pace.answered();
                    let news = list.all || !list.targets.is_empty();
                    let mut taker = lock(&self.taker);
                    told = Some((address, taker.told(address, list)));
                    taker.confirmed_at = Some(self.clock.now());
                    let held = news.then(|| taker.book.clone());
                    drop(taker);
                    held.into_iter().for_each(&self.changed);
                    (self.confirmed)();
                }
                Err(e) => {
                    line = None;
                    if self.place.address() != address {
                        self.pace.answered();
                        continue;
                    }
                    // Silence or nonsense, which is said once.
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!("discovery: {e}; the list that is held goes on to hold");
                    }
                    let pause = self.pace.failed();
                    self.place.rest(address, pause);
                }
            }
        }
    }

    fn call(&self, line: &mut Option<Line>, from: Option<u64>) -> io::Result<List> {
        let Line { address, from: stream } = match line {
            Some(line) => line,
            None => line.insert(self.place.connect()?),
        };
        let (path, wait) = match from {
            None => ("/v1/servers".to_owned(), self.silence),
            Some(rev) => {
                let fleet = self.fleet.load(Ordering::Relaxed);
                let hold = valehatch_pace::hold(fleet, CALLS_S, HOLD.0, HOLD.1);
                let hold = Duration::from_micros(hold.0.unsigned_abs());
                (format!("/v1/servers?from={rev}&hold_ms={}", hold.as_millis()), hold + self.silence)
            }
        };
        stream.get_ref().0.set_read_timeout(Some(wait))?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        (&*stream.get_ref().0).write_all(request.as_bytes())?;
        let (body, keep) = read_response(stream)?;
        if !keep {
            *line = None;
        }
        serde_json::from_slice(&body).map_err(|e| io::Error::other(format!("no list: {e}")))
    }
}

impl Taker {
    fn take(&mut self, from: SocketAddr, list: List) -> u64 {
        self.book.take(from, list.rev, list.all, &list.targets);
        // Names come and go all day: those that the list no longer holds are forgotten with it.
        let named: HashSet<&str> = list.targets.iter().map(|t| t.uid.as_str()).collect();
        self.ids.retain(|uid, _| !list.all || named.contains(uid.as_str()));
        let left = |t: &&Listed| t.state == "left";
        let gone: Vec<String> = list.targets.iter().filter(left).map(|t| t.uid.clone()).collect();
        let members = list.targets.into_iter().filter_map(|t| self.member(t)).collect();
        self.ids.retain(|uid, _| !gone.contains(uid));
        let _ = self.events.send(Event::List { complete: list.all, members });
        list.rev
    }

    #[allow(clippy::cast_possible_truncation)]
    fn member(&mut self, target: Listed) -> Option<Member> {
        let state = match target.state.as_str() {
            "active" => NodeState::Ready,
            "leaving" => NodeState::Draining,
            "left" => NodeState::Gone,
            other => {
                tracing::warn!("discovery: {} has the unknown state {other:?}", target.uid);
                return None;
            }
        };
        let name = Arc::from(target.uid.as_str());
        let place =
            |all: &[String], name: &str| all.iter().position(|n| n == name).map_or(u8::MAX, |n| n as u8);
        Some(Member {
            entry: Entry {
                zone: ZoneId(place(&self.site.zones, &target.az)),
                kind: KindId(place(&self.site.kinds, &target.model)),
                node: self.id(target.uid),
                group: GroupId(target.pod_group),
                weight: target.capacity_hint,
                started: (target.boot_ms > 0.0).then(|| place_ms(self.clock, target.boot_ms)),
                primary: target.mode == "read-write",
                state,
            },
            name,
            address: Arc::from(target.endpoint),
        })
    }

    /// The same number for the same uid at every gateway, but where two fall together.
    fn id(&mut self, uid: String) -> NodeId {
        if let Some(id) = self.ids.get(&uid) {
            return *id;
        }
        let mut id = number(&uid);
        while self.ids.values().any(|known| *known == id) {
            id = NodeId(id.0.wrapping_add(1));
        }
        self.ids.insert(uid, id);
        id
    }
}

/// The body of a response, and whether the connection can be used again.
fn read_response(from: &mut impl BufRead) -> io::Result<(Vec<u8>, bool)> {
    let bad = |what: String| io::Error::other(what);
    let mut head = vec![];
    while !head.ends_with(b"\r\n\r\n") {
        if from.by_ref().take(16 * 1024).read_until(b'\n', &mut head)? == 0 || head.len() > 16 * 1024 {
            return Err(bad("the answer has no end of its head".into()));
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(&head).map_err(|e| bad(format!("no HTTP: {e}")))?;
    if response.code != Some(200) {
        return Err(bad(format!("HTTP status {:?}", response.code)));
    }
    let header = |name: &str| {
        let named = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        named.and_then(|h| std::str::from_utf8(h.value).ok()).map(|v| v.trim().to_ascii_lowercase())
    };
    let keep = header("connection").is_none_or(|v| v != "close");
    let mut body = vec![];
    if header("transfer-encoding").is_some_and(|v| v == "chunked") {
        loop {
            let mut line = String::new();
            from.by_ref().take(64).read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or_default(), 16);
            let size = size.map_err(|_| bad(format!("no size of a chunk: {line:?}")))?;
            if body.len() + size > MOST {
                return Err(bad("the answer is too long".into()));
            }
            let at = body.len();
            body.resize(at + size, 0);
            from.read_exact(&mut body[at..])?;
            from.read_exact(&mut [0; 2])?;
            if size == 0 {
                return Ok((body, keep));
            }
        }
    }
    let length = header("content-length").map(|v| v.parse::<usize>());
    match length {
        Some(Ok(length)) if length <= MOST => {
            body.resize(length, 0);
            from.read_exact(&mut body)?;
            Ok((body, keep))
        }
        Some(other) => Err(bad(format!("a length of {other:?}"))),
        None => {
            from.take(MOST as u64).read_to_end(&mut body)?;
            Ok((body, false))
        }
    }
}
