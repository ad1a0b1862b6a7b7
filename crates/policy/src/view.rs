//! What a router believes, read-only: nothing here decides or changes anything.

use crate::endpoint::Node;
use crate::events::*;
use crate::ids::*;
use crate::outlier_detection::Shut;
use crate::router::Router;
use crate::settings::*;
use crate::time::*;

/// How a group's primary is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum PrimaryEvidence {
    /// It is not: the lowest member stands in, or none.
    #[default]
    Unknown,
    /// The list says so.
    EndpointList,
    /// It said so in an answer.
    Answer,
    /// It said so when it was probed.
    LoadReport,
    /// The write that searched for it found it.
    Search,
}

/// Whether a router can use a node, by its own evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointHealth {
    /// It can.
    Healthy,
    /// It leaves what is sent unanswered.
    Unresponsive,
    /// Connections to it fail.
    Unreachable,
}

/// What a router believes of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// The member that it takes for the primary.
    pub primary: Option<EndpointId>,
    /// How it knows.
    pub known: PrimaryEvidence,
    /// Since when it believes that.
    pub since: Time,
    /// How often it has believed something else.
    pub changes: u64,
    /// Since when it searches, if it does.
    pub searching: Option<Time>,
    /// Writes that wait here.
    pub queued_writes: usize,
    /// All requests that wait here.
    pub waiting: usize,
}

/// What a router believes of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// The node.
    pub endpoint: EndpointId,
    /// Its group.
    pub group: GroupId,
    /// What the list says.
    pub state: EndpointState,
    /// The role that it is taken for, unless none is known.
    pub role: Option<Role>,
    /// Whether it can be used.
    pub health: EndpointHealth,
    /// Attempts that are out at it.
    pub in_flight: usize,
    /// How many may be.
    pub limit: f64,
    /// Lower bound of its position in the log.
    pub position: Option<Time>,
    /// The part of its capacity that it surely has; `None` once it is warm.
    pub warm: Option<f64>,
}

/// What a router believes, for those who watch it.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct RouterView {
    /// The groups, by number.
    pub groups: Vec<GroupView>,
    /// The nodes, by number.
    pub endpoints: Vec<EndpointView>,
}

/// A member that is shut and has been sent nothing for so long is out of use.
const AVOIDED: Span = Span::from_millis(1_000);

impl Router {
    /// What it believes now, as of its last step.
    #[must_use]
    pub fn view(&self) -> RouterView {
        let groups = self.groups.iter().map(|(id, group)| {
            let writes = |id: &&RequestId| {
                self.open
                    .get(id)
                    .is_some_and(|o| self.cfg.classes[o.class.0].consistency == Consistency::Write)
            };
            GroupView {
                group: *id,
                primary: group.primary,
                known: group.belief.0,
                since: group.belief.1,
                changes: group.belief.2,
                searching: group.search.as_ref().map(|s| s.began),
                queued_writes: group.waiting.iter().filter(writes).count(),
                waiting: group.waiting.len(),
            }
        });
        let endpoints = self.endpoints.iter().map(|(id, endpoint)| EndpointView {
            endpoint: *id,
            group: endpoint.group,
            state: endpoint.state,
            role: self.role_of(*id, endpoint),
            health: match endpoint.health.shut {
                None => EndpointHealth::Healthy,
                Some(Shut::Silent) => EndpointHealth::Unresponsive,
                Some(Shut::OutOfReach) => EndpointHealth::Unreachable,
            },
            in_flight: endpoint.out.len(),
            limit: endpoint.limit,
            position: endpoint.position,
            warm: self.slow_start_fraction(endpoint),
        });
        RouterView {
            groups: groups.collect(),
            endpoints: endpoints.collect(),
        }
    }

    /// Members on the list that are avoided now: they drain, or are shut by this router's own evidence and have been sent
    /// nothing for a while. One that is shut for a moment, or still gets its trials, is in use.
    #[must_use]
    pub fn avoided(&self) -> usize {
        let unused = |n: &Node| n.sent_at.is_none_or(|at| self.now - at >= AVOIDED);
        let shut = |n: &Node| n.health.shut.is_some() && unused(n);
        self.endpoints
            .values()
            .filter(|n| {
                n.state == EndpointState::Draining || n.state == EndpointState::Ready && shut(n)
            })
            .count()
    }

    /// The group's primary is taken for one whatever it said last; others for what they said.
    fn role_of(&self, id: EndpointId, endpoint: &Node) -> Option<Role> {
        let known = self
            .groups
            .get(&endpoint.group)
            .filter(|g| g.known && g.primary == Some(id));
        known
            .map(|_| Role::Primary)
            .or(endpoint.role.map(|(role, _)| role))
    }
}
