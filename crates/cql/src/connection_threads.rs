//! The threads of a connection. One connects, does the handshake and reads until the connection
//! ends. A second one writes while the endpoint is slow to take what is queued. Both may wait for
//! the endpoint and for the core's queue.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use valehatch_core::{Event, UpstreamReply};
use valehatch_net::lock;
use valehatch_policy::Time;
use valehatch_stream_multiplexing::{
    AttemptFailure, FrameOwner, JobId, MultiplexedConnectionId, MultiplexerAction,
};

use crate::connection::{CHUNK_SIZE, FrameRemainder};
use crate::endpoint::{Endpoint, EndpointState, attempt_ended, attempt_failed};
use crate::exchange::{NextStep, StartupError, check_startup_response};
use crate::frame::{Direction, Frame, FrameError, MAX_ENDPOINT_BODY};
use crate::opcodes::opcode;
use crate::pool::MAX_RESPONSE_PAUSE;
use crate::requests::startup;

/// How long a read waits before the thread looks at the time.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// How long an endpoint may take nothing of what is written to it.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// What is left for the handshake at least: a timeout of zero would mean none.
const MIN_HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1);
/// A receive buffer that is larger, in bytes, is freed once it is empty: one large response must
/// not keep its memory.
const MAX_IDLE_BUFFER: usize = 4 * CHUNK_SIZE;

/// Whether a connection is of further use.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionStatus {
    Usable,
    Failed,
}

impl Endpoint {
    /// A connection's thread.
    pub(crate) fn run_connection(self: &Arc<Self>, connection: MultiplexedConnectionId) {
        let established = self.establish(connection);
        if let Ok(socket) = &established
            && self.on_opened(connection)
        {
            self.read_responses(connection, socket);
        }
        let mut events = vec![];
        self.lose(&mut lock(&self.state), connection, &mut events);
        // Jobs that waited for it may have been given another connection.
        self.flush(&mut events);
        self.send_events(events);
    }

    /// Sends what waited for the connection. Returns false if it is not wanted any more.
    fn on_opened(self: &Arc<Self>, connection: MultiplexedConnectionId) -> bool {
        let mut events = vec![];
        let mut is_wanted = false;
        self.update(&mut events, |state, actions| {
            let now = self.context.clock.now();
            is_wanted = state
                .multiplexer
                .connection_opened(now, connection, actions);
        });
        self.flush(&mut events);
        self.send_events(events);
        is_wanted
    }

    /// Waits for the core's queue.
    fn send_events(&self, events: Vec<Event>) {
        for event in events {
            // Fails only once the core has ended.
            drop(self.context.events.send(event));
        }
    }

    /// Connects and does the handshake, within one timeout for both.
    fn establish(&self, connection: MultiplexedConnectionId) -> io::Result<Arc<TcpStream>> {
        let address = self.address.ok_or(ErrorKind::InvalidInput)?;
        let timeout = self.context.connect_timeout;
        let started_at = self.context.clock.now();
        let socket = TcpStream::connect_timeout(&address, timeout)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let elapsed = self.context.clock.now() - started_at;
        let remaining = timeout.saturating_sub(Duration::from_micros(elapsed.0.unsigned_abs()));
        socket.set_read_timeout(Some(remaining.max(MIN_HANDSHAKE_TIMEOUT)))?;
        handshake(&socket)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let socket = Arc::new(socket);
        // Only now may other threads write to it.
        let mut state = lock(&self.state);
        let connection = state
            .connections
            .get_mut(&connection)
            .ok_or(ErrorKind::NotConnected)?;
        connection.socket = Some(Arc::clone(&socket));
        Ok(socket)
    }

    /// Reads responses until the connection ends or fails.
    fn read_responses(
        self: &Arc<Self>,
        connection: MultiplexedConnectionId,
        mut socket: &TcpStream,
    ) {
        let mut buffer = vec![];
        let mut chunk = vec![0; CHUNK_SIZE];
        let mut received_at = self.context.clock.now();
        loop {
            let received = socket.read(&mut chunk);
            let now = self.context.clock.now();
            let mut events = vec![];
            let status = match received {
                Ok(0) => return,
                Ok(length) => {
                    received_at = now;
                    buffer.extend_from_slice(&chunk[..length]);
                    self.on_received(connection, now, &mut buffer, &mut events)
                }
                Err(e) if is_temporary(&e) => {
                    if buffer.is_empty() || received_at + MAX_RESPONSE_PAUSE > now {
                        ConnectionStatus::Usable
                    } else {
                        ConnectionStatus::Failed
                    }
                }
                Err(_) => ConnectionStatus::Failed,
            };
            self.update(&mut events, |state, actions| {
                state.multiplexer.tick(now, actions);
            });
            if status == ConnectionStatus::Failed {
                // Before the core gets the events: what it sends next must not go out on a
                // connection that is about to end.
                self.lose(&mut lock(&self.state), connection, &mut events);
            }
            self.flush(&mut events);
            self.send_events(events);
            if status == ConnectionStatus::Failed {
                return;
            }
        }
    }

    /// Handles the complete frames in the receive buffer and removes them.
    fn on_received(
        self: &Arc<Self>,
        connection: MultiplexedConnectionId,
        now: Time,
        buffer: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> ConnectionStatus {
        self.update(events, |state, actions| {
            state.multiplexer.bytes_received(now, connection, actions);
        });
        let mut parsed = 0;
        let mut status = ConnectionStatus::Usable;
        while status == ConnectionStatus::Usable {
            match Frame::parse_response(&buffer[parsed..], MAX_ENDPOINT_BODY) {
                Ok(None) => break,
                Ok(Some(frame)) => {
                    parsed += frame.bytes().len();
                    status = self.on_frame(connection, now, frame, events);
                }
                Err(error) => {
                    log_frame_error(&error);
                    status = ConnectionStatus::Failed;
                }
            }
        }
        buffer.drain(..parsed);
        if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER {
            *buffer = vec![];
        }
        status
    }

    fn on_frame(
        self: &Arc<Self>,
        connection: MultiplexedConnectionId,
        now: Time,
        frame: Frame,
        events: &mut Vec<Event>,
    ) -> ConnectionStatus {
        if frame.opcode() == opcode::EVENT {
            return ConnectionStatus::Usable;
        }
        let stream_id = frame.stream_id();
        let mut state = lock(&self.state);
        let owner = state.multiplexer.frame_received(now, connection, stream_id);
        let job = match owner {
            FrameOwner::Job(job) => job,
            FrameOwner::Abandoned => return ConnectionStatus::Usable,
            FrameOwner::Unexpected => {
                tracing::warn!(stream_id, "an endpoint answered where nothing was asked");
                return ConnectionStatus::Failed;
            }
        };
        let next_step = state
            .exchanges
            .get_mut(&job)
            .map(|exchange| exchange.on_response(now, frame, &self.context.prepared));
        let mut actions = vec![];
        let mut status = ConnectionStatus::Usable;
        match next_step {
            None => state.multiplexer.finish(now, job, &mut actions),
            Some(NextStep::Finished {
                reply,
                closes_connection,
            }) => {
                state.exchanges.remove(&job);
                state.multiplexer.finish(now, job, &mut actions);
                if closes_connection {
                    status = ConnectionStatus::Failed;
                }
                events.push(exchange_finished(job, reply, status));
            }
            Some(NextStep::Send(frame)) => {
                send_next(&mut state, now, job, &frame, &mut actions, events);
            }
        }
        self.execute(&mut state, actions, events);
        status
    }

    /// The writer thread: writes frame by frame until the queue is empty or the connection is lost.
    pub(crate) fn write_queue(self: &Arc<Self>, connection: MultiplexedConnectionId) {
        while let Some(remainder) = self.begin_write(connection) {
            let written = (&*remainder.socket).write_all(&remainder.bytes);
            if written.is_err() {
                let mut events = vec![];
                self.lose(&mut lock(&self.state), connection, &mut events);
                self.send_events(events);
                return;
            }
            self.context.on_frame_sent(remainder.attempt);
            let mut state = lock(&self.state);
            if let Some(connection) = state.connections.get_mut(&connection) {
                connection.finish_first(remainder.stream_id);
            }
        }
    }

    fn begin_write(&self, id: MultiplexedConnectionId) -> Option<FrameRemainder> {
        let mut state = lock(&self.state);
        let EndpointState {
            multiplexer,
            connections,
            ..
        } = &mut *state;
        connections.get_mut(&id)?.begin_first(id, multiplexer)
    }
}

/// Opens a session.
fn handshake(mut socket: &TcpStream) -> io::Result<()> {
    socket.write_all(startup().bytes())?;
    let response = Frame::read(&mut socket, Direction::Response, MAX_ENDPOINT_BODY)
        .map_err(|_| ErrorKind::InvalidData)?;
    check_startup_response(&response).map_err(|e| {
        if e != StartupError::Rejected {
            tracing::warn!(error = %e, "no session with an endpoint");
        }
        io::Error::new(ErrorKind::ConnectionRefused, e)
    })
}

/// Nothing has come in time, or a signal came.
fn is_temporary(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

fn log_frame_error(error: &FrameError) {
    match error {
        FrameError::UnsupportedVersion { version, .. } => {
            tracing::warn!("an endpoint answered in version {version:#04x}");
        }
        FrameError::BodyTooLong { source, .. } => {
            tracing::warn!(error = %source, "an endpoint's response is too long");
        }
        FrameError::Io(_) => {}
    }
}

/// The end of an exchange. On a connection that failed, nothing is sent any more.
fn exchange_finished(job: JobId, reply: UpstreamReply, status: ConnectionStatus) -> Event {
    let mut event = attempt_ended(job, reply);
    if let Event::AttemptEnded { reusable, .. } = &mut event {
        *reusable &= status == ConnectionStatus::Usable;
    }
    event
}

/// Queues the next frame of an exchange on its connection; if that is lost, the exchange ends as
/// not sent.
fn send_next(
    state: &mut EndpointState,
    now: Time,
    job: JobId,
    frame: &Frame,
    actions: &mut Vec<MultiplexerAction>,
    events: &mut Vec<Event>,
) {
    let mut sends = vec![];
    if !state.multiplexer.resubmit(now, job, &mut sends) {
        state.exchanges.remove(&job);
        events.push(attempt_failed(job, AttemptFailure::NotSent));
        return;
    }
    for action in sends {
        match action {
            MultiplexerAction::Send {
                connection, stream, ..
            } => state.enqueue(connection, stream, frame.clone(), None),
            other => actions.push(other),
        }
    }
}
