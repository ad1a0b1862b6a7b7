//! Encoding and decoding of SNMPv2c (RFC 1901, RFC 3416) and SNMPv3 (RFC 3412) messages with rasn.

use rasn::types::{Integer, ObjectIdentifier, OctetString};
use rasn_smi::v1::{Counter, Gauge, TimeTicks};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
use rasn_snmp::v2::{self, Pdu, Pdus, VarBind, VarBindValue};
use rasn_snmp::v2c;
use rasn_snmp::v3::{HeaderData, Message, ScopedPdu, ScopedPduData, USMSecurityParameters};

use crate::snapshot::{Oid, Value};
use crate::usm::{self, DIGEST_LENGTH};

/// The authFlag of msgFlags (RFC 3412, section 6.4): the message has a digest.
pub const AUTH: u8 = 1;
/// The privFlag of msgFlags: the scoped PDU is encrypted.
pub const PRIV: u8 = 2;
/// The reportableFlag of msgFlags: the receiver may send a report back.
pub const REPORTABLE: u8 = 4;

/// The operation of a request PDU.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// GetRequest.
    Get,
    /// GetNextRequest.
    GetNext,
    /// GetBulkRequest, with non-repeaters and max-repetitions.
    GetBulk(u32, u32),
    /// SetRequest, which the read-only agent refuses.
    Set,
}

/// A request PDU.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The operation, with its parameters.
    pub operation: Operation,
    /// The request-id, copied to the response.
    pub id: i32,
    /// The names of the variable bindings.
    pub names: Vec<Oid>,
}

/// The content of a PDU, as far as the agent and the notifier process it.
#[derive(Debug)]
pub enum PduContent {
    /// A request to the agent.
    Request(Request),
    /// A response: its request-id and error-status.
    Response(i32, u32),
    /// A report: the name of its first variable binding.
    Report(Option<Oid>),
    /// A notification, which the agent does not accept.
    Unsupported,
}

fn names(list: Vec<VarBind>) -> Vec<Oid> {
    list.into_iter().map(|b| b.name.to_vec()).collect()
}

/// Parses a PDU.
#[must_use]
pub fn parse_pdu(pdus: Pdus) -> PduContent {
    let request = |operation, id, list| {
        PduContent::Request(Request {
            operation,
            id,
            names: names(list),
        })
    };
    match pdus {
        Pdus::GetRequest(v2::GetRequest(p)) => {
            request(Operation::Get, p.request_id, p.variable_bindings)
        }
        Pdus::GetNextRequest(v2::GetNextRequest(p)) => {
            request(Operation::GetNext, p.request_id, p.variable_bindings)
        }
        Pdus::SetRequest(v2::SetRequest(p)) => {
            request(Operation::Set, p.request_id, p.variable_bindings)
        }
        Pdus::GetBulkRequest(v2::GetBulkRequest(p)) => request(
            Operation::GetBulk(p.non_repeaters, p.max_repetitions),
            p.request_id,
            p.variable_bindings,
        ),
        Pdus::Response(v2::Response(p)) => PduContent::Response(p.request_id, p.error_status),
        Pdus::Report(v2::Report(p)) => {
            PduContent::Report(names(p.variable_bindings).into_iter().next())
        }
        Pdus::InformRequest(_) | Pdus::Trap(_) => PduContent::Unsupported,
    }
}

/// Returns the request-id of a request PDU; 0 for other PDUs.
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

/// Builds a variable binding.
#[must_use]
pub fn var_bind(name: &[u32], value: Value) -> VarBind {
    let simple = |syntax| VarBindValue::Value(ObjectSyntax::Simple(syntax));
    let application_wide = |syntax| VarBindValue::Value(ObjectSyntax::ApplicationWide(syntax));
    let value = match value {
        Value::Integer(n) => simple(SimpleSyntax::Integer(n.into())),
        Value::OctetString(bytes) => simple(SimpleSyntax::String(bytes.into())),
        Value::ObjectIdentifier(name) => simple(SimpleSyntax::ObjectId(oid(&name))),
        Value::Counter32(n) => application_wide(ApplicationSyntax::Counter(Counter(n))),
        Value::Gauge32(n) => application_wide(ApplicationSyntax::Unsigned(Gauge(n))),
        Value::TimeTicks(n) => application_wide(ApplicationSyntax::Ticks(TimeTicks(n))),
        Value::Counter64(n) => application_wide(ApplicationSyntax::BigCounter(Counter64(n))),
        Value::NoSuchObject => VarBindValue::NoSuchObject,
        Value::NoSuchInstance => VarBindValue::NoSuchInstance,
        Value::EndOfMibView => VarBindValue::EndOfMibView,
    };
    VarBind {
        name: oid(name),
        value,
    }
}

/// Upper bound of the encoded size of a variable binding, tags and lengths included.
#[must_use]
pub fn max_encoded_size(name: &[u32], value: &Value) -> usize {
    let oid_size = |name: &[u32]| -> usize {
        name.iter()
            .map(|subid| (38 - subid.leading_zeros() as usize).div_ceil(7).max(1))
            .sum::<usize>()
            + 4
    };
    let value = match value {
        Value::OctetString(bytes) => bytes.len() + 4,
        Value::ObjectIdentifier(name) => oid_size(name),
        _ => 11,
    };
    oid_size(name) + value + 4
}

/// Builds a response PDU.
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

/// Builds a report PDU that carries one counter.
#[must_use]
pub fn report(id: i32, name: &[u32], count: u32) -> Pdus {
    let variable_bindings = vec![var_bind(name, Value::Counter32(count))];
    Pdus::Report(v2::Report(Pdu {
        request_id: id,
        error_status: 0,
        error_index: 0,
        variable_bindings,
    }))
}

/// Builds an inform or a trap PDU.
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

/// A received message.
#[derive(Debug)]
pub enum Incoming {
    /// An SNMPv2c message: community and PDU.
    V2c(Vec<u8>, Pdus),
    /// An SNMPv3 message.
    V3(Box<V3Message>),
    /// A message with a msgVersion that is not supported.
    UnsupportedVersion(i64),
}

/// A decoded SNMPv3 message, not authenticated yet.
#[derive(Debug)]
pub struct V3Message {
    /// msgID.
    pub id: i32,
    /// msgMaxSize: the longest message that the sender accepts, in bytes.
    pub max_size: usize,
    /// msgFlags.
    pub flags: u8,
    /// msgSecurityModel.
    pub model: i64,
    /// msgAuthoritativeEngineID.
    pub engine: Vec<u8>,
    /// Boots and time of the authoritative engine, as the sender knows them.
    pub engine_time: (u32, u32),
    /// msgUserName, at most 32 bytes.
    pub user: Vec<u8>,
    /// msgAuthenticationParameters; empty without a digest.
    pub digest: Vec<u8>,
    /// msgPrivacyParameters: the salt; empty if the message is not encrypted.
    pub salt: Vec<u8>,
    /// The scoped PDU, in plain text or encrypted.
    pub data: ScopedPduData,
}

fn to_number<T: TryFrom<i64>>(n: &Integer) -> Option<T> {
    i64::try_from(n.clone())
        .ok()
        .and_then(|n| T::try_from(n).ok())
}

/// Decodes a message; `None` if it is malformed or a field is out of range.
#[must_use]
pub fn decode(datagram: &[u8]) -> Option<Incoming> {
    if let Ok(message) = rasn::ber::decode::<v2c::Message<Pdus>>(datagram) {
        return Some(match to_number::<i64>(&message.version)? {
            1 => Incoming::V2c(message.community.to_vec(), message.data),
            other => Incoming::UnsupportedVersion(other),
        });
    }
    let decoded = rasn::ber::decode::<Message>(datagram).ok()?;
    let version = to_number::<i64>(&decoded.version)?;
    if version != 3 {
        return Some(Incoming::UnsupportedVersion(version));
    }
    let header = &decoded.global_data;
    let model = to_number::<i64>(&header.security_model)?;
    let [flags] = header.flags.as_ref() else {
        return None;
    };
    let parameters = rasn::ber::decode::<USMSecurityParameters>(&decoded.security_parameters);
    // Another security model has parameters of another form.
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
    let non_negative = |n: &Integer| to_number::<i32>(n).and_then(|n| u32::try_from(n).ok());
    let user = parameters.user_name.to_vec();
    Some(Incoming::V3(Box::new(V3Message {
        id: to_number::<i32>(&header.message_id).filter(|n| *n >= 0)?,
        max_size: to_number::<i32>(&header.max_size)
            .filter(|n| *n >= 484)
            .and_then(|n| usize::try_from(n).ok())?,
        flags: *flags,
        model,
        engine: parameters.authoritative_engine_id.to_vec(),
        engine_time: (
            non_negative(&parameters.authoritative_engine_boots)?,
            non_negative(&parameters.authoritative_engine_time)?,
        ),
        user: (user.len() <= 32).then_some(user)?,
        digest: parameters.authentication_parameters.to_vec(),
        salt: parameters.privacy_parameters.to_vec(),
        data: decoded.scoped_data,
    })))
}

/// Finds a digest in an encoded message; returns the offset after its tag and length.
fn digest_offset(message: &[u8], digest: &[u8]) -> Option<usize> {
    let header = [4, u8::try_from(DIGEST_LENGTH).ok()?];
    let wanted = [&header[..], digest].concat();
    message
        .windows(wanted.len())
        .position(|w| w == wanted)
        .map(|at| at + header.len())
}

/// Whether the digest of an encoded message is valid for a user's key.
#[must_use]
pub fn has_valid_digest(
    datagram: &[u8],
    digest: &[u8],
    key: &[u8; valehatch_config::snmp::AUTH_KEY],
) -> bool {
    if digest.len() != DIGEST_LENGTH {
        return false;
    }
    let Some(offset) = digest_offset(datagram, digest) else {
        return false;
    };
    let mut zeroed = datagram.to_vec();
    zeroed[offset..offset + DIGEST_LENGTH].fill(0);
    usm::verify_digest(key, &zeroed, digest)
}

/// Returns the scoped PDU of a message, decrypted if needed. `None` if decryption fails, or if a
/// key is given for a plain text or missing for an encrypted one.
#[must_use]
pub fn scoped_pdu(
    message: &V3Message,
    key: Option<&[u8; valehatch_config::snmp::PRIV_KEY]>,
) -> Option<ScopedPdu> {
    match (&message.data, key) {
        (ScopedPduData::CleartextPdu(pdu), None) => Some(pdu.clone()),
        (ScopedPduData::EncryptedPdu(bytes), Some(key)) => {
            let salt = <[u8; 8]>::try_from(message.salt.as_slice()).ok()?;
            let mut bytes = bytes.to_vec();
            usm::decrypt(key, message.engine_time, salt, &mut bytes);
            rasn::ber::decode(&bytes).ok()
        }
        _ => None,
    }
}

/// Encodes an SNMPv2c message.
#[must_use]
pub fn encode_v2c(community: &[u8], data: Pdus) -> Option<Vec<u8>> {
    rasn::ber::encode(&v2c::Message {
        version: 1.into(),
        community: community.to_vec().into(),
        data,
    })
    .ok()
}

/// The header and security parameters of an SNMPv3 message to be sent.
pub struct V3Security<'a> {
    /// msgID.
    pub id: i32,
    /// msgMaxSize: the longest message that this engine accepts, in bytes.
    pub max_size: usize,
    /// Whether the receiver may answer with a report.
    pub reportable: bool,
    /// The ID of the authoritative engine.
    pub engine: &'a [u8],
    /// Boots and time of the authoritative engine.
    pub engine_time: (u32, u32),
    /// The user's name.
    pub user: &'a [u8],
    /// The key of the digest; `None` for a message without one.
    pub auth: Option<&'a [u8; valehatch_config::snmp::AUTH_KEY]>,
    /// The key and the salt of the encryption; `None` for plain text.
    pub privacy: Option<(&'a [u8; valehatch_config::snmp::PRIV_KEY], [u8; 8])>,
}

/// Encodes an SNMPv3 message, encrypted and authenticated as `security` says.
#[must_use]
pub fn encode_v3(
    security: &V3Security<'_>,
    context: &[u8],
    context_name: &[u8],
    data: Pdus,
) -> Option<Vec<u8>> {
    let pdu = ScopedPdu {
        engine_id: context.to_vec().into(),
        name: context_name.to_vec().into(),
        data,
    };
    let mut flags = if security.reportable { REPORTABLE } else { 0 };
    let (mut salt, scoped_data) = (
        vec![],
        match security.privacy {
            None => ScopedPduData::CleartextPdu(pdu),
            Some((key, salt)) => {
                flags |= PRIV;
                let mut bytes = rasn::ber::encode(&pdu).ok()?;
                usm::encrypt(key, security.engine_time, salt, &mut bytes);
                ScopedPduData::EncryptedPdu(bytes.into())
            }
        },
    );
    if let Some((_, bytes)) = security.privacy {
        salt = bytes.to_vec();
    }
    flags |= if security.auth.is_some() { AUTH } else { 0 };
    let zeroed = if security.auth.is_some() {
        vec![0; DIGEST_LENGTH]
    } else {
        vec![]
    };
    let parameters = USMSecurityParameters {
        authoritative_engine_id: security.engine.to_vec().into(),
        authoritative_engine_boots: security.engine_time.0.into(),
        authoritative_engine_time: security.engine_time.1.into(),
        user_name: security.user.to_vec().into(),
        authentication_parameters: zeroed.clone().into(),
        privacy_parameters: salt.into(),
    };
    let message = Message {
        version: 3.into(),
        global_data: HeaderData {
            message_id: security.id.into(),
            max_size: i64::try_from(security.max_size).ok()?.into(),
            flags: vec![flags].into(),
            security_model: 3.into(),
        },
        security_parameters: rasn::ber::encode(&parameters).ok()?.into(),
        scoped_data,
    };
    let mut bytes = rasn::ber::encode(&message).ok()?;
    if let Some(key) = security.auth {
        // The first zeroed digest is the digest's field: names are printable and engine IDs short,
        // so that no earlier field can contain these bytes.
        let offset = digest_offset(&bytes, &zeroed)?;
        let digest = usm::digest(key, &bytes);
        bytes[offset..offset + DIGEST_LENGTH].copy_from_slice(&digest);
    }
    Some(bytes)
}
