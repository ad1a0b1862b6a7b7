//! The Unix socket over which two processes that are one gateway meet: the listening socket goes along with the first word.
//! One thread takes the steps that `valehatch_hot_restart` says; each side is read by a thread of its own.

use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use rustix::io::retry_on_intr;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use valehatch_hot_restart::limits::OldProcessPhase;
use valehatch_hot_restart::messages::{self, HEADER_BYTES, HandoffMessage};
use valehatch_hot_restart::{
    HandoffAction, HandoffEvent, HandoffStage, HandoffStateMachine, ProcessLimits, ProcessStart,
};

/// How long the old process may take to hand everything over: its core is asked what it believes.
const HAND: Duration = Duration::from_millis(1_500);
/// How long who was told to ask again waits, and how long it goes on asking: an upgrade before it has ended by then.
const AGAIN: Duration = Duration::from_millis(100);
const ASKS: Duration = Duration::from_secs(5);
/// How often what is held is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// How long one side may take to take in a word.
const STUCK: Duration = Duration::from_millis(500);
/// Peers that are heard at once: one upgrade, and others that are told to ask again.
const PEERS: usize = 4;

/// What an old process handed over.
pub struct InheritedState {
    /// The socket on which both take connections; `None`: the old one was told to end and has given it back.
    pub listener: Option<TcpListener>,
    /// What it knows, as a snapshot.
    pub snapshot: Vec<u8>,
    line: UnixStream,
}

/// What came of asking.
pub enum HandoffOutcome {
    /// Nobody is there: no process listens, or its end left the path behind.
    Nobody,
    /// All that it has.
    Inherited(Box<InheritedState>),
    /// Another upgrade is under way and does not end.
    Busy,
    /// Somebody is there and hands nothing over: why.
    Silent(String, Option<UnixStream>),
}

/// Asks at a path for what the gateway of this name has.
pub fn ask(path: &Path, gateway: &str) -> HandoffOutcome {
    let until = Instant::now() + ASKS;
    loop {
        let line = match UnixStream::connect(path) {
            Ok(line) => line,
            Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                return HandoffOutcome::Nobody;
            }
            // A signal for this process: what it asks for is done once the start is through.
            Err(e) if e.kind() == ErrorKind::Interrupted && Instant::now() < until => continue,
            Err(e) => return HandoffOutcome::Silent(format!("{}: {e}", path.display()), None),
        };
        match handed(&line, gateway) {
            Ok(Some((listener, snapshot))) => {
                return HandoffOutcome::Inherited(Box::new(InheritedState {
                    listener,
                    snapshot,
                    line,
                }));
            }
            Ok(None) if Instant::now() < until => std::thread::sleep(AGAIN),
            Ok(None) => return HandoffOutcome::Busy,
            Err(e) => return HandoffOutcome::Silent(e.to_string(), Some(line)),
        }
    }
}

/// `None`: it is to be asked again.
fn handed(line: &UnixStream, gateway: &str) -> io::Result<Option<(Option<TcpListener>, Vec<u8>)>> {
    line.set_read_timeout(Some(HAND))?;
    line.set_write_timeout(Some(STUCK))?;
    (&*line).write_all(&messages::encode(&HandoffMessage::Request(
        gateway.to_owned(),
    )))?;
    // The socket comes along with the first byte of the word.
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut came = RecvAncillaryBuffer::new(&mut space);
    let mut head = [0; HEADER_BYTES];
    // A read with a time limit ends with any signal, one that asks for a look at the configuration too.
    let got = retry_on_intr(|| {
        rustix::net::recvmsg(
            line,
            &mut [IoSliceMut::new(&mut head)],
            &mut came,
            RecvFlags::CMSG_CLOEXEC,
        )
    })?;
    let mut sockets: Vec<OwnedFd> = vec![];
    for message in came.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            sockets.extend(fds);
        }
    }
    if got.bytes == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    (&*line).read_exact(&mut head[got.bytes..])?;
    match (body(line, head)?, sockets.pop()) {
        (HandoffMessage::State(snapshot), socket) => {
            Ok(Some((socket.map(TcpListener::from), snapshot)))
        }
        (HandoffMessage::Busy, _) => Ok(None),
        (other, _) => Err(invalid(format!("{other:?} where a socket was to come"))),
    }
}

fn invalid(what: String) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what)
}

fn body(from: &UnixStream, head: [u8; HEADER_BYTES]) -> io::Result<HandoffMessage> {
    let length = messages::decode_length(head).map_err(|e| invalid(e.to_string()))?;
    let mut bytes = vec![];
    if Read::take(from, length as u64).read_to_end(&mut bytes)? < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    messages::decode(&bytes).map_err(|e| invalid(e.to_string()))
}

fn hear(from: &UnixStream) -> io::Result<HandoffMessage> {
    let mut head = [0; HEADER_BYTES];
    (&*from).read_exact(&mut head)?;
    body(from, head)
}

/// What the process does when a step says so.
pub trait HandoffHandler: Send + 'static {
    /// What this process holds now.
    fn holds(&self) -> ProcessLimits;
    /// What it knows, as a snapshot; may take some milliseconds.
    fn snapshot(&self) -> Option<Vec<u8>>;
    /// It takes up no more than that, and divides what a fleet shares by so many processes for each gateway.
    fn share(&self, room: ProcessLimits, processes: u32);
    /// Discovery told the other process of a list: what that holds now.
    fn hear(&self, list: &[u8]);
    /// It takes no connections any more; `left`: what waits in its queue is taken by the new one, from the same socket.
    fn leave(&self, left: bool);
}

enum Event {
    Handoff(HandoffEvent),
    Came(u64, UnixStream),
    /// Discovery told this process of a list, or the other one.
    Told(Vec<u8>),
    Hear(Vec<u8>),
}

/// The upgrade as this process sees it.
pub struct Upgrade {
    pub path: PathBuf,
    pub gateway: String,
    /// The socket that is handed on; given back with a planned stop.
    pub listener: Option<TcpListener>,
    pub whole: ProcessLimits,
}

/// Tells the upgrade of a planned stop.
#[derive(Clone)]
pub struct HandoffHandle(Sender<Event>);

impl HandoffHandle {
    pub fn stop(&self) {
        let _ = self
            .0
            .try_send(Event::Handoff(HandoffEvent::ShutdownRequested));
    }

    /// Discovery told this process of a list: the other one is told what it holds now.
    pub fn pass(&self, list: Vec<u8>) {
        let _ = self.0.send(Event::Told(list));
    }
}

struct Thread {
    upgrade: Upgrade,
    hands: Box<dyn HandoffHandler>,
    steps: HandoffStateMachine,
    events: Sender<Event>,
    /// The process that handed over to this one, and the one at a time that this one has handed over to.
    old: Option<UnixStream>,
    new: Option<(u64, UnixStream)>,
    /// That one has the socket too.
    along: bool,
    listens: bool,
    /// What the log was told last.
    stage: Option<std::mem::Discriminant<HandoffStage>>,
}

impl Upgrade {
    /// Takes the steps from here on: this process serves, and can be asked by the next once this returns. `old` is the line
    /// to the old process, if there is one.
    ///
    /// # Errors
    /// There is no thread for it.
    pub fn start(
        self,
        old: Option<UnixStream>,
        hands: Box<dyn HandoffHandler>,
    ) -> io::Result<HandoffHandle> {
        let (events, inbox) = bounded(64);
        let start = if old.is_some() {
            ProcessStart::Successor
        } else {
            ProcessStart::Sole
        };
        let steps = HandoffStateMachine::new(self.whole, start);
        let tells = old.as_ref().map(UnixStream::try_clone).transpose()?;
        if let Some(old) = old {
            // It takes the path back if this process ends, so it is told first.
            old.set_read_timeout(None)?;
            old.set_write_timeout(Some(STUCK))?;
            let _ = (&old).write_all(&messages::encode(&HandoffMessage::Ready));
            let events = events.clone();
            crate::spawn("handover", move || {
                while let Ok(word) = hear(&old) {
                    let heard = match word {
                        HandoffMessage::EndpointList(list) => {
                            let _ = events.send(Event::Hear(list));
                            continue;
                        }
                        HandoffMessage::Usage(usage) => HandoffEvent::OldProcessReported {
                            usage,
                            phase: OldProcessPhase::Serving,
                        },
                        HandoffMessage::DrainingUsage(usage) => HandoffEvent::OldProcessReported {
                            usage,
                            phase: OldProcessPhase::Draining,
                        },
                        // One that hung hands everything over after all: too late.
                        _ => continue,
                    };
                    let _ = events.send(Event::Handoff(heard));
                }
                let _ = events.send(Event::Handoff(HandoffEvent::OldProcessGone));
            })?;
        }
        let stops = HandoffHandle(events.clone());
        let mut thread = Thread {
            upgrade: self,
            hands,
            steps,
            events,
            old: tells,
            new: None,
            along: false,
            listens: false,
            stage: None,
        };
        let mut out = vec![];
        thread.steps.start_serving(&mut out);
        thread.carry_out(&mut out);
        crate::spawn("handover", move || thread.run(&inbox))?;
        Ok(stops)
    }
}

impl Thread {
    fn run(mut self, inbox: &Receiver<Event>) {
        let mut out = vec![];
        loop {
            match inbox.recv_timeout(LOOK) {
                Ok(Event::Handoff(heard)) => {
                    match heard {
                        // What waits in its queue is nobody's if this keeps it open.
                        HandoffEvent::ShutdownRequested => self.upgrade.listener = None,
                        HandoffEvent::NewProcessGone(peer) => {
                            drop(self.new.take_if(|(new, _)| *new == peer))
                        }
                        HandoffEvent::OldProcessGone => self.old = None,
                        _ => {}
                    }
                    self.steps.handle(heard, &mut out);
                }
                Ok(Event::Came(peer, line)) => {
                    let heard = HandoffEvent::HandoffRequested(peer);
                    let before = self.new.replace((peer, line));
                    self.steps.handle(heard, &mut out);
                    if out.contains(&HandoffAction::RejectBusy(peer))
                        && let Some((_, line)) = std::mem::replace(&mut self.new, before)
                    {
                        let _ = (&line).write_all(&messages::encode(&HandoffMessage::Busy));
                    }
                }
                Ok(Event::Told(list)) => {
                    let word = messages::encode(&HandoffMessage::EndpointList(list));
                    let others = self.old.iter().chain(self.new.iter().map(|(_, line)| line));
                    others.for_each(|mut line| drop(line.write_all(&word)));
                }
                Ok(Event::Hear(list)) => self.hands.hear(&list),
                Err(RecvTimeoutError::Timeout) => self
                    .steps
                    .handle(HandoffEvent::UsageSampled(self.hands.holds()), &mut out),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.carry_out(&mut out);
        }
    }

    fn carry_out(&mut self, out: &mut Vec<HandoffAction>) {
        for does in std::mem::take(out) {
            match does {
                HandoffAction::HandOver(peer) => {
                    if let Err(e) = self.hand() {
                        tracing::warn!("upgrade: nothing could be handed over: {e}");
                        let _ = self
                            .events
                            .try_send(Event::Handoff(HandoffEvent::NewProcessGone(peer)));
                    }
                }
                HandoffAction::RejectBusy(_) => {
                    tracing::info!("upgrade: another one is told to ask again")
                }
                HandoffAction::ReportUsage { usage, phase, .. } => {
                    let word = match phase {
                        OldProcessPhase::Serving => HandoffMessage::Usage(usage),
                        OldProcessPhase::Draining => HandoffMessage::DrainingUsage(usage),
                    };
                    if let Some((_, line)) = &self.new {
                        let _ = (&*line).write_all(&messages::encode(&word));
                    }
                }
                HandoffAction::ApplyLimits { limits, processes } => {
                    let stage = std::mem::discriminant(&self.steps.stage());
                    if self.stage.replace(stage) != Some(stage) {
                        let (descriptors, mb) = (limits.descriptors, limits.bytes >> 20);
                        tracing::info!(
                            "upgrade: {processes} process(es), {descriptors} descriptors and {mb} MB here"
                        );
                    }
                    self.hands.share(limits, processes);
                }
                HandoffAction::StopAccepting => {
                    tracing::info!("upgrade: the new process takes the connections from here on");
                    self.hands.leave(self.along);
                }
                HandoffAction::ListenForSuccessor => {
                    if let Err(e) = self.own() {
                        tracing::warn!(
                            "upgrade: nobody can ask at {}: {e}",
                            self.upgrade.path.display()
                        );
                    }
                }
            }
        }
    }

    fn hand(&mut self) -> io::Result<()> {
        let Some((_, line)) = &self.new else {
            return Err(ErrorKind::NotConnected.into());
        };
        let snapshot = self.hands.snapshot().unwrap_or_default();
        let bytes = messages::encode(&HandoffMessage::State(snapshot));
        line.set_write_timeout(Some(STUCK))?;
        let sockets: Vec<_> = self.upgrade.listener.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut along = SendAncillaryBuffer::new(&mut space);
        if !sockets.is_empty() {
            along.push(SendAncillaryMessage::ScmRights(&sockets));
        }
        let sent = retry_on_intr(|| {
            rustix::net::sendmsg(
                line,
                &[IoSlice::new(&bytes)],
                &mut along,
                SendFlags::NOSIGNAL,
            )
        })?;
        (&*line).write_all(&bytes[sent..])?;
        self.along = !sockets.is_empty();
        let what = if sockets.is_empty() {
            "no socket any more"
        } else {
            "the socket"
        };
        tracing::info!("upgrade: handed {what} and {} bytes over", bytes.len());
        Ok(())
    }

    /// Is to be found at the path, in place of whoever was: listens once, under a name of its own, and links that.
    fn own(&mut self) -> io::Result<()> {
        let process = std::process::id();
        let (mine, link) = (
            self.named(&format!("{process}")),
            self.named(&format!("{process}-link")),
        );
        if !self.listens {
            let _ = std::fs::remove_file(&mine);
            let listener = UnixListener::bind(&mine)?;
            let (events, gateway) = (self.events.clone(), self.upgrade.gateway.clone());
            crate::spawn("handover", move || takes(&listener, &gateway, &events))?;
            self.listens = true;
        }
        let _ = std::fs::remove_file(&link);
        std::fs::hard_link(&mine, &link)?;
        std::fs::rename(&link, &self.upgrade.path)?;
        // Where the path was this one's already, nothing was renamed.
        let _ = std::fs::remove_file(&link);
        Ok(())
    }

    fn named(&self, end: &str) -> PathBuf {
        let mut name = self.upgrade.path.clone().into_os_string();
        name.push(format!(".{end}"));
        PathBuf::from(name)
    }
}

/// Takes those who ask, until another listens in its place.
fn takes(listener: &UnixListener, gateway: &str, events: &Sender<Event>) {
    let heard = std::sync::Arc::new(());
    for (peer, line) in (1..).zip(listener.incoming()) {
        let Ok(line) = line else {
            std::thread::sleep(AGAIN);
            continue;
        };
        if std::sync::Arc::strong_count(&heard) > PEERS {
            continue;
        }
        let (events, gateway, heard) = (
            events.clone(),
            gateway.to_owned(),
            std::sync::Arc::clone(&heard),
        );
        let began = crate::spawn("handover", move || {
            if let Err(e) = attend(peer, &line, &gateway, &events) {
                tracing::info!("upgrade: who asked has gone: {e}");
            }
            let _ = events.send(Event::Handoff(HandoffEvent::NewProcessGone(peer)));
            drop(heard);
        });
        if began.is_err() {
            std::thread::sleep(AGAIN);
        }
    }
}

fn attend(peer: u64, line: &UnixStream, gateway: &str, events: &Sender<Event>) -> io::Result<()> {
    line.set_read_timeout(Some(HAND))?;
    match hear(line)? {
        HandoffMessage::Request(name) if name == gateway => {}
        HandoffMessage::Request(name) => {
            return Err(invalid(format!("it is the gateway {name:?}")));
        }
        other => return Err(invalid(format!("{other:?} where it was to ask"))),
    }
    line.set_read_timeout(None)?;
    let closed = |_| io::Error::from(ErrorKind::BrokenPipe);
    events
        .send(Event::Came(peer, line.try_clone()?))
        .map_err(closed)?;
    loop {
        match hear(line)? {
            HandoffMessage::Ready => events
                .send(Event::Handoff(HandoffEvent::NewProcessReady(peer)))
                .map_err(closed)?,
            HandoffMessage::EndpointList(list) => events.send(Event::Hear(list)).map_err(closed)?,
            other => return Err(invalid(format!("{other:?} from the new process"))),
        }
    }
}

impl InheritedState {
    /// The socket, and the line to the old process for as long as that lives.
    #[must_use]
    pub fn parts(self) -> (Option<TcpListener>, UnixStream) {
        (self.listener, self.line)
    }
}
