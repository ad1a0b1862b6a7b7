//! The endpoint list.

use crate::prelude::*;

impl State {
    pub(crate) fn on_list(
        &mut self,
        complete: bool,
        members: Vec<ListedEndpoint>,
        effects: &mut Vec<Effect>,
    ) -> PolicyEvent {
        let mut entries: Vec<EndpointRecord> = vec![];
        for ListedEndpoint {
            record: entry,
            name,
            address,
        } in members
        {
            // A draining member gets nothing new: what stands open to it unused is given back at once.
            // One that listens elsewhere now is not reached over what was open to where it was.
            let moved = self
                .members
                .get(&entry.endpoint)
                .is_some_and(|(_, old)| *old != address);
            if entry.state != EndpointState::Ready || moved {
                self.close_idle(entry.endpoint, effects);
            }
            if entry.state == EndpointState::Ready {
                self.ready.insert(entry.endpoint);
            } else {
                self.ready.remove(&entry.endpoint);
            }
            if entry.state == EndpointState::Removed {
                self.members.remove(&entry.endpoint);
            } else {
                self.members.insert(entry.endpoint, (name, address));
            }
            entries.push(entry);
        }
        if complete {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            for endpoint in self
                .members
                .keys()
                .copied()
                .filter(|n| !named.contains(n))
                .collect::<Vec<_>>()
            {
                self.close_idle(endpoint, effects);
                self.members.remove(&endpoint);
                self.ready.remove(&endpoint);
            }
        }
        PolicyEvent::EndpointList { complete, entries }
    }

    pub(crate) fn endpoint_name(&self, endpoint: EndpointId) -> Arc<str> {
        self.members.get(&endpoint).map_or_else(
            || Arc::from(format!("#{}", endpoint.0)),
            |(name, _)| Arc::clone(name),
        )
    }
}
