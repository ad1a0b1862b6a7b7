//! The threads of a connection. One connects, performs the handshake and reads until the connection
//! ends. A second one writes while the endpoint is slow to accept the queued frames. Both may block
//! on the endpoint and on the core's event queue.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use valehatch_core::{Event, UpstreamReply};
use valehatch_memory_budget::Reservation;
use valehatch_net::lock;
use valehatch_policy::{Outcome, Time};
use valehatch_stream_multiplexing::{
    AttemptFailure, FrameOwner, JobId, MultiplexedConnectionId, MultiplexerAction,
};

use crate::connection::{CHUNK_SIZE, FrameRemainder};
use crate::endpoint::{Endpoint, EndpointState, attempt_ended, attempt_failed};
use crate::exchange::{NextStep, StartupError, check_startup_response};
use crate::frame::{Direction, Frame, FrameError, MAX_ENDPOINT_BODY};
use crate::opcodes::opcode;
use crate::pool::MAX_RESPONSE_PAUSE;
use crate::receive_buffer::{ReceiveBuffer, ReceivedFrame};
use crate::requests::startup;

/// Read timeout, after which the thread checks for expired timers.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum time for which an endpoint may accept no written bytes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Minimum timeout of the handshake; a socket timeout of zero is not allowed.
const MIN_HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1);

/// Whether a connection can still be used.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionStatus {
    Usable,
    Failed,
}

impl Endpoint {
    /// Main function of a connection's reader thread.
    pub(crate) fn run_connection(self: &Arc<Self>, connection: MultiplexedConnectionId) {
        let established = self.establish(connection);
        if let Ok(socket) = &established
            && self.on_opened(connection)
        {
            self.read_responses(connection, socket);
        }
        let mut events = vec![];
        self.drop_connection(&mut lock(&self.state), connection, &mut events);
        // Jobs that waited for this connection may have been moved to another one.
        self.flush(&mut events);
        self.send_events(events);
    }

    /// Sends the frames that waited for the connection. Returns false if the multiplexer no longer
    /// needs the connection.
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

    /// Sends events to the core; blocks while its queue is full.
    fn send_events(&self, events: Vec<Event>) {
        for event in events {
            // Fails only once the core has ended.
            drop(self.context.events.send(event));
        }
    }

    /// Connects and performs the handshake, within one timeout for both.
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
        // Not earlier: publishing the socket lets other threads write to it.
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
        let mut buffer = ReceiveBuffer::new(Arc::clone(&self.context.memory));
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
                    buffer.extend(&chunk[..length]);
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
                // Before the events are sent: the core's next requests must not be written to a
                // connection that is about to be closed.
                self.drop_connection(&mut lock(&self.state), connection, &mut events);
            }
            self.flush(&mut events);
            self.send_events(events);
            if status == ConnectionStatus::Failed {
                return;
            }
        }
    }

    /// Handles the complete frames in the receive buffer and removes them from it.
    fn on_received(
        self: &Arc<Self>,
        connection: MultiplexedConnectionId,
        now: Time,
        buffer: &mut ReceiveBuffer,
        events: &mut Vec<Event>,
    ) -> ConnectionStatus {
        self.update(events, |state, actions| {
            state.multiplexer.bytes_received(now, connection, actions);
        });
        let mut status = ConnectionStatus::Usable;
        while status == ConnectionStatus::Usable {
            match buffer.next_frame() {
                Ok(None) => break,
                Ok(Some(ReceivedFrame::Complete(frame, memory))) => {
                    status = self.on_frame(connection, now, frame, memory, events);
                }
                Ok(Some(ReceivedFrame::Discarded(stream_id))) => {
                    status = self.on_discarded(connection, now, stream_id, events);
                }
                Err(error) => {
                    log_frame_error(&error);
                    status = ConnectionStatus::Failed;
                }
            }
        }
        buffer.free_unused();
        status
    }

    /// Ends the attempt whose response was discarded for lack of memory; its request may have run.
    fn on_discarded(
        self: &Arc<Self>,
        connection: MultiplexedConnectionId,
        now: Time,
        stream_id: i16,
        events: &mut Vec<Event>,
    ) -> ConnectionStatus {
        tracing::warn!(
            stream_id,
            "no memory for an endpoint's response, discarding it"
        );
        let mut state = lock(&self.state);
        let owner = state.multiplexer.frame_received(now, connection, stream_id);
        let job = match owner {
            FrameOwner::Job(job) => job,
            FrameOwner::Abandoned => return ConnectionStatus::Usable,
            FrameOwner::Unexpected => return ConnectionStatus::Failed,
        };
        let mut actions = vec![];
        state.exchanges.remove(&job);
        state.multiplexer.finish(now, job, &mut actions);
        let reply = UpstreamReply::without_details(Outcome::Cancelled);
        events.push(attempt_ended(job, reply));
        self.execute(&mut state, actions, events);
        ConnectionStatus::Usable
    }

    fn on_frame(
        self: &Arc<Self>,
        connection: MultiplexedConnectionId,
        now: Time,
        frame: Frame,
        memory: Option<Reservation>,
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
                tracing::warn!(stream_id, "endpoint sent a response without a request");
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
                mut reply,
                closes_connection,
            }) => {
                reply.memory = memory;
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

    /// Main function of the writer thread: writes frame by frame until the queue is empty or the
    /// connection is lost.
    pub(crate) fn write_queue(self: &Arc<Self>, connection: MultiplexedConnectionId) {
        while let Some(remainder) = self.begin_write(connection) {
            let written = (&*remainder.socket).write_all(&remainder.bytes);
            if written.is_err() {
                let mut events = vec![];
                self.drop_connection(&mut lock(&self.state), connection, &mut events);
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

/// Opens a session with the endpoint.
fn handshake(mut socket: &TcpStream) -> io::Result<()> {
    socket.write_all(startup().bytes())?;
    let response = Frame::read(&mut socket, Direction::Response, MAX_ENDPOINT_BODY)
        .map_err(|_| ErrorKind::InvalidData)?;
    check_startup_response(&response).map_err(|e| {
        if e != StartupError::Rejected {
            tracing::warn!(error = %e, "endpoint did not open a session");
        }
        io::Error::new(ErrorKind::ConnectionRefused, e)
    })
}

/// Whether a read timed out or was interrupted by a signal.
fn is_temporary(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

fn log_frame_error(error: &FrameError) {
    match error {
        FrameError::UnsupportedVersion { version, .. } => {
            tracing::warn!("endpoint responded with unsupported version byte {version:#04x}");
        }
        FrameError::BodyTooLong { source, .. } => {
            tracing::warn!(error = %source, "endpoint's response is too long");
        }
        FrameError::Io(_) => {}
    }
}

/// Creates the event for a finished exchange. A failed connection is marked as not reusable.
fn exchange_finished(job: JobId, reply: UpstreamReply, status: ConnectionStatus) -> Event {
    let mut event = attempt_ended(job, reply);
    if let Event::AttemptEnded { reusable, .. } = &mut event {
        *reusable &= status == ConnectionStatus::Usable;
    }
    event
}

/// Queues the next frame of an exchange on its connection. If the connection is lost, the exchange
/// ends as not sent.
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
