//! Decodes the parts of client requests that the gateway needs.

use std::fmt;
use std::sync::Arc;

use crate::PreparedStatements;
use crate::frame::Frame;
use crate::opcodes::opcode;
use crate::reader::{ReadError, Reader};

/// Consistency level of a request that does not specify one: ONE.
const DEFAULT_CONSISTENCY: u16 = 1;
/// Highest valid batch type; the types are logged (0), unlogged (1) and counter (2).
const LAST_BATCH_TYPE: u8 = 2;
/// Kind of a batch statement that is given as text.
const BATCH_STATEMENT_TEXT: u8 = 0;
/// Kind of a batch statement that is given by the id of a prepared statement.
const BATCH_STATEMENT_ID: u8 = 1;

/// Decoded QUERY, EXECUTE, BATCH or PREPARE.
pub(crate) struct DecodedRequest<'a> {
    /// Statements to be executed; empty for a PREPARE.
    pub(crate) statements: Vec<Arc<str>>,
    /// First id of a prepared statement that the gateway does not know.
    pub(crate) unprepared_id: Option<&'a [u8]>,
    /// Consistency level, as numbered by the protocol.
    pub(crate) consistency: u16,
}

impl<'a> DecodedRequest<'a> {
    /// Decodes a frame with the opcode QUERY, EXECUTE, BATCH or PREPARE.
    ///
    /// # Errors
    /// The body is malformed. The error text is sent to the client.
    pub(crate) fn decode(
        frame: &'a Frame,
        prepared: &PreparedStatements,
    ) -> Result<Self, ReadError> {
        let mut reader = frame.content()?;
        let mut request = Self {
            statements: vec![],
            unprepared_id: None,
            consistency: DEFAULT_CONSISTENCY,
        };
        match frame.opcode() {
            opcode::QUERY => request.add_text(reader.long_string()?),
            opcode::EXECUTE => request.add_prepared(reader.short_bytes()?, prepared),
            opcode::PREPARE => {
                reader.long_string()?;
                return Ok(request);
            }
            _ => request.add_batch(&mut reader, prepared)?,
        }
        request.consistency = reader.short()?;
        // QUERY, EXECUTE and BATCH all have flags here, so a body without them is malformed.
        reader.byte()?;
        Ok(request)
    }

    fn add_batch(
        &mut self,
        reader: &mut Reader<'a>,
        prepared: &PreparedStatements,
    ) -> Result<(), ReadError> {
        if reader.byte()? > LAST_BATCH_TYPE {
            return Err(ReadError::UnknownBatchType);
        }
        for _ in 0..reader.short()? {
            match reader.byte()? {
                BATCH_STATEMENT_TEXT => self.add_text(reader.long_string()?),
                BATCH_STATEMENT_ID => self.add_prepared(reader.short_bytes()?, prepared),
                other => return Err(ReadError::UnknownBatchStatement(other)),
            }
            for _ in 0..reader.short()? {
                reader.bytes()?;
            }
        }
        Ok(())
    }

    fn add_text(&mut self, statement: &str) {
        self.statements.push(Arc::from(statement));
    }

    fn add_prepared(&mut self, id: &'a [u8], prepared: &PreparedStatements) {
        match prepared.get(id) {
            Some(statement) => self.statements.push(statement),
            None => self.unprepared_id = self.unprepared_id.or(Some(id)),
        }
    }

    /// Whether any statement would change the keyspace of its connection.
    pub(crate) fn changes_keyspace(&self) -> bool {
        self.statements.iter().any(|statement| {
            let first_word = statement.split_whitespace().next();
            first_word.is_some_and(|word| word.eq_ignore_ascii_case("use"))
        })
    }
}

/// Reasons why a session cannot be opened. The texts are sent to clients.
pub(crate) enum StartupRejection {
    Malformed(ReadError),
    UnsupportedCompression(String),
    MissingVersion,
}

impl fmt::Display for StartupRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => error.fmt(f),
            Self::UnsupportedCompression(name) => {
                write!(f, "compression {name:?} is not offered")
            }
            Self::MissingVersion => f.write_str("STARTUP names no CQL_VERSION"),
        }
    }
}

impl From<ReadError> for StartupRejection {
    fn from(error: ReadError) -> Self {
        Self::Malformed(error)
    }
}

/// Validates the options of a STARTUP.
pub(crate) fn check_startup(frame: &Frame) -> Result<(), StartupRejection> {
    let mut reader = frame.content()?;
    let mut has_version = false;
    for _ in 0..reader.short()? {
        let name = reader.string()?;
        let value = reader.string()?;
        match name {
            "CQL_VERSION" => has_version = true,
            "COMPRESSION" => {
                return Err(StartupRejection::UnsupportedCompression(value.to_owned()));
            }
            _ => {}
        }
    }
    if has_version {
        Ok(())
    } else {
        Err(StartupRejection::MissingVersion)
    }
}
