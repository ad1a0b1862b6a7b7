//! What a router believes, read-only: nothing here decides or changes anything.

use super::*;

/// A member that is shut and has been sent nothing for so long is out of use.
const AVOIDED: Span = Span::from_millis(1_000);

impl Router {
    /// What it believes now, as of its last step.
    #[must_use]
    pub fn view(&self) -> View {
        let groups = self.groups.iter().map(|(id, group)| {
            let writes = |id: &&RequestId| {
                self.open.get(id).is_some_and(|o| self.cfg.classes[o.class.0].need == Need::Write)
            };
            GroupView {
                group: *id,
                primary: group.primary,
                known: group.belief.0,
                since: group.belief.1,
                changes: group.belief.2,
                searching: group.search.as_ref().map(|s| s.began),
                writes_held: group.waiting.iter().filter(writes).count(),
                waiting: group.waiting.len(),
            }
        });
        let nodes = self.nodes.iter().map(|(id, node)| NodeView {
            node: *id,
            group: node.group,
            state: node.state,
            role: self.role_of(*id, node),
            reach: match node.reach.shut {
                None => Reachable::Open,
                Some(Shut::Silent) => Reachable::Silent,
                Some(Shut::OutOfReach) => Reachable::OutOfReach,
            },
            in_flight: node.out.len(),
            limit: node.limit,
            position: node.position,
            warm: self.slow_start_fraction(node),
        });
        View { groups: groups.collect(), nodes: nodes.collect() }
    }

    /// Members on the list that are avoided now: they drain, or are shut by this router's own evidence and have been sent
    /// nothing for a while. One that is shut for a moment, or still gets its trials, is in use.
    #[must_use]
    pub fn avoided(&self) -> usize {
        let unused = |n: &Node| n.sent_at.is_none_or(|at| self.now - at >= AVOIDED);
        let shut = |n: &Node| n.reach.shut.is_some() && unused(n);
        self.nodes
            .values()
            .filter(|n| n.state == NodeState::Draining || n.state == NodeState::Ready && shut(n))
            .count()
    }

    /// The group's primary is taken for one whatever it said last; others for what they said.
    fn role_of(&self, id: NodeId, node: &Node) -> Option<Role> {
        let known = self.groups.get(&node.group).filter(|g| g.known && g.primary == Some(id));
        known.map(|_| Role::Primary).or(node.role.map(|(role, _)| role))
    }
}
