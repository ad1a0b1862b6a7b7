//! Invariants of the reducer's state, which hold after every turn. The testbed and the tests check
//! them.

use std::collections::BTreeSet;
use std::error::Error;
use std::fmt;

use valehatch_admission::InvariantViolation as QueueViolation;
use valehatch_policy::{EndpointId, RequestId, Time};

use crate::messages::ConnectionId;
use crate::reducer::State;
use crate::upstream_connections::{ConnectionUse, IdleConnection};

/// An invariant of the reducer that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// The number of attempts in flight differs from the number of connections that carry one.
    AttemptsAndConnectionsDiffer {
        /// Number of attempts in flight.
        attempts: usize,
        /// Number of connections that carry an attempt.
        connections: usize,
    },
    /// A request has more than one attempt in flight.
    AttemptsOverlap(RequestId),
    /// The index of idle connections does not match the connections that are idle.
    IdleIndexDiffers,
    /// An invariant of the admission queue does not hold.
    AdmissionQueue(QueueViolation),
    /// The number of requests marked as waiting for admission differs from the length of the
    /// admission queue.
    QueuedRequestsDiffer {
        /// Number of requests marked as waiting for admission.
        waiting: usize,
        /// Number of requests in the admission queue.
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
            Self::AttemptsOverlap(request) => {
                write!(f, "request {} has overlapping attempts", request.0)
            }
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

/// An idle connection and its endpoint; used to compare the index with the connections.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct IndexedConnection {
    endpoint: EndpointId,
    idle: IdleConnection,
}

impl State {
    /// Checks the invariants that hold after every turn. The cost grows with the number of open
    /// requests and connections.
    ///
    /// # Errors
    /// The first violated invariant.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        self.check_attempts()?;
        self.check_overlaps()?;
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

    fn check_overlaps(&self) -> Result<(), InvariantViolation> {
        let requests = self.attempts.keys().map(|attempt| attempt.request);
        let mut previous = None;
        for request in requests {
            if previous.replace(request) == Some(request) {
                return Err(InvariantViolation::AttemptsOverlap(request));
            }
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
