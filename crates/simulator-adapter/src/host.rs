//! Hosts instances of the decision module: processes the records of a frame, steps the instances
//! that the records address, and appends their actions to the reply.
//!
//! State: the running instances and the endpoint tables; the simulator determines how many of each
//! there are. An instance receives all its events of a frame in one step, at the frame's clock.

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

/// Number that the simulator gave to an instance of the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InstanceId(pub(crate) u32);

/// The running instances, and the endpoint tables that all of them share.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<InstanceId, Instance>,
    tables: EndpointTables,
}

impl Host {
    /// Processes the frame's records, then steps each instance that they address.
    ///
    /// # Errors
    /// A record is malformed or not allowed at its position; no instance has been stepped.
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

    /// Applies a record to the instances and tables, or queues its event in the batch.
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

    /// Starts an instance, or reports why the start failed. In both cases a running instance with
    /// this number is removed.
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

    /// Queues an event for its instance. An input that maps to no event still causes a step.
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

    /// Steps the instances of the batch. An instance that panics is removed and its crash reported.
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

/// Events that the records of one frame have queued so far.
#[derive(Default)]
struct Batch {
    /// Instance that the following records address.
    selected: Option<InstanceId>,
    /// Instances in the order of their first record. A stopped instance is not removed, so that it
    /// keeps its position if it starts again in the same frame.
    order: Vec<InstanceId>,
    /// Events by instance; an instance with an entry, even an empty one, is stepped.
    events: BTreeMap<InstanceId, Vec<PolicyEvent>>,
}

impl Batch {
    fn selected(&self) -> Result<InstanceId, RecordError> {
        self.selected.ok_or(RecordError::NoInstanceSelected)
    }

    /// Returns the instance's event list and schedules the instance for a step.
    fn events(&mut self, instance: InstanceId) -> &mut Vec<PolicyEvent> {
        if !self.order.contains(&instance) {
            self.order.push(instance);
        }
        self.events.entry(instance).or_default()
    }

    /// Discards the instance's events; the instance is stepped only if more events follow.
    fn discard_events(&mut self, instance: InstanceId) {
        self.events.remove(&instance);
    }
}

/// A running instance.
struct Instance {
    router: Router,
    /// Wire format of the instance's load reports and sessions.
    wire: WireSettings,
}

impl Instance {
    /// Parses the settings and creates the decision module.
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
        // A panic may leave the router in an inconsistent state. The host then drops the router and
        // never reads the actions, so the inconsistency is not observable.
        let step = AssertUnwindSafe(|| self.router.step(now, events, actions));
        catch_unwind(step).map_err(StepPanic)
    }
}

/// Payload of a panic in the decision module.
struct StepPanic(Box<dyn Any + Send>);

impl StepPanic {
    /// The panic message, or a generic text if the payload is not a string.
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
