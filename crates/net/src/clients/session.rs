//! The session that a protocol's [`RequestHandler`](super::RequestHandler) passes requests and
//! responses to. Nothing here waits for a client.

use std::io;
use std::sync::Arc;

use valehatch_connection_limits::AdmissionDecision;
use valehatch_core::{ClientId, Event, IncomingRequest};
use valehatch_memory_budget::{MemoryUse, Reservation};
use valehatch_policy::{GroupId, Span, Time};
use valehatch_request_log::RejectionReason;

use super::connection::{
    ClientConnection, ClientPresence, MemoryGrant, PendingResponses, RequestInput,
};
use super::registry::Registry;

/// Bytes that an open request takes beside its message: its entries in the tables of the core, the
/// admission queue and the policy.
const REQUEST_OVERHEAD_BYTES: usize = 1024;
/// Copies of a request's message: the request itself, and the attempt that is being written.
const REQUEST_COPIES: usize = 2;

/// Memory reserved for a request.
#[derive(Debug)]
pub struct RequestMemory {
    /// For the request while it is open.
    pub request: Reservation,
    /// For its response; `None` if the client is owed others.
    pub response: Option<Reservation>,
}

/// Why no memory was reserved for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotReserved {
    /// The request has to be handled again once a response is written:
    /// [`RequestReader::put_back`](super::RequestReader::put_back).
    Stalled,
    /// The request has to be rejected.
    Rejected(RejectionReason),
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
    /// client is owed no other; `bytes` is the size of its message.
    ///
    /// # Errors
    /// Returns why the request cannot be submitted now.
    pub fn reserve(&self, bytes: usize) -> Result<RequestMemory, NotReserved> {
        let mut state = self.connection.state();
        state.input = RequestInput::Complete;
        self.connection.report_activity(&mut state);
        drop(state);
        if self.registry.decide_request() == AdmissionDecision::Reject {
            return Err(NotReserved::Rejected(RejectionReason::OutOfConnections));
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
        match reserved {
            MemoryGrant::Granted(memory) => Ok(memory),
            MemoryGrant::Stalled => Err(NotReserved::Stalled),
            MemoryGrant::Denied => Err(NotReserved::Rejected(RejectionReason::OutOfMemory)),
        }
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

    /// Passes a request to the core, unless its client has disconnected.
    ///
    /// # Errors
    /// Returns an error if the connection is closed or the core has ended.
    pub fn submit(&self, ticket: u64, request: IncomingRequest) -> io::Result<()> {
        let connected = self.connection.state().is_client_connected();
        if !connected {
            self.abandon(&request);
            return Ok(());
        }
        self.connection.add_pending_response()?;
        self.connection.state().count_request();
        let event = Event::RequestReceived {
            client: self.client(),
            ticket,
            request,
        };
        self.registry
            .events
            .send(event)
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
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

    /// Answers a request without the core. A message is only returned by the reader while there is
    /// room for a short response.
    ///
    /// # Errors
    /// Returns an error if this side has closed the connection.
    pub fn reply(&self, ticket: u64, response: Vec<u8>) -> io::Result<()> {
        let usage = match self.connection.state().pending_responses {
            0 => MemoryUse::Responses,
            _ => MemoryUse::PipelinedResponses,
        };
        let memory = self.registry.memory.reserve(usage, response.len());
        self.connection.add_pending_response()?;
        self.connection
            .enqueue(Some(ticket), response, memory.into());
        Ok(())
    }

    /// Sends a message that does not answer a request, such as the end of a handshake.
    ///
    /// # Errors
    /// Returns an error if the client has disconnected or this side has closed the connection.
    pub fn send(&self, message: Vec<u8>) -> io::Result<()> {
        self.connection.add_pending_response()?;
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
