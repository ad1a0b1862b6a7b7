//! An agent on two fronts for the tests, and a manager that encodes and decodes messages.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::Instant;

use arc_swap::{ArcSwap, ArcSwapOption};
use valehatch_config::operators::OperatorConfig;
use valehatch_config::snmp::SnmpSettings;
use valehatch_core::{LiveEndpoint, LiveView, OpenCounts};
use valehatch_net::Clock;
use valehatch_policy::*;
use valehatch_snmp::engine::{Engine, Shared, Stats};
use valehatch_snmp::instrumentation::{CoreSnapshot, Front, Instrumentation};
use valehatch_snmp::message::{self, AUTH, Incoming, PRIV, V3Security};
use valehatch_snmp::snapshot::Value;
use valehatch_snmp::usm;
use valehatch_state::PublishedCounters;

pub(crate) const ROOT: [u32; 10] = valehatch_config::snmp::ROOT;
pub(crate) const ENGINE: &str = "80001f8804746573740a";
pub(crate) const PASSWORD: &[u8] = b"a long password";

pub(crate) fn from() -> SocketAddr {
    "127.0.0.1:4000".parse().unwrap()
}

pub(crate) fn keys() -> ([u8; 32], [u8; 16]) {
    // Deriving the key hashes a megabyte, so it is done once.
    static KEY: LazyLock<[u8; 32]> =
        LazyLock::new(|| usm::localize(PASSWORD, &hex::decode(ENGINE).unwrap()));
    (*KEY, KEY[..16].try_into().unwrap())
}

/// The `[snmp]` section with a community, a user with privacy, a user without, and the test's
/// additions.
pub(crate) fn snmp(more: &str) -> SnmpSettings {
    let (auth, privacy) = keys();
    let (auth, privacy) = (hex::encode(auth), hex::encode(privacy));
    let text = format!(
        "[state]\ndir = \"x\"\n[[front]]\nprotocol = \"cassandra\"\nlisten = \"127.0.0.1:1\"\n\
         [[front.member]]\nname = \"m\"\naddress = \"127.0.0.1:2\"\n\
         [snmp]\nlisten = \"127.0.0.1:0\"\nengine-id = \"{ENGINE}\"\n\
         [[snmp.community]]\nname = \"stays\"\n\
         [[snmp.user]]\nname = \"secret\"\nauth-key = \"{auth}\"\npriv-key = \"{privacy}\"\n\
         [[snmp.user]]\nname = \"plain\"\nauth-key = \"{auth}\"\n{more}"
    );
    OperatorConfig::parse(text)
        .unwrap_or_else(|e| panic!("{e:?}"))
        .0
        .snmp
        .unwrap()
}

pub(crate) fn member(n: u32) -> LiveEndpoint {
    LiveEndpoint {
        name: format!("member-{n}").into(),
        address: "10.0.0.1:5432".into(),
        view: EndpointView {
            endpoint: EndpointId(n),
            group: GroupId(0),
            state: EndpointState::Ready,
            role: Some(Role::Replica),
            health: EndpointHealth::Healthy,
            in_flight: 0,
            limit: 8.0,
            position: None,
            warm: None,
        },
    }
}

pub(crate) fn live(members: impl Iterator<Item = u32>) -> LiveView {
    let group = GroupView {
        group: GroupId(0),
        primary: Some(EndpointId(1)),
        known: PrimaryEvidence::Answer,
        since: Time(0),
        changes: 3,
        searching: None,
        queued_writes: 0,
        waiting: 0,
    };
    LiveView {
        taken_at: Time(100_000_000_000),
        groups: vec![group],
        endpoints: members.map(member).collect(),
        request_rates: vec![7],
        open: OpenCounts {
            requests: 1,
            upstream_connections: 2,
            client_connections: 3,
        },
        turns: 9,
        shutting_down: false,
        tenant_queues: vec![],
    }
}

/// An engine on two fronts, `a` and `bb`, with classes `read` and `write` and tenant `acme`.
pub(crate) struct AgentFixture {
    pub engine: Engine,
    pub shared: Arc<Shared>,
    pub core_snapshots: Vec<Arc<ArcSwapOption<CoreSnapshot>>>,
    pub now: i64,
    id: i32,
}

impl AgentFixture {
    pub(crate) fn new(snmp: SnmpSettings, boots: u32, members: u32) -> Self {
        let core_snapshots: Vec<_> = (0..2).map(|_| Arc::new(ArcSwapOption::empty())).collect();
        let front = |(name, core_snapshot): (&str, &Arc<ArcSwapOption<CoreSnapshot>>)| Front {
            name: name.into(),
            protocol: "postgresql",
            listen: "127.0.0.1:5433".into(),
            classes: vec!["write".into(), "read".into()],
            tenants: vec![("acme".into(), 10.0)],
            core_snapshot: Arc::clone(core_snapshot),
        };
        let instrumentation = Instrumentation {
            name: "test".into(),
            version: "0",
            clock: Clock::start(),
            started_at: Instant::now(),
            started_ms: 5,
            fronts: ["bb", "a"]
                .into_iter()
                .zip(&core_snapshots)
                .map(front)
                .collect(),
            counters: Arc::new(ArcSwap::from_pointee(PublishedCounters::default())),
            dropped_records: Arc::default(),
            queued_records: Box::new(|| 0),
        };
        let shared = Arc::new(Shared {
            instrumentation: Arc::new(instrumentation),
            settings: ArcSwap::from_pointee(snmp),
            stats: Stats::default(),
            boots,
            receivers: ArcSwap::default(),
        });
        let engine = Engine::new(Arc::clone(&shared));
        let agent = Self {
            engine,
            shared,
            core_snapshots,
            now: 0,
            id: 0,
        };
        agent.publish(0, live(1..=members));
        agent.publish(1, live(1..=3));
        agent
    }

    pub(crate) fn publish(&self, front: usize, live: LiveView) {
        self.core_snapshots[front].store(Some(Arc::new(CoreSnapshot {
            live,
            queue_length: 0,
        })));
    }

    /// Advances the time beyond the maximum age of the cached snapshot.
    pub(crate) fn advance_past_cache(&mut self) {
        self.now += 20_000;
    }

    pub(crate) fn send_datagram(&mut self, datagram: &[u8]) -> Option<Vec<u8>> {
        self.engine.answer(self.now, from(), datagram)
    }

    pub(crate) fn v2c(&mut self, community: &[u8], pdus: rasn_snmp::v2::Pdus) -> Option<Response> {
        let datagram = message::encode_v2c(community, pdus).unwrap();
        self.send_datagram(&datagram)
            .map(|bytes| Response::read(&bytes))
    }

    pub(crate) fn query(&mut self, operation: Operation, names: &[Vec<u32>]) -> Response {
        self.id += 1;
        self.v2c(b"stays", request(operation, self.id, names))
            .expect("an answer")
    }

    pub(crate) fn get(&mut self, name: &[u32]) -> Value {
        self.advance_past_cache();
        let answer = self.query(Operation::Get, &[name.to_vec()]);
        answer.bindings.into_iter().next().unwrap().1
    }

    /// Walks the subtree `below` by GETBULK; `between` is called after each response.
    pub(crate) fn walk(
        &mut self,
        below: &[u32],
        repetitions: u32,
        mut between: impl FnMut(&mut Self),
    ) -> Vec<(Vec<u32>, Value)> {
        let (mut all, mut last) = (vec![], below.to_vec());
        loop {
            let answer = self.query(Operation::GetBulk(0, repetitions), &[last.clone()]);
            assert!(!answer.bindings.is_empty());
            for (name, value) in answer.bindings {
                if value == Value::EndOfMibView || !name.starts_with(below) {
                    return all;
                }
                assert!(name > last, "{name:?} does not follow {last:?}");
                last.clone_from(&name);
                all.push((name, value));
            }
            between(self);
        }
    }

    /// Sends a v3 message with the sender's security parameters.
    pub(crate) fn v3(
        &mut self,
        with: &V3Sender<'_>,
        pdus: rasn_snmp::v2::Pdus,
    ) -> Option<V3Response> {
        let datagram = with.write(pdus);
        self.send_datagram(&datagram)
            .map(|bytes| V3Response::read(&bytes))
    }
}

#[derive(Clone, Copy)]
pub(crate) enum Operation {
    Get,
    GetNext,
    GetBulk(u32, u32),
    Set,
}

pub(crate) fn request(operation: Operation, id: i32, names: &[Vec<u32>]) -> rasn_snmp::v2::Pdus {
    use rasn_snmp::v2::*;
    let variable_bindings = names
        .iter()
        .map(|n| message::var_bind(n, Value::Integer(0)))
        .collect();
    let pdu = |variable_bindings| Pdu {
        request_id: id,
        error_status: 0,
        error_index: 0,
        variable_bindings,
    };
    match operation {
        Operation::Get => Pdus::GetRequest(GetRequest(pdu(variable_bindings))),
        Operation::GetNext => Pdus::GetNextRequest(GetNextRequest(pdu(variable_bindings))),
        Operation::Set => Pdus::SetRequest(SetRequest(pdu(variable_bindings))),
        Operation::GetBulk(non_repeaters, max_repetitions) => {
            Pdus::GetBulkRequest(GetBulkRequest(BulkPdu {
                request_id: id,
                non_repeaters,
                max_repetitions,
                variable_bindings,
            }))
        }
    }
}

#[derive(Debug)]
pub(crate) struct Response {
    pub id: i32,
    pub error: u32,
    pub index: u32,
    pub bindings: Vec<(Vec<u32>, Value)>,
    pub size: usize,
    pub report: bool,
}

pub(crate) fn value(v: rasn_snmp::v2::VarBindValue) -> Value {
    use rasn_smi::v2::{ApplicationSyntax as A, ObjectSyntax as O, SimpleSyntax as S};
    use rasn_snmp::v2::VarBindValue as V;
    match v {
        V::Value(O::Simple(S::Integer(n))) => Value::Integer(i64::try_from(n).unwrap()),
        V::Value(O::Simple(S::String(s))) => Value::OctetString(s.to_vec()),
        V::Value(O::Simple(S::ObjectId(o))) => Value::ObjectIdentifier(o.to_vec()),
        V::Value(O::ApplicationWide(A::Counter(n))) => Value::Counter32(n.0),
        V::Value(O::ApplicationWide(A::Unsigned(n))) => Value::Gauge32(n.0),
        V::Value(O::ApplicationWide(A::Ticks(n))) => Value::TimeTicks(n.0),
        V::Value(O::ApplicationWide(A::BigCounter(n))) => Value::Counter64(n.0),
        V::NoSuchObject => Value::NoSuchObject,
        V::NoSuchInstance => Value::NoSuchInstance,
        V::EndOfMibView => Value::EndOfMibView,
        other => panic!("{other:?}"),
    }
}

impl Response {
    pub(crate) fn of(pdus: rasn_snmp::v2::Pdus, size: usize) -> Self {
        use rasn_snmp::v2::Pdus;
        let (pdu, report) = match pdus {
            Pdus::Response(r) => (r.0, false),
            Pdus::Report(r) => (r.0, true),
            other => panic!("{other:?}"),
        };
        let bindings = pdu
            .variable_bindings
            .into_iter()
            .map(|b| (b.name.to_vec(), value(b.value)))
            .collect();
        Self {
            id: pdu.request_id,
            error: pdu.error_status,
            index: pdu.error_index,
            bindings,
            size,
            report,
        }
    }

    pub(crate) fn read(bytes: &[u8]) -> Self {
        match message::decode(bytes) {
            Some(Incoming::V2c(_, pdus)) => Self::of(pdus, bytes.len()),
            other => panic!("{other:?}"),
        }
    }
}

/// The header and security parameters of a v3 manager.
#[derive(Clone)]
pub(crate) struct V3Sender<'a> {
    pub user: &'a str,
    pub engine: Vec<u8>,
    pub engine_time: (u32, u32),
    pub auth: Option<[u8; 32]>,
    pub privacy: Option<[u8; 16]>,
    pub context: Vec<u8>,
    pub context_name: &'a str,
    pub reportable: bool,
}

impl V3Sender<'_> {
    pub(crate) fn user(user: &'static str, boots: u32) -> Self {
        let engine = hex::decode(ENGINE).unwrap();
        let (auth, privacy) = keys();
        Self {
            user,
            context: engine.clone(),
            engine,
            engine_time: (boots, 0),
            auth: Some(auth),
            privacy: (user == "secret").then_some(privacy),
            context_name: "",
            reportable: true,
        }
    }

    pub(crate) fn write(&self, pdus: rasn_snmp::v2::Pdus) -> Vec<u8> {
        let security = V3Security {
            id: 77,
            max_size: 65_507,
            reportable: self.reportable,
            engine: &self.engine,
            engine_time: self.engine_time,
            user: self.user.as_bytes(),
            auth: self.auth.as_ref(),
            privacy: self.privacy.as_ref().map(|key| (key, [9; 8])),
        };
        message::encode_v3(&security, &self.context, self.context_name.as_bytes(), pdus).unwrap()
    }
}

/// A v3 response or report, decrypted, its digest checked if it has one.
#[derive(Debug)]
pub(crate) struct V3Response {
    pub flags: u8,
    pub engine_time: (u32, u32),
    pub engine: Vec<u8>,
    pub answer: Response,
}

impl V3Response {
    pub(crate) fn read(bytes: &[u8]) -> Self {
        let Some(Incoming::V3(secured)) = message::decode(bytes) else {
            panic!("{bytes:?}")
        };
        assert_eq!(secured.id, 77);
        let (auth, privacy) = keys();
        if secured.flags & AUTH != 0 {
            assert!(message::has_valid_digest(bytes, &secured.digest, &auth));
        }
        let key = (secured.flags & PRIV != 0).then_some(&privacy);
        let scoped = message::scoped_pdu(&secured, key).expect("a scoped PDU");
        let answer = Response::of(scoped.data, bytes.len());
        Self {
            flags: secured.flags,
            engine_time: secured.engine_time,
            engine: secured.engine.clone(),
            answer,
        }
    }
}
