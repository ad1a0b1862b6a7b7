//! Read-only view of the state of a router, for observers. Nothing here takes part in decisions.
//! Times are in microseconds of the embedder's clock.

use crate::endpoint::Endpoint;
use crate::events::{EndpointState, Role};
use crate::group::Group;
use crate::ids::{EndpointId, GroupId, RequestId};
use crate::outlier_detection::EjectionCause;
use crate::router::Router;
use crate::settings::Consistency;
use crate::time::{Span, Time};

/// An ejected endpoint that has been sent nothing for this long counts as avoided.
const AVOIDED_AFTER: Span = Span::from_millis(1_000);

/// How a group's primary is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum PrimaryEvidence {
    /// The primary is not known. The lowest ready endpoint, or none, is assumed to be the primary.
    #[default]
    Unknown,
    /// The endpoint list names the primary.
    EndpointList,
    /// The primary reported the role in an answer.
    Answer,
    /// The primary reported the role in a load report.
    LoadReport,
    /// A write that searched for the primary found it.
    Search,
}

/// Whether a router can use an endpoint, by its own evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointHealth {
    /// The endpoint can be used.
    Healthy,
    /// The endpoint does not answer attempts.
    Unresponsive,
    /// Connections to the endpoint fail.
    Unreachable,
}

/// State of a replication group, as a router knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupView {
    /// Id of the group.
    pub group: GroupId,
    /// The endpoint that is assumed to be the primary; `None` if there is none.
    pub primary: Option<EndpointId>,
    /// How the primary is known.
    pub known: PrimaryEvidence,
    /// Since when `primary` has its present value.
    pub since: Time,
    /// Number of changes of `primary`, including those to `None`.
    pub changes: u64,
    /// When the current search for the primary started; `None` if no search runs.
    pub searching: Option<Time>,
    /// Number of waiting writes.
    pub queued_writes: usize,
    /// Number of all waiting requests, writes included.
    pub waiting: usize,
}

/// State of an endpoint, as a router knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Replication group that the endpoint belongs to.
    pub group: GroupId,
    /// State of the endpoint in the endpoint list.
    pub state: EndpointState,
    /// Role of the endpoint; `None` if it is not known.
    pub role: Option<Role>,
    /// Whether the endpoint can be used.
    pub health: EndpointHealth,
    /// Number of attempts in flight at the endpoint.
    pub in_flight: usize,
    /// Concurrency limit: how many attempts may be in flight at the endpoint.
    pub limit: f64,
    /// Lower bound of the endpoint's replication position; `None` if it is not known.
    pub position: Option<Time>,
    /// Fraction of its capacity, from 0 to 1, that an endpoint in slow start is certain to have;
    /// `None` at full capacity.
    pub warm: Option<f64>,
}

/// State of a router.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct RouterView {
    /// The groups, in the order of their ids.
    pub groups: Vec<GroupView>,
    /// The endpoints, in the order of their ids.
    pub endpoints: Vec<EndpointView>,
}

impl Router {
    /// Returns the state of the router as of its last step.
    #[must_use]
    pub fn view(&self) -> RouterView {
        RouterView {
            groups: self
                .groups
                .iter()
                .map(|(id, group)| self.group_view(*id, group))
                .collect(),
            endpoints: self
                .endpoints
                .iter()
                .map(|(id, endpoint)| self.endpoint_view(*id, endpoint))
                .collect(),
        }
    }

    fn group_view(&self, id: GroupId, group: &Group) -> GroupView {
        GroupView {
            group: id,
            primary: group.primary,
            known: group.primary_evidence,
            since: group.primary_since,
            changes: group.primary_changes,
            searching: group.search.as_ref().map(|search| search.started_at()),
            queued_writes: group
                .waiting
                .iter()
                .filter(|id| self.is_write(**id))
                .count(),
            waiting: group.waiting.len(),
        }
    }

    fn is_write(&self, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(|request| {
            self.settings.class(request.class).consistency == Consistency::Write
        })
    }

    fn endpoint_view(&self, id: EndpointId, endpoint: &Endpoint) -> EndpointView {
        EndpointView {
            endpoint: id,
            group: endpoint.group,
            state: endpoint.state,
            role: self.role_of(id, endpoint),
            health: match endpoint.outlier.ejected() {
                None => EndpointHealth::Healthy,
                Some(EjectionCause::Unresponsive) => EndpointHealth::Unresponsive,
                Some(EjectionCause::Unreachable) => EndpointHealth::Unreachable,
            },
            in_flight: endpoint.in_flight.len(),
            limit: endpoint.concurrency_limit,
            position: endpoint.position,
            warm: self.slow_start_fraction(endpoint),
        }
    }

    /// Number of listed endpoints that get no requests now: those that are draining, and those that
    /// are ejected and have been sent nothing for a second. An endpoint that was ejected only just
    /// now, or that still gets trial attempts, does not count.
    #[must_use]
    pub fn avoided(&self) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| self.is_avoided(endpoint))
            .count()
    }

    fn is_avoided(&self, endpoint: &Endpoint) -> bool {
        match endpoint.state {
            EndpointState::Draining => true,
            EndpointState::Removed => false,
            EndpointState::Ready => {
                endpoint.outlier.is_ejected()
                    && endpoint
                        .last_sent_at
                        .is_none_or(|at| self.now - at >= AVOIDED_AFTER)
            }
        }
    }

    /// Role of an endpoint. The known primary has that role whatever it reported last; other
    /// endpoints have the role that they reported.
    fn role_of(&self, id: EndpointId, endpoint: &Endpoint) -> Option<Role> {
        let is_known_primary = self
            .groups
            .get(&endpoint.group)
            .is_some_and(|group| group.known_primary() == Some(id));
        if is_known_primary {
            return Some(Role::Primary);
        }
        endpoint.role.map(|reported| reported.role)
    }
}
