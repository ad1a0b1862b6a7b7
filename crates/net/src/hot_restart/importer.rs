//! The new process's side of a hot restart. Runs on the thread that starts the gateway.

use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use valehatch_hot_restart::messages::HandoffMessage;

use super::socket::{invalid_data, receive_with_listener, send};
use super::{HANDOFF_TIMEOUT, RETRY_INTERVAL, WRITE_TIMEOUT};

/// How long a handoff request is repeated while another hot restart is in progress, which ends
/// within this time.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// State that the old process has handed over.
pub struct InheritedState {
    /// The listening socket; `None` if the old process is ending and has closed it.
    pub listener: Option<TcpListener>,
    /// The old process's encoded snapshot; may be empty.
    pub snapshot: Vec<u8>,
    /// The connection to the old process, for [`super::HotRestart::start`].
    pub connection: UnixStream,
}

/// Result of a handoff request.
pub enum HandoffOutcome {
    /// No old process listens at the path.
    NoProcess,
    /// The old process has handed over.
    Inherited(Box<InheritedState>),
    /// Another hot restart was still in progress after 5 s.
    Busy,
    /// There is an old process, but it has not handed anything over.
    Failed {
        /// The cause of the failure.
        error: io::Error,
        /// The connection to the old process, if it was established.
        connection: Option<UnixStream>,
    },
}

enum Reply {
    HandedOver {
        listener: Option<TcpListener>,
        snapshot: Vec<u8>,
    },
    Busy,
}

/// Requests a handoff from the process that listens at `path` for the gateway of this name. Blocks
/// for at most 5 s while another hot restart is in progress, and for 1.5 s for each answer.
pub fn request_handoff(path: &Path, gateway: &str) -> HandoffOutcome {
    let until = Instant::now() + BUSY_TIMEOUT;
    loop {
        let connection = match UnixStream::connect(path) {
            Ok(connection) => connection,
            Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                return HandoffOutcome::NoProcess;
            }
            // Interrupted by a signal for this process, which is handled once the start is
            // complete.
            Err(e) if e.kind() == ErrorKind::Interrupted && Instant::now() < until => continue,
            Err(e) => {
                let error = io::Error::new(e.kind(), format!("{}: {e}", path.display()));
                return HandoffOutcome::Failed {
                    error,
                    connection: None,
                };
            }
        };
        match request_once(&connection, gateway) {
            Ok(Reply::HandedOver { listener, snapshot }) => {
                return HandoffOutcome::Inherited(Box::new(InheritedState {
                    listener,
                    snapshot,
                    connection,
                }));
            }
            Ok(Reply::Busy) if Instant::now() < until => sleep(RETRY_INTERVAL),
            Ok(Reply::Busy) => return HandoffOutcome::Busy,
            Err(error) => {
                return HandoffOutcome::Failed {
                    error,
                    connection: Some(connection),
                };
            }
        }
    }
}

fn request_once(connection: &UnixStream, gateway: &str) -> io::Result<Reply> {
    connection.set_read_timeout(Some(HANDOFF_TIMEOUT))?;
    connection.set_write_timeout(Some(WRITE_TIMEOUT))?;
    send(connection, &HandoffMessage::Request(gateway.to_owned()))?;
    let received = receive_with_listener(connection)?;
    match received.message {
        HandoffMessage::State(snapshot) => Ok(Reply::HandedOver {
            listener: received.listener,
            snapshot,
        }),
        HandoffMessage::Busy => Ok(Reply::Busy),
        other => Err(invalid_data(format!(
            "received {other:?} instead of a handoff"
        ))),
    }
}
