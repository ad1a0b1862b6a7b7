//! What must hold after every step of an admission queue; the testbed and the tests check it.

use std::error::Error;
use std::fmt;

use crate::messages::LaneId;
use crate::queue::FairQueueViolation;

/// An invariant of the admission queue that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// The requests in the lanes, the index of them and their expiries are not equally many.
    IndexDiffers {
        /// Requests in the lanes.
        queued: usize,
        /// Requests in the index.
        indexed: usize,
        /// Expiries.
        expiries: usize,
    },
    /// More requests wait than may.
    TooManyWaiting {
        /// Requests that wait.
        waiting: usize,
        /// Requests that may wait.
        max_waiting: usize,
    },
    /// An invariant of a lane's fair queue does not hold.
    FairQueue {
        /// The lane.
        lane: LaneId,
        /// The invariant.
        violation: FairQueueViolation,
    },
    /// A request waits although its lane has capacity.
    WaitsDespiteCapacity {
        /// The lane.
        lane: LaneId,
    },
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::IndexDiffers {
                queued,
                indexed,
                expiries,
            } => write!(
                f,
                "{queued} requests are queued, {indexed} indexed, {expiries} have an expiry"
            ),
            Self::TooManyWaiting {
                waiting,
                max_waiting,
            } => write!(f, "{waiting} requests wait, {max_waiting} may"),
            Self::FairQueue { lane, violation } => write!(f, "{lane:?}: {violation}"),
            Self::WaitsDespiteCapacity { lane } => {
                write!(f, "{lane:?}: a request waits although there is capacity")
            }
        }
    }
}

impl Error for InvariantViolation {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::FairQueue { violation, .. } => Some(violation),
            _ => None,
        }
    }
}
