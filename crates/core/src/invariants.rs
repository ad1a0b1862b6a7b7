//! What must hold after every step of the reducer; the testbed and the tests check it.

use std::collections::BTreeSet;
use std::error::Error;
use std::fmt;

use valehatch_admission::InvariantViolation as QueueViolation;
use valehatch_policy::{EndpointId, Time};

use crate::messages::ConnectionId;
use crate::reducer::State;
use crate::upstream_connections::{ConnectionUse, IdleConnection};

/// An invariant of the reducer that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// The attempts in flight are not as many as the connections that carry an attempt.
    AttemptsAndConnectionsDiffer {
        /// Attempts in flight.
        attempts: usize,
        /// Connections that carry an attempt.
        connections: usize,
    },
    /// The index of idle connections does not name exactly the idle connections.
    IdleIndexDiffers,
    /// An invariant of the admission queue does not hold.
    AdmissionQueue(QueueViolation),
    /// The requests that wait for admission are not as many as those in the admission queue.
    QueuedRequestsDiffer {
        /// Requests that wait for admission.
        waiting: usize,
        /// Requests in the admission queue.
        queued: usize,
    },
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AttemptsAndConnectionsDiffer {
                attempts,
                connections,
            } => write!(
                f,
                "{attempts} attempts are in flight, on {connections} connections"
            ),
            Self::IdleIndexDiffers => {
                f.write_str("the index of idle connections differs from the idle connections")
            }
            Self::AdmissionQueue(violation) => violation.fmt(f),
            Self::QueuedRequestsDiffer { waiting, queued } => write!(
                f,
                "{waiting} requests wait for admission, {queued} are in the queue"
            ),
        }
    }
}

impl Error for InvariantViolation {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::AdmissionQueue(violation) => Some(violation),
            _ => None,
        }
    }
}

impl From<QueueViolation> for InvariantViolation {
    fn from(violation: QueueViolation) -> Self {
        Self::AdmissionQueue(violation)
    }
}

/// An idle connection with its endpoint, as the index and the connections both know it.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct IndexedConnection {
    endpoint: EndpointId,
    idle: IdleConnection,
}

impl State {
    /// Checks what must hold after every step. The cost grows with all that is open.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        self.check_attempts()?;
        self.check_idle_index()?;
        self.check_queue()
    }

    fn check_attempts(&self) -> Result<(), InvariantViolation> {
        let attempts = self.attempts.len();
        let carries_attempt = |usage| matches!(usage, ConnectionUse::Attempt(_));
        let in_use = self.connections.values().map(|c| c.usage);
        let connections = in_use.filter(|usage| carries_attempt(*usage)).count();
        if attempts != connections {
            return Err(InvariantViolation::AttemptsAndConnectionsDiffer {
                attempts,
                connections,
            });
        }
        Ok(())
    }

    fn check_idle_index(&self) -> Result<(), InvariantViolation> {
        let mut idle = BTreeSet::new();
        for (id, connection) in &self.connections {
            if let ConnectionUse::Idle { since } = connection.usage {
                idle.insert(indexed(connection.endpoint, since, *id));
            }
        }
        let mut index = BTreeSet::new();
        for (endpoint, connections) in &self.idle_connections {
            for connection in connections {
                index.insert(indexed(*endpoint, connection.since, connection.id));
            }
        }
        if idle != index {
            return Err(InvariantViolation::IdleIndexDiffers);
        }
        Ok(())
    }

    fn check_queue(&self) -> Result<(), InvariantViolation> {
        let Some(admission) = &self.admission else {
            return Ok(());
        };
        admission.check_invariants()?;
        let queued = admission.len();
        let waiting = self
            .requests
            .values()
            .filter(|request| request.queued.is_some())
            .count();
        if waiting != queued {
            return Err(InvariantViolation::QueuedRequestsDiffer { waiting, queued });
        }
        Ok(())
    }
}

const fn indexed(endpoint: EndpointId, since: Time, id: ConnectionId) -> IndexedConnection {
    IndexedConnection {
        endpoint,
        idle: IdleConnection { since, id },
    }
}
