//! Messages of SNMP v2c (RFC 1901, RFC 3416) and v3 (RFC 3412), by rasn: from bytes to what is asked, and back.

use rasn::types::{Integer, ObjectIdentifier, OctetString};
use rasn_smi::v1::{Counter, Gauge, TimeTicks};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
use rasn_snmp::v2::{self, Pdu, Pdus, VarBind, VarBindValue};
use rasn_snmp::v2c;
use rasn_snmp::v3::{HeaderData, Message, ScopedPdu, ScopedPduData, USMSecurityParameters};

use crate::picture::{Oid, Value};
use crate::usm::{self, DIGEST};

/// msgFlags (RFC 3412, section 6.4).
pub const AUTH: u8 = 1;
/// The message is encrypted.
pub const PRIV: u8 = 2;
/// A report may be sent back.
pub const REPORTABLE: u8 = 4;

/// What a request asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// These instances.
    Get,
    /// The ones behind these names.
    Next,
    /// Many behind them: non-repeaters and repetitions.
    Bulk(u32, u32),
    /// To be changed.
    Set,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// What is asked.
    pub verb: Verb,
    /// Its number.
    pub id: i32,
    /// Of what.
    pub names: Vec<Oid>,
}

/// What a PDU is to an agent.
#[derive(Debug)]
pub enum Said {
    /// A request.
    Request(Request),
    /// An answer: its number and its error status.
    Response(i32, u32),
    /// A report: the first name that it has.
    Report(Option<Oid>),
    /// Something that nobody here waits for.
    Other,
}

fn names(list: Vec<VarBind>) -> Vec<Oid> {
    list.into_iter().map(|b| b.name.to_vec()).collect()
}

/// What a PDU says.
#[must_use]
pub fn said(pdus: Pdus) -> Said {
    let request = |verb, id, list| {
        Said::Request(Request {
            verb,
            id,
            names: names(list),
        })
    };
    match pdus {
        Pdus::GetRequest(v2::GetRequest(p)) => {
            request(Verb::Get, p.request_id, p.variable_bindings)
        }
        Pdus::GetNextRequest(v2::GetNextRequest(p)) => {
            request(Verb::Next, p.request_id, p.variable_bindings)
        }
        Pdus::SetRequest(v2::SetRequest(p)) => {
            request(Verb::Set, p.request_id, p.variable_bindings)
        }
        Pdus::GetBulkRequest(v2::GetBulkRequest(p)) => request(
            Verb::Bulk(p.non_repeaters, p.max_repetitions),
            p.request_id,
            p.variable_bindings,
        ),
        Pdus::Response(v2::Response(p)) => Said::Response(p.request_id, p.error_status),
        Pdus::Report(v2::Report(p)) => Said::Report(names(p.variable_bindings).into_iter().next()),
        Pdus::InformRequest(_) | Pdus::Trap(_) => Said::Other,
    }
}

/// The request id of a PDU, where it has one.
#[must_use]
pub const fn request_id(pdus: &Pdus) -> i32 {
    match pdus {
        Pdus::GetRequest(v2::GetRequest(p))
        | Pdus::GetNextRequest(v2::GetNextRequest(p))
        | Pdus::SetRequest(v2::SetRequest(p)) => p.request_id,
        Pdus::GetBulkRequest(v2::GetBulkRequest(p)) => p.request_id,
        _ => 0,
    }
}

fn oid(name: &[u32]) -> ObjectIdentifier {
    ObjectIdentifier::new(name.to_vec())
        .unwrap_or_else(|| ObjectIdentifier::new_unchecked(vec![0, 0].into()))
}

/// A name with its value.
#[must_use]
pub fn binding(name: &[u32], value: Value) -> VarBind {
    let simple = |s| VarBindValue::Value(ObjectSyntax::Simple(s));
    let wide = |a| VarBindValue::Value(ObjectSyntax::ApplicationWide(a));
    let value = match value {
        Value::Integer(n) => simple(SimpleSyntax::Integer(n.into())),
        Value::Bytes(bytes) => simple(SimpleSyntax::String(bytes.into())),
        Value::Name(name) => simple(SimpleSyntax::ObjectId(oid(&name))),
        Value::Counter32(n) => wide(ApplicationSyntax::Counter(Counter(n))),
        Value::Gauge(n) => wide(ApplicationSyntax::Unsigned(Gauge(n))),
        Value::Ticks(n) => wide(ApplicationSyntax::Ticks(TimeTicks(n))),
        Value::Counter64(n) => wide(ApplicationSyntax::BigCounter(Counter64(n))),
        Value::NoSuchObject => VarBindValue::NoSuchObject,
        Value::NoSuchInstance => VarBindValue::NoSuchInstance,
        Value::EndOfView => VarBindValue::EndOfMibView,
    };
    VarBind {
        name: oid(name),
        value,
    }
}

/// Bytes that a binding takes at the most, its own head included.
#[must_use]
pub fn room(name: &[u32], value: &Value) -> usize {
    let arcs = |name: &[u32]| -> usize {
        name.iter()
            .map(|arc| (38 - arc.leading_zeros() as usize).div_ceil(7).max(1))
            .sum::<usize>()
            + 4
    };
    let value = match value {
        Value::Bytes(bytes) => bytes.len() + 4,
        Value::Name(name) => arcs(name),
        _ => 11,
    };
    arcs(name) + value + 4
}

/// A response.
#[must_use]
pub fn response(
    id: i32,
    error_status: u32,
    error_index: u32,
    variable_bindings: Vec<VarBind>,
) -> Pdus {
    Pdus::Response(v2::Response(Pdu {
        request_id: id,
        error_status,
        error_index,
        variable_bindings,
    }))
}

/// A report of one counter.
#[must_use]
pub fn report(id: i32, name: &[u32], count: u32) -> Pdus {
    let variable_bindings = vec![binding(name, Value::Counter32(count))];
    Pdus::Report(v2::Report(Pdu {
        request_id: id,
        error_status: 0,
        error_index: 0,
        variable_bindings,
    }))
}

/// A notification.
#[must_use]
pub fn notification(inform: bool, id: i32, variable_bindings: Vec<VarBind>) -> Pdus {
    let pdu = Pdu {
        request_id: id,
        error_status: 0,
        error_index: 0,
        variable_bindings,
    };
    if inform {
        Pdus::InformRequest(v2::InformRequest(pdu))
    } else {
        Pdus::Trap(v2::Trap(pdu))
    }
}

/// A message as it came.
#[derive(Debug)]
pub enum Incoming {
    /// v2c: its community.
    V2c(Vec<u8>, Pdus),
    /// v3.
    V3(Box<Secured>),
    /// Of a version that is not spoken.
    Version(i64),
}

/// A v3 message, not checked yet.
#[derive(Debug)]
pub struct Secured {
    /// msgID.
    pub id: i32,
    /// The longest answer that the sender takes.
    pub max_size: usize,
    /// msgFlags.
    pub flags: u8,
    /// msgSecurityModel.
    pub model: i64,
    /// The authoritative engine, and its boots and time as the sender knows them.
    pub engine: Vec<u8>,
    /// Boots and time.
    pub window: (u32, u32),
    /// The user.
    pub user: Vec<u8>,
    /// The digest.
    pub digest: Vec<u8>,
    /// The salt.
    pub salt: Vec<u8>,
    /// What it says.
    pub data: ScopedPduData,
}

fn number<T: TryFrom<i64>>(n: &Integer) -> Option<T> {
    i64::try_from(n.clone())
        .ok()
        .and_then(|n| T::try_from(n).ok())
}

/// Reads a message; `None` where it is none, or where anything in it is out of its range.
#[must_use]
pub fn read(datagram: &[u8]) -> Option<Incoming> {
    if let Ok(message) = rasn::ber::decode::<v2c::Message<Pdus>>(datagram) {
        return Some(match number::<i64>(&message.version)? {
            1 => Incoming::V2c(message.community.to_vec(), message.data),
            other => Incoming::Version(other),
        });
    }
    let message = rasn::ber::decode::<Message>(datagram).ok()?;
    let version = number::<i64>(&message.version)?;
    if version != 3 {
        return Some(Incoming::Version(version));
    }
    let head = &message.global_data;
    let model = number::<i64>(&head.security_model)?;
    let [flags] = head.flags.as_ref() else {
        return None;
    };
    let parameters = rasn::ber::decode::<USMSecurityParameters>(&message.security_parameters);
    // Parameters of another model need not be these.
    let parameters = match parameters {
        Ok(parameters) => parameters,
        Err(_) if model != 3 => USMSecurityParameters {
            authoritative_engine_id: OctetString::default(),
            authoritative_engine_boots: 0.into(),
            authoritative_engine_time: 0.into(),
            user_name: OctetString::default(),
            authentication_parameters: OctetString::default(),
            privacy_parameters: OctetString::default(),
        },
        Err(_) => return None,
    };
    let small = |n: &Integer| number::<i32>(n).and_then(|n| u32::try_from(n).ok());
    let user = parameters.user_name.to_vec();
    Some(Incoming::V3(Box::new(Secured {
        id: number::<i32>(&head.message_id).filter(|n| *n >= 0)?,
        max_size: number::<i32>(&head.max_size)
            .filter(|n| *n >= 484)
            .and_then(|n| usize::try_from(n).ok())?,
        flags: *flags,
        model,
        engine: parameters.authoritative_engine_id.to_vec(),
        window: (
            small(&parameters.authoritative_engine_boots)?,
            small(&parameters.authoritative_engine_time)?,
        ),
        user: (user.len() <= 32).then_some(user)?,
        digest: parameters.authentication_parameters.to_vec(),
        salt: parameters.privacy_parameters.to_vec(),
        data: message.scoped_data,
    })))
}

/// Where a digest of these bytes stands in a message: behind its tag and its length.
fn place_of_digest(message: &[u8], digest: &[u8]) -> Option<usize> {
    let head = [4, u8::try_from(DIGEST).ok()?];
    let wanted = [&head[..], digest].concat();
    message
        .windows(wanted.len())
        .position(|w| w == wanted)
        .map(|at| at + head.len())
}

/// Whether a message's digest is right, for a user's key.
#[must_use]
pub fn authentic(
    datagram: &[u8],
    digest: &[u8],
    key: &[u8; valehatch_config::snmp::AUTH_KEY],
) -> bool {
    if digest.len() != DIGEST {
        return false;
    }
    let Some(place) = place_of_digest(datagram, digest) else {
        return false;
    };
    let mut blank = datagram.to_vec();
    blank[place..place + DIGEST].fill(0);
    usm::authentic(key, &blank, digest)
}

/// The scoped PDU of a message, decrypted where it is encrypted; `None` where it cannot be.
#[must_use]
pub fn scoped(
    secured: &Secured,
    key: Option<&[u8; valehatch_config::snmp::PRIV_KEY]>,
) -> Option<ScopedPdu> {
    match (&secured.data, key) {
        (ScopedPduData::CleartextPdu(pdu), None) => Some(pdu.clone()),
        (ScopedPduData::EncryptedPdu(bytes), Some(key)) => {
            let salt = <[u8; 8]>::try_from(secured.salt.as_slice()).ok()?;
            let mut bytes = bytes.to_vec();
            usm::decrypt(key, secured.window, salt, &mut bytes);
            rasn::ber::decode(&bytes).ok()
        }
        _ => None,
    }
}

/// A v2c message.
#[must_use]
pub fn write_v2c(community: &[u8], data: Pdus) -> Option<Vec<u8>> {
    rasn::ber::encode(&v2c::Message {
        version: 1.into(),
        community: community.to_vec().into(),
        data,
    })
    .ok()
}

/// What a v3 message is sent with.
pub struct Sealing<'a> {
    /// msgID.
    pub id: i32,
    /// The longest message that is taken here.
    pub max_size: usize,
    /// Whether a report may come back.
    pub reportable: bool,
    /// The authoritative engine.
    pub engine: &'a [u8],
    /// Its boots and time.
    pub window: (u32, u32),
    /// The user.
    pub user: &'a [u8],
    /// The key that it is signed with.
    pub auth: Option<&'a [u8; valehatch_config::snmp::AUTH_KEY]>,
    /// The key that it is encrypted with, and the salt.
    pub privacy: Option<(&'a [u8; valehatch_config::snmp::PRIV_KEY], [u8; 8])>,
}

/// A v3 message, encrypted and signed as its sealing says.
#[must_use]
pub fn write_v3(
    sealing: &Sealing<'_>,
    context: &[u8],
    context_name: &[u8],
    data: Pdus,
) -> Option<Vec<u8>> {
    let scoped = ScopedPdu {
        engine_id: context.to_vec().into(),
        name: context_name.to_vec().into(),
        data,
    };
    let mut flags = if sealing.reportable { REPORTABLE } else { 0 };
    let (mut salt, scoped_data) = (
        vec![],
        match sealing.privacy {
            None => ScopedPduData::CleartextPdu(scoped),
            Some((key, salt)) => {
                flags |= PRIV;
                let mut bytes = rasn::ber::encode(&scoped).ok()?;
                usm::encrypt(key, sealing.window, salt, &mut bytes);
                ScopedPduData::EncryptedPdu(bytes.into())
            }
        },
    );
    if let Some((_, bytes)) = sealing.privacy {
        salt = bytes.to_vec();
    }
    flags |= if sealing.auth.is_some() { AUTH } else { 0 };
    let blank = if sealing.auth.is_some() {
        vec![0; DIGEST]
    } else {
        vec![]
    };
    let parameters = USMSecurityParameters {
        authoritative_engine_id: sealing.engine.to_vec().into(),
        authoritative_engine_boots: sealing.window.0.into(),
        authoritative_engine_time: sealing.window.1.into(),
        user_name: sealing.user.to_vec().into(),
        authentication_parameters: blank.clone().into(),
        privacy_parameters: salt.into(),
    };
    let message = Message {
        version: 3.into(),
        global_data: HeaderData {
            message_id: sealing.id.into(),
            max_size: i64::try_from(sealing.max_size).ok()?.into(),
            flags: vec![flags].into(),
            security_model: 3.into(),
        },
        security_parameters: rasn::ber::encode(&parameters).ok()?.into(),
        scoped_data,
    };
    let mut bytes = rasn::ber::encode(&message).ok()?;
    if let Some(key) = sealing.auth {
        // Names are printable and engine ids short: the first blank digest is the digest's field.
        let place = place_of_digest(&bytes, &blank)?;
        let digest = usm::digest(key, &bytes);
        bytes[place..place + DIGEST].copy_from_slice(&digest);
    }
    Some(bytes)
}
