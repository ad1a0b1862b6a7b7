//! Many requests on few connections to one node: a state machine without I/O, for protocols whose frames carry a stream
//! id (the Cassandra native protocol, section 2.2.1 of its version 4).
//!
//! It decides which connection (link) carries a job, when another link is opened, under which id a job goes, when an id
//! may be used again, when a link is looked after with a heartbeat or given up, and what the end of a link means for each
//! job on it. Whoever does the I/O tells it what happened and does what it asks for ([`MultiplexerAction`]).
//!
//! - **Ids** go round over the whole range of a link, so that one is used again as late as can be. The id of a job that was
//!   called off after its bytes had left is an orphan: it is not used until its answer has come.
//! - **Too many orphans** end the link: its node answers, but not what it was asked.
//! - **A link is suspect** when a job on it was called off and nothing has come since that job was sent. It gets a heartbeat
//!   at once and nothing new until something comes; if nothing does in time, it is lost.
//! - **Lost** means for each job on the link: what had not begun to leave never ran ([`AttemptFailure::Unsent`]), all else may have
//!   ([`AttemptFailure::Lost`]). Nothing is sent again here: that is for the decision module.
//! - **Waiting** for a link is bounded in time ([`Settings::patience`]), so that nothing is written to a node that was told
//!   to drain later than its grace allows.

#![forbid(unsafe_code)]

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

use valehatch_policy::{Span, Time};

/// A connection to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MultiplexedConnectionId(pub u64);

/// What is carried; whoever submits it chooses the number, and uses it again only when the job is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Ids of a link, from 0 on; 32,768 at most, since the sign marks events.
    pub ids: u16,
    /// Jobs that a link may carry at once, orphans included; below `ids`.
    pub most: usize,
    /// Jobs on each link from which on another is opened.
    pub crowded: usize,
    /// Links at once.
    pub links: usize,
    /// Orphans of a link that end it.
    pub orphans: usize,
    /// Jobs that may wait for a link; beyond them they end unsent at once.
    pub waiting: usize,
    /// How long a job may wait until its bytes leave.
    pub patience: Span,
    /// A link with jobs on it from which nothing has come for so long gets a heartbeat.
    pub quiet: Span,
    /// What a suspect link or one with a heartbeat out has to say something within.
    pub within: Span,
    /// A link that carries nothing is closed after so long.
    pub idle: Span,
}

impl Settings {
    /// What fits drivers' habits, for a node that may be silent for `idle` at most.
    #[must_use]
    pub const fn new(patience: Span, idle: Span) -> Self {
        Self {
            ids: 32_767,
            most: 1_024,
            crowded: 256,
            links: 4,
            orphans: 128,
            waiting: 4_096,
            patience,
            quiet: Span::from_millis(1_000),
            within: Span::from_millis(500),
            idle,
        }
    }

    fn check(&self) -> Result<(), String> {
        let fault = |what: &str| Err(format!("streams: {what}"));
        if self.ids == 0 || self.ids > 32_767 {
            return fault("ids must be from 1 to 32,767");
        }
        if self.most == 0 || self.most > usize::from(self.ids) {
            return fault("most must be from 1 to ids");
        }
        if self.links == 0 || self.crowded == 0 {
            return fault("links and crowded must be above 0");
        }
        if self.patience.0 <= 0 || self.quiet.0 <= 0 || self.within.0 <= 0 || self.idle.0 <= 0 {
            return fault("times must be above 0");
        }
        Ok(())
    }
}

/// How a job ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing of it has left: it never ran.
    Unsent,
    /// Its bytes had begun to leave: it may have run.
    Lost,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MultiplexerAction {
    /// Connect.
    Open(MultiplexedConnectionId),
    /// Queue the job's bytes on the link under this id; tell [`StreamMultiplexer::begun`] when they begin to leave.
    Send {
        /// On which link.
        link: MultiplexedConnectionId,
        /// Under which id.
        stream: i16,
        /// What.
        job: JobId,
    },
    /// Take these bytes out of the link's queue: they have not begun to leave.
    Unqueue {
        /// Of which link.
        link: MultiplexedConnectionId,
        /// Under which id.
        stream: i16,
    },
    /// Ask the node for a sign of life under this id.
    Beat {
        /// On which link.
        link: MultiplexedConnectionId,
        /// Under which id.
        stream: i16,
    },
    /// End the connection; nothing more is heard of it here.
    Close(MultiplexedConnectionId),
    /// The job is over.
    AttemptFailed(JobId, AttemptFailure),
}

/// Whose answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOwner {
    /// This job's.
    Job(JobId),
    /// One that nobody waits for any more, or a heartbeat's.
    Nobodys,
    /// One that was never asked for: the node is out of step, and the link must be given up ([`StreamMultiplexer::lost`]).
    Unasked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Slot {
    Job { job: JobId, sent: Time, begun: bool },
    Orphan,
    Beat,
}

#[derive(Debug)]
struct Link {
    ready: bool,
    slots: BTreeMap<i16, Slot>,
    orphans: usize,
    next: u16,
    heard: Time,
    used: Time,
    /// A heartbeat is out, since then; the link gets nothing new while it is `suspect`.
    beat: Option<Time>,
    suspect: bool,
}

impl Link {
    fn open(&self) -> bool {
        self.ready && !self.suspect
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Waiting,
    On(MultiplexedConnectionId, i16),
}

/// The connections to one node.
#[derive(Debug)]
pub struct StreamMultiplexer {
    settings: Settings,
    links: BTreeMap<MultiplexedConnectionId, Link>,
    jobs: BTreeMap<JobId, Place>,
    /// Those that wait for a link, oldest first, and until when.
    waiting: VecDeque<(JobId, Time)>,
    next: u64,
    ticked: Time,
}

impl StreamMultiplexer {
    /// Without connections yet.
    ///
    /// # Errors
    /// Which of the settings is out of its bounds.
    pub fn new(settings: Settings) -> Result<Self, String> {
        settings.check()?;
        let (links, jobs, waiting) = (BTreeMap::new(), BTreeMap::new(), VecDeque::new());
        Ok(Self {
            settings,
            links,
            jobs,
            waiting,
            next: 0,
            ticked: Time(0),
        })
    }

    /// Jobs that are not over, and links.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        (self.jobs.len(), self.links.len())
    }

    /// A job is to be carried.
    pub fn submit(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) {
        debug_assert!(!self.jobs.contains_key(&job));
        let best = self.best();
        let load = best.map_or(usize::MAX, |(_, load)| load);
        let opening = self.links.values().any(|l| !l.ready);
        if load >= self.settings.crowded && !opening && self.links.len() < self.settings.links {
            self.open(now, out);
        }
        match best.filter(|(_, load)| *load < self.settings.most) {
            Some((link, _)) => self.place(now, link, job, out),
            None if self.waiting.len() < self.settings.waiting => {
                self.jobs.insert(job, Place::Waiting);
                self.waiting.push_back((job, now + self.settings.patience));
            }
            None => out.push(MultiplexerAction::AttemptFailed(
                job,
                AttemptFailure::Unsent,
            )),
        }
    }

    /// The open link that carries the least, and how much.
    fn best(&self) -> Option<(MultiplexedConnectionId, usize)> {
        let open = self
            .links
            .iter()
            .filter(|(_, l)| l.open())
            .map(|(id, l)| (*id, l.slots.len()));
        open.min_by_key(|(_, load)| *load)
    }

    fn open(&mut self, now: Time, out: &mut Vec<MultiplexerAction>) {
        self.next += 1;
        let link = Link {
            ready: false,
            slots: BTreeMap::new(),
            orphans: 0,
            next: 0,
            heard: now,
            used: now,
            beat: None,
            suspect: false,
        };
        self.links.insert(MultiplexedConnectionId(self.next), link);
        out.push(MultiplexerAction::Open(MultiplexedConnectionId(self.next)));
    }

    /// A free id of a link, which it is put under.
    fn take(&mut self, now: Time, link: MultiplexedConnectionId, slot: Slot) -> Option<i16> {
        let ids = self.settings.ids;
        let on = self.links.get_mut(&link)?;
        // The sign marks events, so ids stay below 32,768; fewer than all are in use, so the search ends.
        for _ in 0..=ids {
            let id = i16::try_from(on.next).unwrap_or(0);
            on.next = (on.next + 1) % ids;
            if let Entry::Vacant(free) = on.slots.entry(id) {
                free.insert(slot);
                on.used = now;
                return Some(id);
            }
        }
        None
    }

    fn place(
        &mut self,
        now: Time,
        link: MultiplexedConnectionId,
        job: JobId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        match self.take(
            now,
            link,
            Slot::Job {
                job,
                sent: now,
                begun: false,
            },
        ) {
            Some(stream) => {
                self.jobs.insert(job, Place::On(link, stream));
                out.push(MultiplexerAction::Send { link, stream, job });
            }
            None => {
                self.jobs.remove(&job);
                out.push(MultiplexerAction::AttemptFailed(
                    job,
                    AttemptFailure::Unsent,
                ));
            }
        }
    }

    /// Those that wait go to links that have room.
    fn settle(&mut self, now: Time, out: &mut Vec<MultiplexerAction>) {
        while let Some((link, _)) = self.best().filter(|(_, load)| *load < self.settings.most) {
            let Some((job, _)) = self.waiting.pop_front() else {
                return;
            };
            self.place(now, link, job, out);
        }
    }

    /// A link is up and greeted. False if it is not wanted any more.
    pub fn opened(
        &mut self,
        now: Time,
        link: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) -> bool {
        let Some(on) = self.links.get_mut(&link) else {
            return false;
        };
        (on.ready, on.heard, on.used) = (true, now, now);
        self.settle(now, out);
        true
    }

    /// The bytes of what stands under this id begin to leave.
    pub fn begun(&mut self, link: MultiplexedConnectionId, stream: i16) {
        let slot = self
            .links
            .get_mut(&link)
            .and_then(|l| l.slots.get_mut(&stream));
        if let Some(Slot::Job { begun, .. }) = slot {
            *begun = true;
        }
    }

    /// Something has come over a link.
    pub fn heard(
        &mut self,
        now: Time,
        link: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Some(on) = self.links.get_mut(&link) else {
            return;
        };
        on.heard = now;
        on.beat = None;
        on.suspect = false;
        if !self.waiting.is_empty() {
            self.settle(now, out);
        }
    }

    /// An answer under an id. A job stays until it is [`done`](Self::done) or goes on ([`again`](Self::again)).
    pub fn answer(&mut self, now: Time, link: MultiplexedConnectionId, stream: i16) -> FrameOwner {
        let Some(on) = self.links.get_mut(&link) else {
            return FrameOwner::Nobodys;
        };
        on.used = now;
        match on.slots.remove(&stream) {
            Some(Slot::Job { job, .. }) => {
                // Not on the link any more, and not yet over.
                self.jobs.insert(job, Place::On(link, -1));
                FrameOwner::Job(job)
            }
            Some(Slot::Orphan) => {
                on.orphans -= 1;
                FrameOwner::Nobodys
            }
            Some(Slot::Beat) => FrameOwner::Nobodys,
            None => FrameOwner::Unasked,
        }
    }

    /// A job that was answered is over.
    pub fn done(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) {
        self.jobs.remove(&job);
        if !self.waiting.is_empty() {
            self.settle(now, out);
        }
    }

    /// A job that was answered has more to ask on the same link; false if that is gone, and the job with it.
    pub fn again(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) -> bool {
        let Some(Place::On(link, -1)) = self.jobs.get(&job).copied() else {
            return false;
        };
        if !self.links.contains_key(&link) {
            self.jobs.remove(&job);
            return false;
        }
        self.place(now, link, job, out);
        self.jobs.contains_key(&job)
    }

    /// A job is called off: nothing is reported of it any more.
    pub fn cancel(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) {
        match self.jobs.remove(&job) {
            None | Some(Place::On(_, -1)) => {}
            Some(Place::Waiting) => self.waiting.retain(|(waits, _)| *waits != job),
            Some(Place::On(link, stream)) => self.orphan(now, link, stream, out),
        }
    }

    fn orphan(
        &mut self,
        now: Time,
        link: MultiplexedConnectionId,
        stream: i16,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Some(on) = self.links.get_mut(&link) else {
            return;
        };
        match on.slots.get(&stream).copied() {
            Some(Slot::Job { begun: false, .. }) => {
                on.slots.remove(&stream);
                out.push(MultiplexerAction::Unqueue { link, stream });
            }
            Some(Slot::Job { sent, .. }) => {
                on.slots.insert(stream, Slot::Orphan);
                on.orphans += 1;
                if on.orphans > self.settings.orphans {
                    return self.give_up(now, link, out);
                }
                if on.heard <= sent && !on.suspect {
                    on.suspect = true;
                    self.beat(now, link, out);
                }
            }
            _ => {}
        }
    }

    fn beat(&mut self, now: Time, link: MultiplexedConnectionId, out: &mut Vec<MultiplexerAction>) {
        if self.links.get(&link).is_none_or(|on| on.beat.is_some()) {
            return;
        }
        if let Some(stream) = self.take(now, link, Slot::Beat) {
            out.push(MultiplexerAction::Beat { link, stream });
        }
        self.links
            .get_mut(&link)
            .into_iter()
            .for_each(|on| on.beat = Some(now));
    }

    fn give_up(
        &mut self,
        now: Time,
        link: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        out.push(MultiplexerAction::Close(link));
        self.lost(now, link, out);
    }

    /// A link broke, or could not be opened.
    pub fn lost(
        &mut self,
        now: Time,
        link: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Some(on) = self.links.remove(&link) else {
            return;
        };
        for slot in on.slots.into_values() {
            if let Slot::Job { job, begun, .. } = slot {
                self.jobs.remove(&job);
                out.push(MultiplexerAction::AttemptFailed(
                    job,
                    if begun {
                        AttemptFailure::Lost
                    } else {
                        AttemptFailure::Unsent
                    },
                ));
            }
        }
        // Jobs whose answer is being looked at go on to be reported by whoever looks.
        if self.links.is_empty() && !on.ready {
            // Nobody answers there: those that wait need not wait for more of the same.
            for (job, _) in std::mem::take(&mut self.waiting) {
                self.jobs.remove(&job);
                out.push(MultiplexerAction::AttemptFailed(
                    job,
                    AttemptFailure::Unsent,
                ));
            }
        } else if on.ready && !self.waiting.is_empty() && self.links.values().all(|l| l.ready) {
            // Not after one that could not be opened: that would be tried again at once, and again.
            self.open(now, out);
        }
    }

    /// Time has passed. To be called every [`Settings::within`] / 10 or so.
    pub fn tick(&mut self, now: Time, out: &mut Vec<MultiplexerAction>) {
        if now - self.ticked < Span(self.settings.within.0 / 16) {
            return;
        }
        self.ticked = now;
        while let Some((job, _)) = self
            .waiting
            .front()
            .copied()
            .filter(|(_, until)| *until <= now)
        {
            self.waiting.pop_front();
            self.jobs.remove(&job);
            out.push(MultiplexerAction::AttemptFailed(
                job,
                AttemptFailure::Unsent,
            ));
        }
        for link in self.links.keys().copied().collect::<Vec<_>>() {
            self.look_after(now, link, out);
        }
    }

    fn look_after(
        &mut self,
        now: Time,
        link: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Settings {
            patience,
            quiet,
            within,
            idle,
            ..
        } = self.settings;
        let Some(on) = self.links.get_mut(&link).filter(|l| l.ready) else {
            return;
        };
        // What has not begun to leave by now must not leave any more.
        let old =
            |s: &Slot| matches!(s, Slot::Job { sent, begun: false, .. } if *sent + patience <= now);
        let late: Vec<i16> = on
            .slots
            .iter()
            .filter(|(_, s)| old(s))
            .map(|(id, _)| *id)
            .collect();
        for stream in late {
            if let Some(Slot::Job { job, .. }) = on.slots.remove(&stream) {
                self.jobs.remove(&job);
                out.extend([
                    MultiplexerAction::Unqueue { link, stream },
                    MultiplexerAction::AttemptFailed(job, AttemptFailure::Unsent),
                ]);
            }
        }
        if on.beat.is_some_and(|at| at + within <= now) {
            return self.give_up(now, link, out);
        }
        if on.slots.is_empty() {
            if on.used + idle <= now {
                self.give_up(now, link, out);
            }
        } else if on.beat.is_none() && on.heard.max(on.used) + quiet <= now {
            self.beat(now, link, out);
        }
    }

    /// What must hold after every step.
    ///
    /// # Errors
    /// What does not hold.
    pub fn check(&self) -> Result<(), String> {
        for (id, link) in &self.links {
            let orphans = link.slots.values().filter(|s| **s == Slot::Orphan).count();
            if orphans != link.orphans || orphans > self.settings.orphans {
                return Err(format!(
                    "{id:?}: {orphans} orphans, {} counted",
                    link.orphans
                ));
            }
            // A heartbeat and what a job asks besides may come on top.
            if link.slots.len() > usize::from(self.settings.ids) {
                return Err(format!("{id:?}: {} ids in use", link.slots.len()));
            }
            for (stream, slot) in &link.slots {
                if let Slot::Job { job, .. } = slot
                    && self.jobs.get(job) != Some(&Place::On(*id, *stream))
                {
                    return Err(format!(
                        "{job:?} stands under {stream} of {id:?} and elsewhere"
                    ));
                }
            }
        }
        let waiting = self.jobs.values().filter(|p| **p == Place::Waiting).count();
        if waiting != self.waiting.len() || waiting > self.settings.waiting {
            return Err(format!(
                "{waiting} wait, {} in the queue",
                self.waiting.len()
            ));
        }
        if self.links.len() > self.settings.links {
            return Err(format!("{} links", self.links.len()));
        }
        Ok(())
    }
}
