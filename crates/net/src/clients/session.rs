//! The types that a protocol's [`RequestHandler`](super::RequestHandler) works with: a reader of
//! messages, and the session that accepts requests and responses.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::sync::Arc;

use valehatch_connection_limits::AdmissionDecision;
use valehatch_core::{ClientId, Event, IncomingRequest, ResponseMemory};
use valehatch_memory_budget::{MemoryUse, Reservation};
use valehatch_policy::{GroupId, Span, Time};
use valehatch_request_log::RejectionReason;

use super::connection::{
    ClientConnection, ClientPresence, ConnectionReader, PendingResponses, ReceiveStatus,
    RequestInput,
};
use super::registry::Registry;
use super::{NextInput, SessionStatus};

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 4096;
/// Bytes that an open request takes beside its message: its entries in the tables of the core, the
/// admission queue and the policy.
const REQUEST_OVERHEAD_BYTES: usize = 1024;
/// Copies of a request's message: the request itself, and the attempt that is being written.
const REQUEST_COPIES: usize = 2;

/// Reads the messages of a client. [`Read::read`] blocks until bytes arrive or a timeout closes the
/// connection, so a handler reads only after [`RequestReader::next_input`] has returned
/// [`NextInput::Message`].
pub struct RequestReader {
    buffered: BufReader<ConnectionReader>,
}

impl RequestReader {
    pub(super) fn new(connection: Arc<ClientConnection>) -> Self {
        let reader = ConnectionReader::new(connection);
        Self {
            buffered: BufReader::with_capacity(READ_BUFFER_BYTES, reader),
        }
    }

    pub(super) fn connection(&self) -> &Arc<ClientConnection> {
        &self.buffered.get_ref().connection
    }

    /// Checks whether a message has begun to arrive; consumes nothing and does not block. Messages
    /// that a client sent before it disconnected are still returned, but are not executed.
    ///
    /// # Errors
    /// Returns an error if the connection failed.
    pub fn next_input(&mut self) -> io::Result<NextInput> {
        if self.connection().closing_since().is_some() {
            return Ok(self.discard_received());
        }
        match self.connection().receive_status() {
            ReceiveStatus::PeerClosed => self.connection().state().set_disconnected(),
            ReceiveStatus::Empty if self.buffered.buffer().is_empty() => {
                self.connection().state().input_delayed_since = None;
                return Ok(NextInput::Pending);
            }
            ReceiveStatus::Empty | ReceiveStatus::Data => {}
        }
        let has_bytes = !self.buffered.fill_buf()?.is_empty();
        if has_bytes && !self.connection().state().is_aborted() {
            Ok(NextInput::Message)
        } else {
            Ok(NextInput::Closed)
        }
    }

    /// Reports that the message that was read has been handled. Part of the next one may have been
    /// received with it.
    pub fn finish_message(&self) {
        let input = if self.buffered.buffer().is_empty() {
            RequestInput::None
        } else {
            RequestInput::Partial
        };
        self.connection().finish_message(input);
    }

    /// Closes the connection gracefully: waits until all responses are written, sends the closing
    /// error, and discards further input. Returns [`SessionStatus::Closed`] if the client has
    /// closed the connection too.
    pub fn close_gracefully(&mut self, closing_error: Vec<u8>) -> SessionStatus {
        let connection = Arc::clone(self.connection());
        drop(connection.write_held_rejection(connection.state()));
        // If nothing can be written any more, only the client's close remains to be read.
        if connection.closing_since().is_none()
            && connection.receive_status() != ReceiveStatus::PeerClosed
            && let Ok(state) = connection.wait_for_pending_below(1)
        {
            connection.graceful_close(state, closing_error);
        }
        match self.discard_received() {
            NextInput::Pending => SessionStatus::Idle,
            NextInput::Message | NextInput::Closed => SessionStatus::Closed,
        }
    }

    fn discard_received(&mut self) -> NextInput {
        self.buffered.consume(self.buffered.buffer().len());
        self.buffered.get_mut().discard_received()
    }

    /// Writes directly to the socket, bypassing the write queue. Only allowed before any response
    /// is queued.
    ///
    /// # Errors
    /// Returns an error if the connection failed.
    pub fn write_unqueued(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.connection().stream).write_all(bytes)
    }
}

impl Read for RequestReader {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.buffered.read(into)
    }
}

/// Memory reserved for a request.
#[derive(Debug)]
pub struct RequestMemory {
    /// For the request while it is open.
    pub request: Reservation,
    /// For its response; `None` if the client is owed others.
    pub response: Option<Reservation>,
}

/// A client connection as seen by its protocol's handler.
pub struct Session {
    connection: Arc<ClientConnection>,
    registry: Arc<Registry>,
}

impl Session {
    pub(super) const fn new(connection: Arc<ClientConnection>, registry: Arc<Registry>) -> Self {
        Self {
            connection,
            registry,
        }
    }

    pub(super) const fn connection(&self) -> &Arc<ClientConnection> {
        &self.connection
    }

    pub(super) fn client(&self) -> ClientId {
        self.connection.id
    }

    /// Reserves memory for a request that has been read completely, and for its response if the
    /// client is owed no other; `bytes` is the size of its message. Blocks while there is no memory
    /// for one more request of a client that is owed responses.
    ///
    /// # Errors
    /// Returns why the request has to be rejected: requests in flight hold all descriptors or all
    /// memory.
    pub fn reserve(&self, bytes: usize) -> Result<RequestMemory, RejectionReason> {
        let mut state = self.connection.state();
        state.input = RequestInput::Complete;
        self.connection.report_activity(&mut state);
        drop(state);
        if self.registry.decide_request() == AdmissionDecision::Reject {
            return Err(RejectionReason::OutOfConnections);
        }
        let bytes = bytes * REQUEST_COPIES + REQUEST_OVERHEAD_BYTES;
        let memory = &self.registry.memory;
        let reserved = self.connection.reserve_memory(|pending| match pending {
            PendingResponses::None => Some(RequestMemory {
                request: memory.try_reserve(MemoryUse::Requests, bytes)?,
                response: Some(
                    memory.try_reserve(MemoryUse::Responses, self.registry.response_bytes)?,
                ),
            }),
            PendingResponses::Some => Some(RequestMemory {
                request: memory.try_reserve(MemoryUse::PipelinedRequests, bytes)?,
                response: None,
            }),
        });
        reserved.ok().flatten().ok_or(RejectionReason::OutOfMemory)
    }

    /// When the request that was read last may have arrived: if the reader had to wait before it
    /// read the request, when that wait began.
    pub fn received_at(&self) -> Time {
        self.connection.input_received_at()
    }

    /// The connection's number, which is the only identification of a client.
    pub fn client_number(&self) -> u64 {
        self.client().0
    }

    /// Passes a request to the core, unless its client has disconnected. Blocks while the pipeline
    /// limit is reached.
    ///
    /// # Errors
    /// Returns an error if the connection is closed or the core has ended.
    pub fn submit(&self, ticket: u64, request: IncomingRequest) -> io::Result<()> {
        let connected = self.connection.state().is_client_connected();
        let reserved = if connected {
            self.connection.reserve_response()
        } else {
            Err(ErrorKind::ConnectionAborted.into())
        };
        match reserved {
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => {
                self.abandon(&request);
                return Ok(());
            }
            other => other?,
        }
        self.connection.state().count_request();
        let event = Event::RequestReceived {
            client: self.client(),
            ticket,
            request,
        };
        self.registry
            .events
            .send(event)
            .map_err(|_| ErrorKind::BrokenPipe.into())
    }

    /// Drops a request of a client that has disconnected. Reports the disconnect, so that the core
    /// cancels the client's requests in flight.
    fn abandon(&self, request: &IncomingRequest) {
        let before = self.connection.state().set_disconnect_reported();
        // A core that has ended counts nothing, so send errors are ignored.
        if before != ClientPresence::DisconnectReported {
            let disconnected = Event::ClientDisconnected(self.client());
            let _ = self.registry.events.send(disconnected);
        }
        if self.registry.reports_rejections {
            let _ = self.registry.events.send(Event::RequestAbandoned {
                class: request.class,
                tenant: request.tenant,
                group: request.group,
            });
        }
    }

    /// Reports a request that the handler itself has rejected, with its class, tenant and group.
    pub fn report_rejection(
        &self,
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        reason: RejectionReason,
    ) {
        if self.registry.reports_rejections {
            let _ = self.registry.events.send(Event::RequestRejected {
                class,
                tenant,
                group,
                reason,
            });
        }
    }

    /// Answers a request without the core. Blocks while the pipeline limit is reached, or while
    /// there is no memory for one more response to a client that is owed others.
    ///
    /// # Errors
    /// Returns an error if this side has closed the connection.
    pub fn reply(&self, ticket: u64, response: Vec<u8>) -> io::Result<()> {
        let reserved = self.reserve_reply(response.len()).and_then(|memory| {
            self.connection.reserve_response()?;
            Ok(memory)
        });
        match reserved {
            Ok(memory) => self.connection.enqueue(Some(ticket), response, memory),
            // The client disconnected during the wait.
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    fn reserve_reply(&self, bytes: usize) -> io::Result<ResponseMemory> {
        let memory = &self.registry.memory;
        let reserved = self.connection.reserve_memory(|pending| match pending {
            PendingResponses::None => Some(memory.reserve(MemoryUse::Responses, bytes)),
            PendingResponses::Some => memory.try_reserve(MemoryUse::PipelinedResponses, bytes),
        })?;
        Ok(reserved.map(ResponseMemory::from).unwrap_or_default())
    }

    /// Sends a message that does not answer a request, such as the end of a handshake.
    ///
    /// # Errors
    /// Returns an error if the client has disconnected or this side has closed the connection.
    pub fn send(&self, message: Vec<u8>) -> io::Result<()> {
        self.connection.reserve_response()?;
        let memory = self.connection.reserve_message(&message);
        self.connection.enqueue(None, message, memory);
        Ok(())
    }

    /// Sets how long the connection may be idle, for protocols whose clients keep idle connections
    /// for longer.
    pub fn set_idle_timeout(&self, timeout: Span) {
        self.connection.state().idle_timeout = timeout;
    }
}
