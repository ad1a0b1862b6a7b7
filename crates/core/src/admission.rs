//! How the admission queue is wired to the decision module.

use crate::prelude::*;

/// How often the door is told what the module has room for, while something waits.
pub(crate) const LOOK_FOR_ROOM: Span = Span::from_millis(5);

impl State {
    /// Lets in what the door says, and refuses what it does not let in.
    pub(crate) fn act_on_verdicts(
        &mut self,
        now: Time,
        told: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        while !self.verdicts.is_empty() {
            for verdict in std::mem::take(&mut self.verdicts) {
                match verdict {
                    AdmissionDecision::Admit(id) => {
                        let Some(held) = self.requests.get_mut(&id) else {
                            continue;
                        };
                        let deadline = held.deadline;
                        told.extend(held.queued.take().map(|request| {
                            let waited = Span((now - held.arrived).0.max(0));
                            let since_last_write = request.since_last_write.map(|ago| ago + waited);
                            let time_left = Span((deadline - now).0.max(1));
                            PolicyEvent::Request(Request {
                                time_left,
                                since_last_write,
                                ..*request
                            })
                        }));
                    }
                    AdmissionDecision::Reject(id, reason, hint) => {
                        let why = match reason {
                            QueueRejection::WaitTooLong => RejectionReason::QueueWaitTooLong,
                            QueueRejection::QueueFull => RejectionReason::QueueFull,
                            QueueRejection::ExpiredInQueue => RejectionReason::QueueTimeout,
                            QueueRejection::StandingQueue => RejectionReason::QueueDelayPersistent,
                        };
                        let answer = FinalAnswer::Rejected {
                            retry_after: hint.retry_after,
                            overloaded: !hint.reserved,
                        };
                        self.answer(now, id, answer, FinalOutcome::Rejected(why), effects);
                    }
                }
            }
        }
    }

    /// While something waits the door is looked after.
    pub(crate) fn wake_door(&mut self, now: Time) {
        if !self.door_due && self.door.as_ref().is_some_and(|door| !door.is_empty()) {
            self.door_due = true;
            self.due.insert((now + LOOK_FOR_ROOM, Due::Admission));
        }
    }

    /// Tells the door what the module has room for: the limits of the members that it can use, and what waits in it.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn look_for_room(&mut self, now: Time) {
        let Some(door) = self
            .door
            .as_mut()
            .filter(|d| !d.is_empty() && now - self.looked >= LOOK_FOR_ROOM)
        else {
            return;
        };
        self.looked = now;
        let view = self.router.view();
        for group in &view.groups {
            let usable = |n: &&valehatch_policy::EndpointView| {
                n.group == group.group
                    && n.state == EndpointState::Ready
                    && n.health == valehatch_policy::EndpointHealth::Healthy
            };
            let room = |primary: bool| -> f64 {
                let own = view
                    .endpoints
                    .iter()
                    .filter(usable)
                    .filter(|n| (group.primary == Some(n.endpoint)) == primary);
                own.map(|n| (n.limit * n.warm.unwrap_or(1.0)).max(1.0).ceil())
                    .sum()
            };
            let (writes, mut reads) = (room(true), room(false));
            if reads == 0.0 {
                reads = writes;
            }
            let searching = group.searching.is_some();
            let write = Capacity {
                limit: writes,
                waiting: group.queued_writes,
                searching,
            };
            let waiting = group.waiting.saturating_sub(group.queued_writes);
            let read = Capacity {
                limit: reads,
                waiting,
                searching: false,
            };
            door.set_capacity(now, group.group, true, write, &mut self.verdicts);
            door.set_capacity(now, group.group, false, read, &mut self.verdicts);
        }
    }
}
