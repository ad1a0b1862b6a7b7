//! Frames and records of the wire, to events and from actions.

use std::collections::BTreeMap;
use std::rc::Rc;

use valehatch_policy::{
    Action, AttemptEnd, ClassId, EndpointId, EndpointRecord, EndpointState, GroupId, KindId,
    LoadReport, Outcome, PolicyEvent, Request, RequestId, Role, SessionKey, Span, TenantId, Time,
    ZoneId,
};

use valehatch_config::settings::{WireSettings, ms_to_micros};

pub(crate) const HEADER: usize = 16;

struct Cursor<'a> {
    left: &'a [u8],
}

impl<'a> Cursor<'a> {
    fn bytes(&mut self, n: usize, what: &str) -> Result<&'a [u8], String> {
        if n > self.left.len() {
            return Err(format!(
                "{what} needs {n} bytes, {} are left",
                self.left.len()
            ));
        }
        let (head, tail) = self.left.split_at(n);
        self.left = tail;
        Ok(head)
    }
    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.bytes(N, what)?);
        Ok(out)
    }
    fn u8(&mut self, what: &str) -> Result<u8, String> {
        self.array::<1>(what).map(|b| b[0])
    }
    fn u16(&mut self, what: &str) -> Result<u16, String> {
        self.array(what).map(u16::from_be_bytes)
    }
    fn u32(&mut self, what: &str) -> Result<u32, String> {
        self.array(what).map(u32::from_be_bytes)
    }
    fn u64(&mut self, what: &str) -> Result<u64, String> {
        self.array(what).map(u64::from_be_bytes)
    }
    fn f32(&mut self, what: &str) -> Result<f64, String> {
        finite(self.array(what).map(f32::from_be_bytes)?.into(), what)
    }
    fn f64(&mut self, what: &str) -> Result<f64, String> {
        finite(self.array(what).map(f64::from_be_bytes)?, what)
    }
}

fn finite(value: f64, what: &str) -> Result<f64, String> {
    if value.is_finite() {
        Ok(value)
    } else {
        Err(format!("{what} is {value}"))
    }
}

/// Number, length of the body and clock of a batch.
pub(crate) fn header(bytes: &[u8; HEADER]) -> Result<(u32, u32, Time), String> {
    let mut c = Cursor { left: bytes };
    let number = c.u32("number")?;
    let length = c.u32("length")?;
    let clock = c.f64("clock").map_err(|e| format!("frame {number}: {e}"))?;
    Ok((number, length, Time(ms_to_micros(clock))))
}

/// The records of a body: place, code and fields.
pub(crate) fn records(
    frame: u32,
    body: &[u8],
) -> impl Iterator<Item = Result<(usize, u8, &[u8]), String>> {
    let mut at = 0;
    std::iter::from_fn(move || {
        if at >= body.len() {
            return None;
        }
        let here = at;
        let mut c = Cursor { left: &body[at..] };
        let mut take = || {
            let code = c.u8("a record's code")?;
            let len = c.u32("a record's length")? as usize;
            Ok((here, code, c.bytes(len, "a record's fields")?))
        };
        let got = take().map_err(|e: String| format!("frame {frame}, record at byte {here}: {e}"));
        at = got
            .as_ref()
            .map_or(body.len(), |(_, _, fields)| here + 5 + fields.len());
        Some(got)
    })
}

pub(crate) enum Incoming<'a> {
    At(u32),
    Attach {
        seed: u64,
        text: &'a str,
    },
    PowerOff,
    Table {
        number: u16,
        entries: Vec<EndpointRecord>,
    },
    Update {
        kind: u8,
        table: u16,
    },
    Ask {
        request: Box<Request>,
        wrote_ms_ago: f64,
        has_work: bool,
        work_ms: f64,
        tenant: u32,
        key: u64,
    },
    UnderWay(RequestId),
    Completed {
        end: Box<AttemptEnd>,
        mark: u32,
        metrics: Vec<f64>,
    },
    Aborted(RequestId),
    Wake(u64),
    StatusBack {
        endpoint: EndpointId,
        latency: Span,
        outcome: Outcome,
        metrics: Vec<f64>,
    },
    PeerData,
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Ok,
        204 => Outcome::Misdirected,
        408 => Outcome::Timeout,
        409 => Outcome::NotSent,
        429 => Outcome::Rejected,
        444 => Outcome::Cancelled,
        502 => Outcome::Error,
        520 => Outcome::Reset,
        521 => Outcome::ConnectFailed,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn metrics(c: &mut Cursor<'_>) -> Result<Vec<f64>, String> {
    let n = c.u8("metrics count")?;
    (0..n).map(|_| c.f32("metrics")).collect()
}

fn entry(c: &mut Cursor<'_>) -> Result<EndpointRecord, String> {
    let launched = c.f64("launched-ms")?;
    Ok(EndpointRecord {
        started: (launched > 0.0).then(|| Time(ms_to_micros(launched))),
        endpoint: EndpointId(c.u32("node")?),
        weight: c.f32("nominal")?,
        zone: ZoneId(c.u8("zone")?),
        primary: c.f32("primary")? > 0.0,
        state: match c.u8("stage-state")? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => return Err(format!("unknown stage-state {other}")),
        },
        kind: KindId(c.u8("kind")?),
        group: GroupId(c.u16("db")?),
    })
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn decode(code: u8, fields: &[u8]) -> Result<Incoming<'_>, String> {
    let mut c = Cursor { left: fields };
    let incoming = match code {
        1 => {
            let seed = c.u64("salt")?;
            let n = c.u32("settings length")? as usize;
            let text = std::str::from_utf8(c.bytes(n, "settings")?)
                .map_err(|e| format!("settings: {e}"))?;
            Incoming::Attach { seed, text }
        }
        2 => {
            let kind = c.u8("kind")?;
            let _generation = c.u64("gen")?;
            Incoming::Update {
                kind,
                table: c.u16("buffer")?,
            }
        }
        3 => {
            let id = RequestId(c.u64("req")?);
            let key = c.u64("client-key")?;
            let left = c.f64("time-left-ms")?;
            let group = c.f32("cluster-no")?;
            let work_ms = c.f64("predicted-ms")?;
            let class = c.u8("profile")?;
            let tenant = c.u32("account")?;
            let marks = c.u16("marks")?;
            let wrote_ms_ago = c.f32("wrote-ms-ago")?;
            let request = Box::new(Request {
                id,
                session: None,
                time_left: Span(ms_to_micros(left)),
                group: GroupId(group as u16),
                class: ClassId(class.into()),
                tenant: None,
                work: None,
                is_client_retry: marks & 2 != 0,
                since_last_write: None,
            });
            Incoming::Ask {
                request,
                wrote_ms_ago,
                has_work: marks & 1 != 0,
                work_ms,
                tenant,
                key,
            }
        }
        4 => {
            let id = RequestId(c.u64("req")?);
            c.f64("cost-time-ms")?;
            c.u16("n")?;
            c.u32("node")?;
            Incoming::UnderWay(id)
        }
        5 => {
            let request = RequestId(c.u64("req")?);
            let attempt = c.u16("n")?.into();
            let mark = c.u32("mark")?;
            let endpoint = EndpointId(c.u32("node")?);
            let request_ended = c.u8("closed")? != 0;
            let outcome = outcome(c.u16("result")?)?;
            let latency = Span(ms_to_micros(c.f64("cost-time-ms")?));
            let metrics = metrics(&mut c)?;
            let end = Box::new(AttemptEnd {
                request,
                attempt,
                endpoint,
                outcome,
                request_ended,
                latency,
                role: None,
                position: None,
                report: None,
            });
            Incoming::Completed { end, mark, metrics }
        }
        6 => Incoming::Aborted(RequestId(c.u64("req")?)),
        7 => Incoming::Wake(c.u64("ctx")?),
        8 => {
            let endpoint = EndpointId(c.u32("node")?);
            let latency = Span(ms_to_micros(c.f64("cost-time-ms")?));
            let outcome = outcome(c.u16("result")?)?;
            Incoming::StatusBack {
                endpoint,
                latency,
                outcome,
                metrics: metrics(&mut c)?,
            }
        }
        9 => {
            c.u16("author")?;
            let n = c.u16("msg length")?.into();
            c.bytes(n, "msg")?;
            Incoming::PeerData
        }
        10 => Incoming::PowerOff,
        11 => {
            let number = c.u16("buffer")?;
            let n = c.u32("rows")?;
            Incoming::Table {
                number,
                entries: (0..n).map(|_| entry(&mut c)).collect::<Result<_, _>>()?,
            }
        }
        12 => Incoming::At(c.u32("who")?),
        _ => return Err("unknown code".into()),
    };
    if c.left.is_empty() {
        Ok(incoming)
    } else {
        Err(format!("{} bytes too many", c.left.len()))
    }
}

/// A load report of the wire, where positions are seconds after the settings' zero.
#[allow(clippy::cast_possible_truncation)]
fn report(wire: &WireSettings, metrics: &[f64]) -> Option<LoadReport> {
    wire.report(metrics, |seconds| {
        wire.position_zero + Span((seconds * 1e6).floor() as i64)
    })
}

/// The module's event for what came in; `None` for what it has no use for.
pub(crate) fn event(
    incoming: Incoming<'_>,
    wire: &WireSettings,
    tables: &BTreeMap<u16, Rc<Vec<EndpointRecord>>>,
) -> Result<Option<PolicyEvent>, String> {
    Ok(Some(match incoming {
        Incoming::Update { kind: 1, .. } => PolicyEvent::DiscoveryFailed,
        Incoming::Update { kind, table } => PolicyEvent::EndpointList {
            complete: match kind {
                0 | 3 => true,
                2 => false,
                other => return Err(format!("unknown kind of list {other}")),
            },
            entries: tables
                .get(&table)
                .ok_or_else(|| format!("no table {table} was sent"))?
                .to_vec(),
        },
        Incoming::Ask {
            mut request,
            wrote_ms_ago,
            has_work,
            work_ms,
            tenant,
            key,
        } => {
            if request.class.0 >= wire.classes {
                return Err(format!(
                    "class {} is not among the {} known",
                    request.class.0, wire.classes
                ));
            }
            request.session = (key != 0).then_some(SessionKey(key));
            request.work = has_work.then_some(Span(ms_to_micros(work_ms)));
            request.since_last_write = (wire.client_provided_sessions && wrote_ms_ago > 0.0)
                .then_some(Span(ms_to_micros(wrote_ms_ago)));
            request.tenant =
                ((tenant as usize) < wire.tenants).then_some(TenantId(tenant as usize));
            PolicyEvent::Request(*request)
        }
        Incoming::UnderWay(id) => PolicyEvent::ResponseStarted(id),
        Incoming::Completed {
            mut end,
            mark,
            metrics,
        } => {
            end.role = match mark % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            };
            end.position =
                (mark >= 4).then(|| wire.position_zero + Span(i64::from(mark / 4) * 1000));
            end.report = report(wire, &metrics);
            PolicyEvent::AttemptEnded(*end)
        }
        Incoming::Aborted(id) => PolicyEvent::ClientDisconnected(id),
        Incoming::Wake(token) => PolicyEvent::Timer(token),
        Incoming::StatusBack {
            endpoint,
            latency,
            outcome,
            metrics,
        } => PolicyEvent::HealthCheckEnded {
            endpoint,
            outcome,
            latency,
            report: report(wire, &metrics),
        },
        Incoming::PeerData => return Ok(None),
        Incoming::At(_) | Incoming::Attach { .. } | Incoming::PowerOff | Incoming::Table { .. } => {
            return Err("out of place".into());
        }
    }))
}

/// A reply under construction.
pub(crate) struct Reply {
    number: u32,
    count: u32,
    body: Vec<u8>,
}

#[allow(clippy::cast_precision_loss)]
fn millis(us: i64) -> [u8; 8] {
    (us as f64 / 1000.0).to_be_bytes()
}

impl Reply {
    pub(crate) const fn new(number: u32) -> Self {
        Self {
            number,
            count: 0,
            body: Vec::new(),
        }
    }

    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let len: usize = parts.iter().map(|p| p.len()).sum();
        self.body.push(code);
        self.body
            .extend_from_slice(&u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes());
        for part in parts {
            self.body.extend_from_slice(part);
        }
        self.count += 1;
    }

    fn of(&mut self, inst: u32) {
        self.record(66, &[&inst.to_be_bytes()]);
    }

    /// A crash report for an instance.
    pub(crate) fn fault(&mut self, inst: u32, text: &str) {
        self.of(inst);
        let mut end = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let len = u16::try_from(end).unwrap_or(0).to_be_bytes();
        self.record(71, &[&len, &text.as_bytes()[..end]]);
    }

    /// The actions of an instance.
    pub(crate) fn actions(&mut self, inst: u32, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.of(inst);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    endpoint,
                    timeout,
                    ..
                } => {
                    let wait = millis(timeout.map_or(0, |t| t.0));
                    self.record(
                        70,
                        &[&request.0.to_be_bytes(), &endpoint.0.to_be_bytes(), &wait],
                    );
                }
                Action::Cancel { request, attempt } => {
                    let n = u16::try_from(*attempt).unwrap_or(u16::MAX).to_be_bytes();
                    self.record(77, &[&request.0.to_be_bytes(), &n]);
                }
                Action::Reject {
                    request,
                    retry_after,
                    ..
                } => {
                    let wait = millis(retry_after.map_or(0, |t| t.0));
                    self.record(72, &[&request.0.to_be_bytes(), &wait]);
                }
                Action::Fail { request, .. } => self.record(68, &[&request.0.to_be_bytes()]),
                Action::HealthCheck { endpoint } => self.record(69, &[&endpoint.0.to_be_bytes()]),
                Action::RefreshEndpointList => self.record(73, &[&[1]]),
                Action::SetTimer { at, token } => {
                    self.record(76, &[&millis(at.0), &token.to_be_bytes()]);
                }
            }
        }
    }

    /// The whole frame.
    pub(crate) fn finish(self) -> Vec<u8> {
        let mut out = Vec::with_capacity(12 + self.body.len());
        out.extend_from_slice(&self.number.to_be_bytes());
        out.extend_from_slice(
            &u32::try_from(self.body.len())
                .unwrap_or(u32::MAX)
                .to_be_bytes(),
        );
        out.extend_from_slice(&self.count.to_be_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}
