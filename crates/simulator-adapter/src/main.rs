#![forbid(unsafe_code)]
#![expect(clippy::too_many_lines, reason = "not yet split and documented")]
//! Puts the decision module on the simulator's wire. It translates and hosts instances; it decides nothing.

mod frames;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;

use frames::{Incoming, Reply};
use valehatch_config::settings;
use valehatch_policy::{Action, EndpointRecord, PolicyEvent, Router, Time};

struct Instance {
    router: Router,
    wire: settings::WireSettings,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u16, Rc<Vec<EndpointRecord>>>,
}

impl Host {
    fn batch(
        &mut self,
        frame: u32,
        now: Time,
        body: &[u8],
        reply: &mut Reply,
    ) -> Result<(), String> {
        let mut who: Option<u32> = None;
        // Instances in the order in which they first act; each gets its events of the batch in one step.
        let mut order: Vec<u32> = Vec::new();
        let mut pending: BTreeMap<u32, Vec<PolicyEvent>> = BTreeMap::new();
        for record in frames::records(frame, body) {
            let (at, code, fields) = record?;
            let bad =
                |what: String| format!("frame {frame}, record at byte {at} (code {code}): {what}");
            let incoming = frames::decode(code, fields).map_err(bad)?;
            match incoming {
                Incoming::At(inst) => who = Some(inst),
                Incoming::Table { number, entries } => {
                    self.tables.insert(number, Rc::new(entries));
                }
                other => {
                    let inst = who.ok_or_else(|| bad("no instance was named before it".into()))?;
                    match other {
                        Incoming::Attach { seed, text } => {
                            pending.remove(&inst);
                            match settings::parse(text).map_err(|e| e.to_string()).and_then(
                                |(settings, wire)| {
                                    let router =
                                        Router::new(settings, seed).map_err(|e| e.to_string())?;
                                    Ok(Instance { router, wire })
                                },
                            ) {
                                Ok(instance) => {
                                    self.instances.insert(inst, instance);
                                    note(&mut order, &mut pending, inst);
                                }
                                Err(text) => {
                                    self.instances.remove(&inst);
                                    reply.fault(inst, &text);
                                }
                            }
                        }
                        Incoming::PowerOff => {
                            self.instances.remove(&inst);
                            pending.remove(&inst);
                        }
                        other => {
                            let Some(instance) = self.instances.get(&inst) else {
                                return Err(bad(format!("instance {inst} was never attached")));
                            };
                            let wire = &instance.wire;
                            if let Some(event) =
                                frames::event(other, wire, &self.tables).map_err(bad)?
                            {
                                note(&mut order, &mut pending, inst).push(event);
                            } else {
                                note(&mut order, &mut pending, inst);
                            }
                        }
                    }
                }
            }
        }
        let mut actions: Vec<Action> = Vec::new();
        for inst in order {
            let (Some(events), Some(instance)) =
                (pending.remove(&inst), self.instances.get_mut(&inst))
            else {
                continue;
            };
            actions.clear();
            let run = catch_unwind(AssertUnwindSafe(|| {
                instance.router.step(now, &events, &mut actions);
            }));
            match run {
                Ok(()) => reply.actions(inst, &actions),
                Err(cause) => {
                    let text = cause
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or_else(|| cause.downcast_ref::<&str>().copied())
                        .unwrap_or("the decision module panicked");
                    self.instances.remove(&inst);
                    reply.fault(inst, text);
                }
            }
        }
        Ok(())
    }
}

fn note<'a>(
    order: &mut Vec<u32>,
    pending: &'a mut BTreeMap<u32, Vec<PolicyEvent>>,
    inst: u32,
) -> &'a mut Vec<PolicyEvent> {
    if !order.contains(&inst) {
        order.push(inst);
    }
    pending.entry(inst).or_default()
}

/// Reads `buf` full. `Ok(false)`: the input ended before its first byte.
fn fill(input: &mut impl Read, buf: &mut [u8], what: &str) -> Result<bool, String> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => {
                return Err(format!(
                    "{what}: the input ended after {got} of {} bytes",
                    buf.len()
                ));
            }
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("{what}: {e}")),
        }
    }
    Ok(true)
}

fn serve() -> Result<(), String> {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut last = None;
    loop {
        let mut header = [0; frames::HEADER];
        let what = last.map_or("header of the first frame".into(), |n| {
            format!("header after frame {n}")
        });
        if !fill(&mut input, &mut header, &what)? {
            return Ok(());
        }
        let (number, length, now) = frames::header(&header)?;
        let mut body = Vec::new();
        let got = input
            .by_ref()
            .take(u64::from(length))
            .read_to_end(&mut body)
            .map_err(|e| e.to_string())?;
        if got < length as usize {
            return Err(format!(
                "frame {number}: the input ended after {got} of {length} bytes of its body"
            ));
        }
        let mut reply = Reply::new(number);
        host.batch(number, now, &body, &mut reply)?;
        output
            .write_all(&reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| e.to_string())?;
        last = Some(number);
    }
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("valehatch-simulator-adapter: {text}");
            ExitCode::from(2)
        }
    }
}
