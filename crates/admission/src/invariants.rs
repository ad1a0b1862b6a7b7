//! Violations of the invariants of an admission queue. The testbed and the tests check the
//! invariants after every step.

use std::error::Error;
use std::fmt;

use crate::messages::LaneId;
use crate::queue::FairQueueViolation;

/// An invariant of the admission queue that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// The numbers of requests in the lanes, of index entries and of expiries differ.
    IndexDiffers {
        /// Requests in the queues of all lanes.
        queued: usize,
        /// Entries in the index from request to lane.
        indexed: usize,
        /// Scheduled expiries of waiting requests.
        expiries: usize,
    },
    /// More requests wait than the settings allow.
    TooManyWaiting {
        /// Number of waiting requests.
        waiting: usize,
        /// Maximum number of waiting requests from the settings.
        max_waiting: usize,
    },
    /// The fair queue of a lane violates an invariant.
    FairQueue {
        /// Lane that owns the fair queue.
        lane: LaneId,
        /// Violation that the fair queue reported.
        violation: FairQueueViolation,
    },
    /// A request waits although its lane has capacity.
    WaitsDespiteCapacity {
        /// Lane with a waiting request and free capacity.
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
                "{queued} requests queued, {indexed} indexed, {expiries} expiries scheduled"
            ),
            Self::TooManyWaiting {
                waiting,
                max_waiting,
            } => write!(f, "{waiting} requests wait, the maximum is {max_waiting}"),
            Self::FairQueue { lane, violation } => write!(f, "{lane:?}: {violation}"),
            Self::WaitsDespiteCapacity { lane } => {
                write!(f, "{lane:?}: requests wait although the lane has capacity")
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
