//! Where the end of a request is counted.

use crate::prelude::*;

/// A length of time in whole microseconds, none below 0.
pub(crate) fn micros(span: Span) -> u64 {
    u64::try_from(span.0).unwrap_or(0)
}

impl State {
    /// What is counted and written down of a request that is over.
    pub(crate) fn record(
        &self,
        now: Time,
        mut held: Held,
        ending: FinalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if self.facts.trace_requests {
            let request = held.name.clone().unwrap_or_else(|| Arc::from("unnamed"));
            effects.push(Effect::Log(LogEvent::RequestStep {
                request,
                step: RequestStep::RequestEnded(ending),
            }));
        }
        if let Some((member, sent)) = held.out.take() {
            held.tries.push(AttemptRecord {
                endpoint: member,
                outcome: AttemptOutcome::Unfinished,
                duration_us: micros(now - sent),
            });
        }
        let waited = held.first.unwrap_or(now) - held.arrived;
        let (attempts, times) = (held.tries, [waited, now - held.arrived]);
        self.account(
            held.class,
            held.tenant,
            held.group,
            ending,
            attempts,
            times,
            effects,
        );
    }

    /// The same for one that was answered on arrival.
    pub(crate) fn record_unheld(
        &self,
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        ending: FinalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        self.account(class, tenant, group, ending, vec![], [Span(0); 2], effects);
    }

    /// The one place where the end of a request is counted: in the figures at once, and by the ledger, which the agent
    /// shows, from the record that leaves here.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn account(
        &self,
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        ending: FinalOutcome,
        attempts: Vec<AttemptRecord>,
        [waited, total]: [Span; 2],
        effects: &mut Vec<Effect>,
    ) {
        if let Some(figures) = &self.facts.metrics {
            figures.count_final_answer(class, &ending);
        }
        let Some(watched) = &self.facts.observability else {
            return;
        };
        effects.push(Effect::RecordOutcome(Box::new(RequestRecord {
            front: Arc::clone(&watched.front),
            class: Arc::clone(&watched.classes[class]),
            tenant: tenant.and_then(|t| watched.tenants.get(t).cloned()),
            group: group.0,
            outcome: ending,
            attempts,
            queued_us: micros(waited),
            total_us: micros(total),
        })));
    }
}

impl Held {
    pub(crate) fn note_try(&mut self, outcome: Outcome, now: Time) {
        let Some((member, sent)) = self.out.take() else {
            return;
        };
        self.tries.push(AttemptRecord {
            endpoint: member,
            outcome: outcome.into(),
            duration_us: micros(now - sent),
        });
    }
}
