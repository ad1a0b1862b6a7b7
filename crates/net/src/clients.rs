//! Downstream connections: accepts clients, reads their requests, writes their responses and closes
//! idle connections.
//!
//! One thread accepts connections. A few threads wait for input on all other connections at once;
//! the thread that finds a connection readable runs the protocol's [`RequestHandler`] until no more
//! input is available, or its turn is over. A response is written by the thread that produced it; if
//! the client cannot receive all of it at once, one thread writes the rest for all such clients. No
//! thread waits for a single client, but for one that a streamed response is written to. State: one
//! connection object per client, kept in the registry and bounded in number by the connection
//! limiter.

mod blocked_writers;
mod connection;
mod exit_wait;
mod listener;
mod message_reader;
mod registry;
mod response_body;
mod session;
mod waiting;
mod write_queue;

pub use listener::{AddressSharing, bind_listener};
pub use message_reader::{Framing, Message, NextMessage, RequestReader};
pub use response_body::ResponseBody;
pub(crate) use response_body::STREAMING_SOCKET_BUFFER;
pub use session::{NotReserved, RequestMemory, Session};

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crossbeam_channel::{Sender, unbounded};

use valehatch_connection_limits::ANSWER_SETTLE_TIME;
use valehatch_core::{AfterAnswer, ClientId, Event, FinalAnswer, ResponseMemory};
use valehatch_memory_budget::MemoryBudget;
use valehatch_policy::Span;

use crate::Clock;
use crate::connection_limits::SharedConnectionLimiter;
use crate::lock;
use connection::{CLOSING_ERROR_RETRY_AFTER, ClientConnection, EXIT_SETTLE_TIME, LastRejection};
use exit_wait::{ExitWait, RemainingWork};
use registry::Registry;
use waiting::{WaitingConnection, WaitingConnections};

/// The client side of one protocol. One handler serves all connections of a front, from several
/// threads at once.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles messages until no complete one is left, without waiting for more. Called by one
    /// thread at a time for each connection; `progress` is kept between the calls.
    ///
    /// # Errors
    /// Returns an error if the connection failed; it is then closed without a closing error.
    fn serve(
        &self,
        progress: &mut SessionProgress,
        reader: &mut RequestReader,
        session: &Session,
    ) -> io::Result<SessionStatus>;
    /// Encodes the final answer to the request with this ticket.
    fn encode(&self, ticket: u64, answer: FinalAnswer) -> Vec<u8>;
    /// Whether responses are sent in the order of their requests, by ticket from 0.
    fn has_ordered_responses(&self) -> bool;
    /// Maximum number of pending responses per connection; further requests stay unread.
    fn pipeline_limit(&self) -> usize;
    /// Encodes a message that clients pass over at any time between two responses. It is sent to a
    /// client whose close may stand behind unread bytes: a client that has closed answers with a
    /// reset. Empty if the protocol has no such message; a request is then rejected for the same
    /// effect, which must not end the session.
    fn liveness_probe(&self) -> Vec<u8>;
    /// Encodes the error that closes an idle connection. A client that has sent a request in the
    /// meantime takes it for the response: the request was not executed, and the client may retry
    /// it after `retry_after`. Empty if the protocol has no such error.
    fn closing_error(&self, retry_after: Span) -> Vec<u8>;
}

/// State of a session that is kept between two messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionProgress {
    /// Set once the protocol's handshake is complete.
    pub handshake_complete: bool,
    /// The ticket of the next message, if responses are ordered.
    pub next_ticket: u64,
    /// Number of messages that could not be parsed.
    pub malformed_messages: usize,
}

/// How a session continues after [`RequestHandler::serve`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionStatus {
    /// No complete message is left; the connection waits for more input.
    Idle,
    /// The next message can be handled once a pending response is written.
    Stalled,
    /// The turn is over, and more input may be available.
    TurnOver,
    /// The client has closed the connection or violated the protocol.
    Closed,
    /// The session has to be closed with this error, once all pending responses are written.
    ClosedWithError(Vec<u8>),
}

/// Input that is available while it is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextInput {
    /// No input has arrived yet.
    Pending,
    /// The connection is closed: no further input will arrive.
    Closed,
}

/// The process that accepts the connections left in the listener's backlog when accepting stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogOwner {
    /// This process accepts them before it stops.
    ThisProcess,
    /// Another process shares the listening socket and accepts them.
    OtherProcess,
}

/// Memory budget and reporting options of a front's clients.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Budget of all bytes that are held for the clients.
    pub memory: Arc<MemoryBudget>,
    /// Maximum size in bytes of a response that is buffered without a further reservation.
    pub response_bytes: usize,
    /// Whether requests that are rejected or abandoned before they reach the core are reported to
    /// the core.
    pub reports_rejections: bool,
}

/// All client connections of one front.
pub struct Clients {
    registry: Arc<Registry>,
    waiting: WaitingConnections,
    /// Set once no further connections are to be accepted.
    accepting_stopped: AtomicBool,
    /// Set if another process accepts the connections in the backlog.
    backlog_handed_over: AtomicBool,
    /// Set while the accepting thread runs.
    accepting: AtomicBool,
    exit_wait: Mutex<ExitWait>,
}

impl Clients {
    /// Creates a front without connections; [`Clients::listen`] accepts them.
    ///
    /// # Errors
    /// Returns an error if no descriptor is available for the epoll instances.
    pub fn new(
        handler: Arc<dyn RequestHandler>,
        events: Sender<Event>,
        clock: Clock,
        limiter: Arc<SharedConnectionLimiter>,
        limits: ClientLimits,
    ) -> io::Result<Arc<Self>> {
        let (wakeups, woken) = unbounded();
        let waiting = WaitingConnections::new(clock.now(), woken)?;
        let registry = Registry::new(handler, events, clock, limiter, limits, wakeups)?;
        Ok(Arc::new(Self {
            registry: Arc::new(registry),
            waiting,
            accepting_stopped: AtomicBool::new(false),
            backlog_handed_over: AtomicBool::new(false),
            accepting: AtomicBool::new(false),
            exit_wait: Mutex::default(),
        }))
    }

    /// Removes a closed connection and frees its descriptor.
    fn remove(&self, connection: &WaitingConnection) {
        self.registry.remove(connection.session.client());
        connection.session.connection().abort();
    }

    /// Queues the final answer to a request. Never blocks; if the client has disconnected, the
    /// answer is dropped. `memory` is held until the answer is written.
    pub fn answer(
        &self,
        client: ClientId,
        ticket: u64,
        answer: FinalAnswer,
        after: AfterAnswer,
        mut memory: ResponseMemory,
    ) {
        let Some(connection) = self.registry.get(client) else {
            return;
        };
        let closing_error = match (after, &answer) {
            (AfterAnswer::Close, FinalAnswer::Rejected { retry_after, .. }) => {
                self.registry.handler.closing_error(*retry_after)
            }
            _ => vec![],
        };
        let response = self.registry.handler.encode(ticket, answer);
        memory.shrink_to(response.len().max(closing_error.len()));
        if closing_error.is_empty() {
            connection.enqueue(Some(ticket), response, memory);
        } else {
            connection.reject_and_close(LastRejection {
                ticket,
                response,
                closing_error,
                memory,
            });
        }
    }

    /// Opens a streamed response. Returns `None` if the client has disconnected.
    pub fn response_body(&self, client: ClientId, ticket: u64) -> Option<ResponseBody> {
        let connection = self.registry.get(client)?;
        let events = self.registry.events.clone();
        Some(ResponseBody::new(connection, ticket, events))
    }

    /// Gracefully closes a connection that is idle and was last used more than
    /// [`ANSWER_SETTLE_TIME`] ago: immediately after a response, the client would take the closing
    /// error for a second response.
    pub fn close_if_idle(&self, client: ClientId) {
        if let Some(connection) = self.registry.get(client) {
            self.close_if_settled(&connection, ANSWER_SETTLE_TIME);
        }
    }

    /// Closes all idle connections whose clients have had time to read their last response, because
    /// the program is about to exit. The other connections stay open, and requests on them are
    /// rejected.
    pub fn close_all_idle(&self) {
        for connection in self.registry.all() {
            self.close_if_settled(&connection, EXIT_SETTLE_TIME);
        }
    }

    /// Does nothing if the protocol has no closing error: a request that crosses the close would
    /// get no answer, so such connections stay open until the exit.
    fn close_if_settled(&self, connection: &Arc<ClientConnection>, settle_time: Span) {
        let handler = &self.registry.handler;
        if handler.closing_error(CLOSING_ERROR_RETRY_AFTER).is_empty() {
            return;
        }
        let settled_before = self.registry.clock.now() - settle_time;
        connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| {
            state.last_used < settled_before
        });
    }

    /// Whether the program may exit. Callers poll this method. Each response that was pending at the
    /// first call is completed first, however long its client and its endpoint take, within the
    /// timeouts for those that stand still. Then every request is answered or rejected, and every
    /// client has time to read its response, for up to 220 ms, or for 70 ms from the first call if
    /// the responses took less than 50 ms.
    pub fn can_exit(&self) -> bool {
        let connections = self.registry.all();
        for connection in &connections {
            connection.close_for_exit();
        }
        let work = self.remaining_work(&connections);
        let mut exit_wait = lock(&self.exit_wait);
        let was_delayed = exit_wait.is_delayed();
        let may_exit = exit_wait.may_exit(self.registry.clock.now(), work);
        if exit_wait.is_delayed() && !was_delayed {
            tracing::info!("exit waits for responses that have begun");
        }
        if !may_exit {
            return false;
        }
        for connection in &connections {
            connection.finish_for_exit();
        }
        true
    }

    fn remaining_work(&self, connections: &[Arc<ClientConnection>]) -> RemainingWork {
        let owes_response = |c: &Arc<ClientConnection>| c.owes_response_at_exit();
        let is_unsettled = |c: &Arc<ClientConnection>| c.is_busy() || c.is_open();
        RemainingWork {
            owes_responses: connections.iter().any(owes_response),
            is_unsettled: self.accepting.load(Ordering::Relaxed)
                || connections.iter().any(is_unsettled),
            last_closed_at: connections.iter().filter_map(|c| c.closing_since()).max(),
        }
    }

    /// Stops accepting connections, once the backlog is empty or handed over.
    pub fn stop_accepting(&self, backlog: BacklogOwner) {
        let handed_over = backlog == BacklogOwner::OtherProcess;
        self.backlog_handed_over
            .fetch_or(handed_over, Ordering::Relaxed);
        self.accepting_stopped.store(true, Ordering::Relaxed);
    }
}
