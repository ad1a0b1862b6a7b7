//! Discovery: the list of servers, watched over HTTP.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use serde::Deserialize;
use serde_json::Value;
use valehatch_backoff::Backoff;
use valehatch_config::{Site, endpoint_id};
use valehatch_policy::{
    DiscoveryMode, EndpointId, EndpointRecord, EndpointState, GroupId, KindId, Span, Time, ZoneId,
};
use valehatch_recovery::endpoint_list::{
    DiscoveredEndpoint, EndpointListCache, ForwardedListGuard, ListScope, ListVersion,
    PROPAGATION_DEADLINE, PROPAGATION_DEADLINE_AFTER_WAIT,
};

use super::http::Answer;
pub use super::watch::Place;
use super::watch::{Call, CallTimeouts, Line, first};
use crate::Clock;
use crate::lock;
use crate::upstream::place_ms;
use valehatch_core::{Event, ListedEndpoint};

/// How often all gateways together may call a discovery that has no news: one service answers them all.
const CALLS_S: u32 = 5;
/// How long one call of the watch may wait for news, by that.
const HOLD: (Span, Span) = (Span::from_millis(2_000), Span::from_millis(20_000));
/// The same where the gateway's own agent is asked, at no cost: what it has binds at once, and an agent that falls
/// silent in a call and is back before that call is over would not be heard until then.
const HOLD_AGENT: Duration = Duration::from_millis(100);
/// How much longer than that the agent, which answers at once, may take before it is asked anew, beside the call that
/// is out: its silence is heard to be over this long and the wait after it at the latest.
const LATE_AGENT: Duration = Duration::from_millis(100);
/// The same of a call to a service that may wait. Also how long nothing may be heard before that is said, and how long an
/// answer may come in pieces before the next call goes out beside it.
const SILENCE: Duration = Duration::from_millis(700);
/// Calls that may be out at once: as many as become late one after the other within the silence that is said.
const OUT: usize = 7;
/// Between tries: the first bound, the last one where the agent is asked, and where lists are pushed from elsewhere.
const PAUSE: Span = Span::from_millis(50);
const LONGEST_AGENT: Span = Span::from_millis(100);
const LONGEST_PUSHED: Span = Span::from_millis(2_500);

#[derive(Deserialize)]
struct List {
    rev: u64,
    all: bool,
    targets: Vec<DiscoveredEndpoint>,
}

/// What takes lists in, whoever tells them, and hands them to the core.
pub struct EndpointListStore {
    site: Site,
    clock: Clock,
    events: Sender<Event>,
    ids: HashMap<String, EndpointId>,
    /// The list as it is held.
    book: EndpointListCache,
    /// When discovery itself has confirmed it.
    confirmed_at: Option<Time>,
    /// How far the other process of this gateway has brought it.
    ahead: Option<ForwardedListGuard>,
}

impl EndpointListStore {
    /// What is held, and when discovery confirmed it, if it has.
    pub const fn held(&self) -> (&EndpointListCache, Option<Time>) {
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
    pub fn hear(&mut self, book: &EndpointListCache) {
        if let Some(told) = book.version.filter(|_| book.is_ahead_of(&self.book)) {
            self.ahead = ForwardedListGuard::new(book, self.clock.now());
            self.take(
                told.source,
                List {
                    rev: told.revision,
                    all: true,
                    targets: book.endpoints().cloned().collect(),
                },
            );
        }
    }

    /// Takes a list of discovery's own, unless all of it is in already: up to which version it has been followed. None
    /// for changes that do not fit what is held, since who tells them has begun to count anew.
    fn told(&mut self, from: SocketAddr, list: List) -> Option<u64> {
        let now = self.clock.now();
        if let Some(ahead) = self.ahead {
            let version = ListVersion {
                source: from,
                revision: list.rev,
            };
            if ahead.covers(version, now) {
                return Some(list.rev);
            }
            self.ahead = None;
            if ahead.is_newer_than(version) && !list.all {
                return None;
            }
        }
        Some(self.take(from, list))
    }

    /// Takes a list that somebody else than discovery told, unless one is held.
    pub fn guess(&mut self, listed: Vec<DiscoveredEndpoint>, told: ListVersion) -> bool {
        let none = self.book.version.is_none();
        if none {
            self.take(
                told.source,
                List {
                    rev: told.revision,
                    all: true,
                    targets: listed,
                },
            );
        }
        none
    }
}

/// Who tells the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
    /// An agent on the gateway's own machine: it is asked at no cost, and what it has binds at once.
    Agent,
    /// A service elsewhere, which pushes its lists.
    Pushes,
    /// One service that all gateways ask, and that answers so many a second: a call waits for its turn.
    Poll,
}

/// How the teller is asked.
#[derive(Clone, Copy, Debug)]
struct Terms {
    /// How long a call for the whole list is waited for, and one that may wait for news.
    whole: CallTimeouts,
    watch: CallTimeouts,
    /// Between tries: the first bound and the last.
    pauses: (Span, Span),
    /// How long after one that failed the next call may begin, at the latest.
    room: Span,
}

impl Terms {
    fn of(teller: Teller, site: &Site) -> Self {
        let within = site.settings.rules.max_poll_interval;
        // Whatever failed before, what discovery has counts as told in the end: the next call has to go out as much
        // earlier as its answer may take.
        let room = (PROPAGATION_DEADLINE - PROPAGATION_DEADLINE_AFTER_WAIT).min(within.times(0.4));
        let end = duration(PROPAGATION_DEADLINE_AFTER_WAIT);
        let (whole, watch, pauses) = match teller {
            Teller::Agent => {
                let agent = CallTimeouts {
                    late: LATE_AGENT,
                    pieces: SILENCE,
                    end,
                };
                (agent, agent, (PAUSE, LONGEST_AGENT))
            }
            Teller::Pushes => {
                let service = CallTimeouts {
                    late: SILENCE,
                    pieces: SILENCE,
                    end,
                };
                (
                    service,
                    service,
                    (PAUSE, LONGEST_PUSHED.min(within.times(0.25))),
                )
            }
            // Hanging up on a call that waits for its turn only wastes it. The first bound is what the fleet takes for a
            // call each.
            Teller::Poll => {
                let turn = duration(within.times(0.25).min(room));
                let round = valehatch_backoff::fleet_call_interval(site.settings.routers, CALLS_S)
                    .min(room);
                let whole = CallTimeouts {
                    late: turn,
                    pieces: turn,
                    end: turn,
                };
                (
                    whole,
                    CallTimeouts {
                        late: SILENCE.min(turn),
                        ..whole
                    },
                    (round.max(PAUSE), room),
                )
            }
        };
        Self {
            whole,
            watch,
            pauses,
            room,
        }
    }
}

/// Watches the list.
pub struct Watch {
    place: Arc<Place>,
    taker: Arc<Mutex<EndpointListStore>>,
    teller: Teller,
    clock: Clock,
    /// Gateways that ask the same service.
    fleet: Arc<AtomicU32>,
    terms: Terms,
    pace: Backoff,
    /// Called whenever discovery itself has confirmed the list.
    confirmed: Box<dyn Fn() + Send>,
    /// Called with all that is held whenever discovery itself has changed it.
    changed: Box<dyn Fn(EndpointListCache) + Send>,
}

/// What discovery has told, in a call from a version on or for the whole list.
struct Heard {
    list: List,
    from: Option<u64>,
    line: Option<Line>,
}

/// Nothing was heard: since when, and whether that was said.
#[derive(Default)]
struct Trouble {
    since: Option<Instant>,
    said: bool,
}

impl Trouble {
    /// Silence is said once it has lasted, all else at once; each trouble once.
    fn failed(&mut self, e: &io::Error) {
        let lasted = self.since.get_or_insert_with(Instant::now).elapsed();
        let silent = e.kind() == io::ErrorKind::TimedOut;
        if !self.said && (!silent || lasted >= SILENCE) {
            self.said = true;
            tracing::warn!("discovery: {e}; the list that is held goes on to hold");
        }
    }

    fn over(&mut self) {
        if std::mem::take(self).said {
            tracing::info!("discovery answers again");
        }
    }
}

const fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0.unsigned_abs())
}

impl Watch {
    /// `own`: what pushes lists is an agent on this machine.
    pub fn new(
        place: Arc<Place>,
        own: bool,
        site: Site,
        clock: Clock,
        events: Sender<Event>,
        fleet: Arc<AtomicU32>,
        seed: u64,
    ) -> Self {
        let teller = match site.settings.discovery_mode {
            DiscoveryMode::Poll => Teller::Poll,
            DiscoveryMode::Watch if own => Teller::Agent,
            DiscoveryMode::Watch => Teller::Pushes,
        };
        let terms = Terms::of(teller, &site);
        let pace = Backoff::new(terms.pauses.0, terms.pauses.1, seed);
        let (ids, book, confirmed_at, ahead) =
            (HashMap::new(), EndpointListCache::default(), None, None);
        let taker = Arc::new(Mutex::new(EndpointListStore {
            site,
            clock,
            events,
            ids,
            book,
            confirmed_at,
            ahead,
        }));
        let (confirmed, changed) = (Box::new(|| {}), Box::new(drop));
        Self {
            place,
            taker,
            teller,
            clock,
            fleet,
            terms,
            pace,
            confirmed,
            changed,
        }
    }

    /// What takes the lists in.
    pub fn taker(&self) -> Arc<Mutex<EndpointListStore>> {
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
    pub fn passing(mut self, changed: impl Fn(EndpointListCache) + Send + 'static) -> Self {
        self.changed = Box::new(changed);
        self
    }

    /// Takes the list as it was held before the last stop, then watches: from there on if the same discovery told it.
    pub fn resume(self, listed: Vec<DiscoveredEndpoint>, told: ListVersion) -> io::Result<()> {
        let rev = lock(&self.taker).take(
            told.source,
            List {
                rev: told.revision,
                all: true,
                targets: listed,
            },
        );
        let held = (told.source == self.place.address()).then_some((told.source, rev));
        crate::spawn("list", move || self.run(held))
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
        crate::spawn("list", move || self.run(held))
    }

    fn run(mut self, mut told: Option<(SocketAddr, u64)>) {
        let (mut out, mut line, mut trouble) = (vec![], None::<Line>, Trouble::default());
        if self.teller == Teller::Poll {
            let pause = self.pace.initial_pause();
            self.place.rest(self.place.address(), duration(pause));
        }
        loop {
            let address = self.place.address();
            line = line.filter(|l| l.leads_to(address));
            out.retain(|call: &Call| call.leads_to(address));
            // Versions belong to the address that told them: elsewhere the whole list is asked for first.
            let from = told.filter(|(at, _)| *at == address).map(|(_, rev)| rev);
            let (began, hold) = (Instant::now(), self.hold(trouble.since.is_some()));
            let heard = self
                .ask(&mut out, line.take(), address, from, hold)
                .and_then(|heard| {
                    line = heard.line;
                    // Nobody but a discovery that counts anew, or one that lags, tells less than it was asked from: which of
                    // the two it is its whole list tells, and that goes whatever its version.
                    told = None;
                    if let Some(from) = heard.from.filter(|from| heard.list.rev < *from) {
                        let rev = heard.list.rev;
                        return Err(io::Error::other(format!(
                            "version {rev} was told to one that has {from}"
                        )));
                    }
                    self.take(address, heard.list)
                        .map(|rev| told = Some((address, rev)))
                });
            match heard {
                Ok(()) => {
                    // What is still out was asked before: its answer would be an older one.
                    out.clear();
                    trouble.over();
                    self.pace.reset();
                    (self.confirmed)();
                }
                Err(_) if self.place.address() != address => self.pace.reset(),
                Err(e) => {
                    trouble.failed(&e);
                    self.rest(address, &e, began, from.map(|_| hold));
                }
            }
        }
    }

    /// How long a call may wait for news. In trouble a short wait, so that the next call is not held up for long either.
    fn hold(&self, trouble: bool) -> Duration {
        let fleet = self.fleet.load(Ordering::Relaxed);
        match self.teller {
            Teller::Agent => HOLD_AGENT,
            _ if trouble => duration(HOLD.0),
            _ => duration(valehatch_backoff::long_poll_wait(
                fleet, CALLS_S, HOLD.0, HOLD.1,
            )),
        }
    }

    /// Rests between a call that failed, which may have waited so long, and the next.
    fn rest(&mut self, address: SocketAddr, e: &io::Error, began: Instant, hold: Option<Duration>) {
        // An agent that is late has been waited for, and costs nothing.
        if self.teller == Teller::Agent && e.kind() == io::ErrorKind::TimedOut {
            return;
        }
        // What discovery had when this call went out is due by then, and what it had when the call failed by now.
        let room = duration(self.terms.room);
        let after_wait = hold.unwrap_or_default() + duration(PROPAGATION_DEADLINE_AFTER_WAIT) / 2;
        let until = began + room.max(after_wait);
        let room = until.saturating_duration_since(Instant::now()).min(room);
        let room = Span(i64::try_from(room.as_micros()).unwrap_or(i64::MAX));
        let pause = self.pace.next_pause_within(room);
        self.place.rest(address, duration(pause));
    }

    /// Takes what discovery has told: up to which version it has been followed.
    fn take(&self, address: SocketAddr, list: List) -> io::Result<u64> {
        let news = list.all || !list.targets.is_empty();
        let mut taker = lock(&self.taker);
        let Some(rev) = taker.told(address, list) else {
            return Err(io::Error::other(
                "an older version than the other process of this gateway was told",
            ));
        };
        taker.confirmed_at = Some(self.clock.now());
        let held = news.then(|| taker.book.clone());
        drop(taker);
        held.into_iter().for_each(&self.changed);
        Ok(rev)
    }

    /// Asks once more, beside the calls that are out, and waits for the first answer to any of them.
    fn ask(
        &self,
        out: &mut Vec<Call>,
        line: Option<Line>,
        address: SocketAddr,
        from: Option<u64>,
        hold: Duration,
    ) -> io::Result<Heard> {
        let line = line.map_or_else(|| Line::connect(address), Ok)?;
        let timeouts = if from.is_some() {
            self.terms.watch
        } else {
            self.terms.whole
        };
        out.push(Call::begin(&self.place, line, from, hold, timeouts)?);
        out.drain(..out.len().saturating_sub(OUT));
        let (call, Answer { body, keep }) = first(out)?;
        let list =
            serde_json::from_slice(&body).map_err(|e| io::Error::other(format!("no list: {e}")))?;
        Ok(Heard {
            list,
            from: call.from,
            line: keep.then(|| call.line()),
        })
    }
}

impl EndpointListStore {
    fn take(&mut self, from: SocketAddr, list: List) -> u64 {
        let version = ListVersion {
            source: from,
            revision: list.rev,
        };
        let scope = if list.all {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        self.book.apply(version, scope, &list.targets);
        // No news: the core need not be told of every call.
        if !list.all && list.targets.is_empty() {
            return list.rev;
        }
        // Names come and go all day: those that the list no longer holds are forgotten with it.
        let named: HashSet<&str> = list.targets.iter().map(|t| t.uid.as_str()).collect();
        self.ids
            .retain(|uid, _| !list.all || named.contains(uid.as_str()));
        let left = |t: &&DiscoveredEndpoint| t.state == "left";
        let gone: Vec<String> = list
            .targets
            .iter()
            .filter(left)
            .map(|t| t.uid.clone())
            .collect();
        let members = list
            .targets
            .into_iter()
            .filter_map(|t| self.member(t))
            .collect();
        self.ids.retain(|uid, _| !gone.contains(uid));
        let _ = self.events.send(Event::EndpointList {
            complete: list.all,
            endpoints: members,
        });
        list.rev
    }

    #[allow(clippy::cast_possible_truncation)]
    fn member(&mut self, target: DiscoveredEndpoint) -> Option<ListedEndpoint> {
        let state = match target.state.as_str() {
            "active" => EndpointState::Ready,
            "leaving" => EndpointState::Draining,
            "left" => EndpointState::Removed,
            other => {
                tracing::warn!("discovery: {} has the unknown state {other:?}", target.uid);
                return None;
            }
        };
        let name = Arc::from(target.uid.as_str());
        let place = |all: &[String], name: &str| {
            all.iter()
                .position(|n| n == name)
                .map_or(u8::MAX, |n| n as u8)
        };
        Some(ListedEndpoint {
            record: EndpointRecord {
                zone: ZoneId(place(&self.site.zones, &target.az)),
                kind: KindId(place(&self.site.kinds, &target.model)),
                endpoint: self.id(target.uid),
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
    fn id(&mut self, uid: String) -> EndpointId {
        if let Some(id) = self.ids.get(&uid) {
            return *id;
        }
        let mut id = endpoint_id(&uid);
        while self.ids.values().any(|known| *known == id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        self.ids.insert(uid, id);
        id
    }
}
