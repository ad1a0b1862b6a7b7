//! Hosts instances of the decision module: takes in the records of a frame, steps the instances
//! that they are for, and appends what comes back to the reply.
//!
//! State: the running instances and the endpoint tables, as many as the simulator makes. Each
//! instance gets its events of a frame in one step, at the frame's clock.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use valehatch_config::settings::{self, WireSettings};
use valehatch_policy::{Action, PolicyEvent, Router, Time};

use crate::decode::{EventInput, Input, decode};
use crate::encode::{push_actions, push_crash_report};
use crate::error::{AdapterError, RecordError, StartError};
use crate::event::{EndpointTables, policy_event};
use crate::frame::{Frame, Record, Reply};

/// An instance of the decision module, as the simulator numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InstanceId(pub(crate) u32);

/// The running instances, and the endpoint tables that all of them share.
#[derive(Default)]
pub(crate) struct Host {
    /// The running instances.
    instances: BTreeMap<InstanceId, Instance>,
    /// The endpoint tables.
    tables: EndpointTables,
}

impl Host {
    /// Takes in the frame's records, then steps each instance that they are for.
    ///
    /// # Errors
    /// A record is malformed or not allowed where it stands; no instance has been stepped.
    pub(crate) fn on_frame(
        &mut self,
        frame: &Frame,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let mut batch = Batch::default();
        for record in frame.records() {
            let record = record?;
            self.on_record(&record, &mut batch, reply)
                .map_err(|source| AdapterError::Record {
                    frame: frame.number,
                    offset: record.offset,
                    code: record.code,
                    source,
                })?;
        }
        self.step_instances(frame.now, batch, reply);
        Ok(())
    }

    /// Takes in a record.
    fn on_record(
        &mut self,
        record: &Record<'_>,
        batch: &mut Batch,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        match decode(record.code, record.fields)? {
            Input::SelectInstance(instance) => batch.selected = Some(instance),
            Input::EndpointTable(table) => {
                self.tables.insert(table.number, table.entries);
            }
            Input::Attach { seed, settings } => {
                let instance = batch.selected()?;
                self.on_attach(instance, seed, settings, batch, reply);
            }
            Input::Stop => {
                let instance = batch.selected()?;
                self.instances.remove(&instance);
                batch.discard_events(instance);
            }
            Input::Event(input) => {
                let instance = batch.selected()?;
                self.on_event(instance, input, batch)?;
            }
        }
        Ok(())
    }

    /// Starts an instance, or reports why it does not start. Either way one that ran is removed.
    fn on_attach(
        &mut self,
        id: InstanceId,
        seed: u64,
        settings: &str,
        batch: &mut Batch,
        reply: &mut Reply,
    ) {
        batch.discard_events(id);
        match Instance::start(seed, settings) {
            Ok(instance) => {
                self.instances.insert(id, instance);
                batch.events(id);
            }
            Err(error) => {
                self.instances.remove(&id);
                push_crash_report(reply, id, &error.to_string());
            }
        }
    }

    /// Queues an event for its instance. An input without an event still makes the instance step.
    fn on_event(
        &self,
        id: InstanceId,
        input: EventInput,
        batch: &mut Batch,
    ) -> Result<(), RecordError> {
        let Some(instance) = self.instances.get(&id) else {
            return Err(RecordError::NotAttached(id));
        };
        let event = policy_event(input, &instance.wire, &self.tables)?;
        batch.events(id).extend(event);
        Ok(())
    }

    /// Steps the instances of the batch; one that panics is removed and its crash reported.
    fn step_instances(&mut self, now: Time, mut batch: Batch, reply: &mut Reply) {
        let mut actions = Vec::new();
        for id in batch.order {
            let Some(events) = batch.events.remove(&id) else {
                continue;
            };
            let Some(instance) = self.instances.get_mut(&id) else {
                continue;
            };
            actions.clear();
            match instance.step(now, &events, &mut actions) {
                Ok(()) => push_actions(reply, id, &actions),
                Err(panic) => {
                    self.instances.remove(&id);
                    push_crash_report(reply, id, panic.message());
                }
            }
        }
    }
}

/// What the records of one frame have queued so far.
#[derive(Default)]
struct Batch {
    /// The instance that records are for.
    selected: Option<InstanceId>,
    /// Instances in the order of their first record. One that stopped stays, to keep its turn if it
    /// starts again.
    order: Vec<InstanceId>,
    /// Events of the instances that will be stepped.
    events: BTreeMap<InstanceId, Vec<PolicyEvent>>,
}

impl Batch {
    /// The selected instance.
    fn selected(&self) -> Result<InstanceId, RecordError> {
        self.selected.ok_or(RecordError::NoInstanceSelected)
    }

    /// The instance's events; from now on it will be stepped.
    fn events(&mut self, instance: InstanceId) -> &mut Vec<PolicyEvent> {
        if !self.order.contains(&instance) {
            self.order.push(instance);
        }
        self.events.entry(instance).or_default()
    }

    /// Drops the instance's events; it will not be stepped unless it gets others.
    fn discard_events(&mut self, instance: InstanceId) {
        self.events.remove(&instance);
    }
}

/// A running instance.
struct Instance {
    /// The decision module.
    router: Router,
    /// How its load reports and sessions look on the wire.
    wire: WireSettings,
}

impl Instance {
    /// Starts an instance with these settings.
    fn start(seed: u64, settings: &str) -> Result<Self, StartError> {
        let (settings, wire) = settings::parse(settings).map_err(StartError::Text)?;
        let router = Router::new(settings, seed).map_err(StartError::Settings)?;
        Ok(Self { router, wire })
    }

    /// Steps the decision module. After a panic the instance must not be used again.
    fn step(
        &mut self,
        now: Time,
        events: &[PolicyEvent],
        actions: &mut Vec<Action>,
    ) -> Result<(), StepPanic> {
        // A panic may leave the router half changed. The host drops it then, and never reads the
        // actions, so no broken invariant is seen.
        let step = AssertUnwindSafe(|| self.router.step(now, events, actions));
        catch_unwind(step).map_err(StepPanic)
    }
}

/// A panic of the decision module.
struct StepPanic(Box<dyn Any + Send>);

impl StepPanic {
    /// Its message.
    fn message(&self) -> &str {
        if let Some(message) = self.0.downcast_ref::<String>() {
            return message;
        }
        self.0
            .downcast_ref::<&str>()
            .copied()
            .unwrap_or("the decision module panicked")
    }
}
