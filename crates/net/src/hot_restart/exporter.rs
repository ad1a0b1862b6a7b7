//! The serving process's side of a hot restart: hands over to its successor, and shares the
//! gateway's limits with its predecessor and its successor while they run.
//!
//! One thread carries out the state machine's actions; it alone writes to the connections to both.
//! Further threads read from the predecessor, accept successors, and read from each of them.

use std::fs;
use std::io::{self, ErrorKind, Write};
use std::mem::{Discriminant, discriminant};
use std::net::TcpListener;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use valehatch_hot_restart::limits::OldProcessPhase;
use valehatch_hot_restart::messages::{self, HandoffMessage};
use valehatch_hot_restart::{
    HandoffAction, HandoffEvent, HandoffStage, HandoffStateMachine, ProcessLimits, ProcessStart,
};

use super::request_names::NameOutbox;
use super::socket::{invalid_data, receive, send, send_with_listener};
use super::{HANDOFF_TIMEOUT, HandoffHandler, RETRY_INTERVAL, WRITE_TIMEOUT};
use crate::clients::BacklogOwner;
use crate::spawn;

/// How often this process's usage is reported to the state machine.
const USAGE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of successors that are read from at once: one, and others that are asked to
/// retry.
const MAX_SUCCESSORS: usize = 4;
/// Maximum number of events that wait for the thread.
const EVENT_QUEUE: usize = 64;

enum ExporterEvent {
    StateMachine(HandoffEvent),
    SuccessorConnected(Successor),
    /// This process has received an endpoint list from discovery.
    ListDiscovered(Vec<u8>),
    /// The other process has forwarded an endpoint list.
    ListForwarded(Vec<u8>),
    /// This process sends requests with these names.
    RequestsSent(Vec<Arc<str>>),
    /// The other process sends requests with these names.
    PeerRequestsSent(Vec<String>),
}

struct Successor {
    peer: u64,
    connection: UnixStream,
    /// Whether it serves, and so reads what it is sent.
    ready: bool,
    /// Names of requests that it has not been sent yet.
    names: NameOutbox,
}

struct Predecessor {
    connection: UnixStream,
    /// Names of requests that it has not been sent yet.
    names: NameOutbox,
}

/// The names that could not be passed on, since too many events wait.
pub struct NamesNotShared(pub Vec<Arc<str>>);

/// A process's part in hot restarts: its settings and what it hands over.
pub struct HotRestart {
    /// Path of the Unix socket at which the processes of the gateway find each other.
    pub path: PathBuf,
    /// The gateway's name; handoff requests for another name are refused.
    pub gateway: String,
    /// The listening socket, which is handed over to a successor, or closed on a planned shutdown.
    pub listener: Option<TcpListener>,
    /// The limits of both processes together.
    pub total_limits: ProcessLimits,
}

/// Sends events to a running [`HotRestart`].
#[derive(Clone)]
pub struct HandoffHandle(Sender<ExporterEvent>);

impl HandoffHandle {
    /// Reports that a planned shutdown has begun. Never blocks.
    pub fn stop(&self) {
        let stop = ExporterEvent::StateMachine(HandoffEvent::ShutdownRequested);
        let _ = self.0.try_send(stop);
    }

    /// Forwards an encoded endpoint list from discovery to the other process. Blocks while the
    /// queue is full.
    pub fn forward_list(&self, list: Vec<u8>) {
        let _ = self.0.send(ExporterEvent::ListDiscovered(list));
    }

    /// Passes the names of requests that this process sends to the other process. Never blocks.
    ///
    /// # Errors
    /// Returns the names if the queue is full.
    pub fn share_request_names(&self, names: Vec<Arc<str>>) -> Result<(), NamesNotShared> {
        match self.0.try_send(ExporterEvent::RequestsSent(names)) {
            Err(TrySendError::Full(ExporterEvent::RequestsSent(names))) => {
                Err(NamesNotShared(names))
            }
            _ => Ok(()),
        }
    }
}

struct Exporter {
    restart: HotRestart,
    handler: Box<dyn HandoffHandler>,
    state_machine: HandoffStateMachine,
    events: Sender<ExporterEvent>,
    predecessor: Option<Predecessor>,
    successor: Option<Successor>,
    /// The process that accepts the listening socket's backlog once this process stops accepting.
    backlog: BacklogOwner,
    accepts_successors: bool,
    /// The stage that was logged last.
    logged_stage: Option<Discriminant<HandoffStage>>,
}

impl HotRestart {
    /// Starts the threads. When this function returns, the process serves, and a successor can find
    /// it. `predecessor` is the connection to the old process, if there is one; the old process is
    /// notified that this one is ready.
    ///
    /// # Errors
    /// Returns an error if no thread or descriptor is available.
    pub fn start(
        self,
        predecessor: Option<UnixStream>,
        handler: Box<dyn HandoffHandler>,
    ) -> io::Result<HandoffHandle> {
        let (events, inbox) = bounded(EVENT_QUEUE);
        let start = if predecessor.is_some() {
            ProcessStart::Successor
        } else {
            ProcessStart::Sole
        };
        let state_machine = HandoffStateMachine::new(self.total_limits, start);
        let writer = predecessor
            .as_ref()
            .map(UnixStream::try_clone)
            .transpose()?;
        if let Some(predecessor) = predecessor {
            start_reading_predecessor(predecessor, events.clone())?;
        }
        let handle = HandoffHandle(events.clone());
        let mut exporter = Exporter {
            restart: self,
            handler,
            state_machine,
            events,
            predecessor: writer.map(|connection| Predecessor {
                connection,
                names: NameOutbox::default(),
            }),
            successor: None,
            backlog: BacklogOwner::ThisProcess,
            accepts_successors: false,
            logged_stage: None,
        };
        let mut actions = vec![];
        exporter.state_machine.start_serving(&mut actions);
        exporter.execute(&mut actions);
        spawn("hot restart", move || exporter.run(&inbox))?;
        Ok(handle)
    }
}

/// Notifies the predecessor that this process is ready, and reads its messages from then on.
fn start_reading_predecessor(
    predecessor: UnixStream,
    events: Sender<ExporterEvent>,
) -> io::Result<()> {
    predecessor.set_read_timeout(None)?;
    predecessor.set_write_timeout(Some(WRITE_TIMEOUT))?;
    // Sent before this process takes over the path: the predecessor takes it back if this process
    // ends.
    let _ = send(&predecessor, &HandoffMessage::Ready);
    spawn("hot restart", move || {
        while let Ok(message) = receive(&predecessor) {
            let event = match message {
                HandoffMessage::EndpointList(list) => ExporterEvent::ListForwarded(list),
                HandoffMessage::RequestNames(names) => ExporterEvent::PeerRequestsSent(names),
                HandoffMessage::Usage(usage) => {
                    ExporterEvent::StateMachine(HandoffEvent::OldProcessReported {
                        usage,
                        phase: OldProcessPhase::Serving,
                    })
                }
                HandoffMessage::DrainingUsage(usage) => {
                    ExporterEvent::StateMachine(HandoffEvent::OldProcessReported {
                        usage,
                        phase: OldProcessPhase::Draining,
                    })
                }
                // A handoff by a predecessor that had hung is too late.
                _ => continue,
            };
            let _ = events.send(event);
        }
        let _ = events.send(ExporterEvent::StateMachine(HandoffEvent::OldProcessGone));
    })
}

impl Exporter {
    fn run(mut self, inbox: &Receiver<ExporterEvent>) {
        let mut actions = vec![];
        loop {
            match inbox.recv_timeout(USAGE_INTERVAL) {
                Ok(event) => self.on_event(event, &mut actions),
                Err(RecvTimeoutError::Timeout) => {
                    self.flush_names();
                    let usage = self.handler.usage();
                    self.state_machine
                        .handle(HandoffEvent::UsageSampled(usage), &mut actions);
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.execute(&mut actions);
        }
    }

    fn on_event(&mut self, event: ExporterEvent, actions: &mut Vec<HandoffAction>) {
        match event {
            ExporterEvent::StateMachine(event) => {
                match event {
                    // If this process kept the listening socket open, connections in its backlog
                    // would never be accepted.
                    HandoffEvent::ShutdownRequested => self.restart.listener = None,
                    HandoffEvent::NewProcessGone(peer) => {
                        drop(self.successor.take_if(|successor| successor.peer == peer));
                    }
                    HandoffEvent::OldProcessGone => self.predecessor = None,
                    HandoffEvent::NewProcessReady(peer) => self.on_successor_ready(peer),
                    _ => {}
                }
                self.state_machine.handle(event, actions);
            }
            ExporterEvent::SuccessorConnected(successor) => {
                self.on_successor(successor, actions);
            }
            ExporterEvent::ListDiscovered(list) => self.forward_list(list),
            ExporterEvent::ListForwarded(list) => self.handler.on_list_forwarded(&list),
            ExporterEvent::RequestsSent(names) => self.share_names(&names),
            ExporterEvent::PeerRequestsSent(names) => self.handler.on_peer_requests(names),
        }
    }

    fn on_successor(&mut self, successor: Successor, actions: &mut Vec<HandoffAction>) {
        let peer = successor.peer;
        let current = self.successor.replace(successor);
        self.state_machine
            .handle(HandoffEvent::HandoffRequested(peer), actions);
        if !actions.contains(&HandoffAction::RejectBusy(peer)) {
            return;
        }
        if let Some(rejected) = std::mem::replace(&mut self.successor, current) {
            let _ = send(&rejected.connection, &HandoffMessage::Busy);
        }
    }

    fn forward_list(&self, list: Vec<u8>) {
        let message = messages::encode(&HandoffMessage::EndpointList(list));
        let predecessor = self.predecessor.as_ref().map(|p| &p.connection);
        let successor = self.successor.as_ref().map(|s| &s.connection);
        for mut peer in predecessor.into_iter().chain(successor) {
            let _ = peer.write_all(&message);
        }
    }

    fn on_successor_ready(&mut self, peer: u64) {
        if let Some(successor) = self.successor.as_mut().filter(|s| s.peer == peer) {
            successor.ready = true;
        }
        self.flush_names();
    }

    fn share_names(&mut self, names: &[Arc<str>]) {
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.names.add(names);
        }
        if let Some(successor) = &mut self.successor {
            successor.names.add(names);
        }
        self.flush_names();
    }

    /// Sends the names that wait. A connection that has failed is noticed by the thread that reads
    /// from it.
    fn flush_names(&mut self) {
        if let Some(Predecessor { connection, names }) = &mut self.predecessor {
            let _ = names.flush(connection);
        }
        if let Some(Successor {
            connection,
            ready: true,
            names,
            ..
        }) = &mut self.successor
        {
            let _ = names.flush(connection);
        }
    }

    fn execute(&mut self, actions: &mut Vec<HandoffAction>) {
        for action in std::mem::take(actions) {
            match action {
                HandoffAction::HandOver(peer) => self.hand_over_or_give_up(peer),
                HandoffAction::RejectBusy(_) => {
                    tracing::info!("rejected a second hot restart, it may retry");
                }
                HandoffAction::ReportUsage { usage, phase, .. } => {
                    let message = match phase {
                        OldProcessPhase::Serving => HandoffMessage::Usage(usage),
                        OldProcessPhase::Draining => HandoffMessage::DrainingUsage(usage),
                    };
                    if let Some(successor) = &self.successor {
                        let _ = send(&successor.connection, &message);
                    }
                }
                HandoffAction::ApplyLimits { limits, processes } => {
                    self.log_limits(limits, processes);
                    self.handler.set_limits(limits, processes);
                }
                HandoffAction::StopAccepting => {
                    tracing::info!("the new process accepts connections from now on");
                    self.handler.stop_accepting(self.backlog);
                }
                HandoffAction::ListenForSuccessor => {
                    if let Err(e) = self.take_over_path() {
                        let path = self.restart.path.display();
                        tracing::warn!(error = %e, %path, "cannot be found by a new process");
                    }
                }
            }
        }
    }

    /// Logs the limits once per stage; they change with the usage every few milliseconds.
    fn log_limits(&mut self, limits: ProcessLimits, processes: u32) {
        let stage = discriminant(&self.state_machine.stage());
        if self.logged_stage.replace(stage) == Some(stage) {
            return;
        }
        tracing::info!(
            processes,
            descriptors = limits.descriptors,
            memory_mb = limits.bytes >> 20,
            "hot restart limits"
        );
    }

    fn hand_over_or_give_up(&mut self, peer: u64) {
        if let Err(e) = self.hand_over() {
            tracing::warn!(error = %e, "handoff failed");
            let gone = ExporterEvent::StateMachine(HandoffEvent::NewProcessGone(peer));
            let _ = self.events.try_send(gone);
        }
    }

    /// Sends the snapshot to the successor, together with the listening socket unless it is closed.
    fn hand_over(&mut self) -> io::Result<()> {
        let Some(successor) = &self.successor else {
            return Err(ErrorKind::NotConnected.into());
        };
        let snapshot = self.handler.snapshot().unwrap_or_default();
        let message = HandoffMessage::State(snapshot);
        let listener = self.restart.listener.as_ref();
        let bytes = send_with_listener(&successor.connection, &message, listener)?;
        let with_socket = listener.is_some();
        self.backlog = if with_socket {
            BacklogOwner::OtherProcess
        } else {
            BacklogOwner::ThisProcess
        };
        tracing::info!(with_socket, bytes, "handed over to the new process");
        Ok(())
    }

    /// Binds a socket with a name of its own on the first call, and links the path to it in place
    /// of the predecessor's.
    fn take_over_path(&mut self) -> io::Result<()> {
        let process = std::process::id();
        let own = self.path_with_suffix(&format!("{process}"));
        let link = self.path_with_suffix(&format!("{process}-link"));
        if !self.accepts_successors {
            let _ = fs::remove_file(&own);
            let listener = UnixListener::bind(&own)?;
            let events = self.events.clone();
            let gateway = self.restart.gateway.clone();
            spawn("hot restart", move || {
                accept_successors(&listener, &gateway, &events);
            })?;
            self.accepts_successors = true;
        }
        let _ = fs::remove_file(&link);
        fs::hard_link(&own, &link)?;
        fs::rename(&link, &self.restart.path)?;
        // A rename between two links to the same file does nothing and leaves both.
        let _ = fs::remove_file(&link);
        Ok(())
    }

    fn path_with_suffix(&self, suffix: &str) -> PathBuf {
        let mut path = self.restart.path.clone().into_os_string();
        path.push(format!(".{suffix}"));
        PathBuf::from(path)
    }
}

/// Accepts successors until the process exits.
fn accept_successors(listener: &UnixListener, gateway: &str, events: &Sender<ExporterEvent>) {
    // Each thread that reads from a successor holds one reference.
    let readers = Arc::new(());
    for (peer, connection) in (1..).zip(listener.incoming()) {
        let Ok(connection) = connection else {
            sleep(RETRY_INTERVAL);
            continue;
        };
        if Arc::strong_count(&readers) > MAX_SUCCESSORS {
            continue;
        }
        let reader = Arc::clone(&readers);
        let events = events.clone();
        let gateway = gateway.to_owned();
        let started = spawn("hot restart", move || {
            if let Err(e) = read_successor(peer, &connection, &gateway, &events) {
                tracing::info!(error = %e, "hot restart peer disconnected");
            }
            let gone = ExporterEvent::StateMachine(HandoffEvent::NewProcessGone(peer));
            let _ = events.send(gone);
            drop(reader);
        });
        if started.is_err() {
            sleep(RETRY_INTERVAL);
        }
    }
}

/// Reads a successor's messages until it disconnects or sends an unexpected one.
fn read_successor(
    peer: u64,
    connection: &UnixStream,
    gateway: &str,
    events: &Sender<ExporterEvent>,
) -> io::Result<()> {
    connection.set_read_timeout(Some(HANDOFF_TIMEOUT))?;
    match receive(connection)? {
        HandoffMessage::Request(name) if name == gateway => {}
        HandoffMessage::Request(name) => {
            return Err(invalid_data(format!("the request is for gateway {name:?}")));
        }
        other => {
            return Err(invalid_data(format!(
                "received {other:?} instead of a request"
            )));
        }
    }
    connection.set_read_timeout(None)?;
    let send_event = |event| {
        events
            .send(event)
            .map_err(|_| io::Error::from(ErrorKind::BrokenPipe))
    };
    send_event(ExporterEvent::SuccessorConnected(Successor {
        peer,
        connection: connection.try_clone()?,
        ready: false,
        names: NameOutbox::default(),
    }))?;
    loop {
        match receive(connection)? {
            HandoffMessage::Ready => {
                send_event(ExporterEvent::StateMachine(HandoffEvent::NewProcessReady(
                    peer,
                )))?;
            }
            HandoffMessage::EndpointList(list) => send_event(ExporterEvent::ListForwarded(list))?,
            HandoffMessage::RequestNames(names) => {
                send_event(ExporterEvent::PeerRequestsSent(names))?;
            }
            other => return Err(invalid_data(format!("unexpected message {other:?}"))),
        }
    }
}
