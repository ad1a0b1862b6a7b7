//! Decodes what a client's frame asks for, as far as the gateway has to know it.

use std::fmt;
use std::sync::Arc;

use crate::PreparedStatements;
use crate::frame::Frame;
use crate::opcodes::opcode;
use crate::reader::{ReadError, Reader};

/// The consistency of a request that names none: ONE.
const DEFAULT_CONSISTENCY: u16 = 1;
/// The last type of a batch: logged, unlogged, counter.
const LAST_BATCH_TYPE: u8 = 2;
/// A statement of a batch is a text.
const BATCH_STATEMENT_TEXT: u8 = 0;
/// A statement of a batch is the id of a prepared one.
const BATCH_STATEMENT_ID: u8 = 1;

/// What a QUERY, EXECUTE, BATCH or PREPARE asks for.
pub(crate) struct DecodedRequest<'a> {
    /// The statements to be executed; none of a PREPARE.
    pub(crate) statements: Vec<Arc<str>>,
    /// The first id of a prepared statement that is not remembered here.
    pub(crate) unprepared_id: Option<&'a [u8]>,
    /// The protocol's number of the consistency level.
    pub(crate) consistency: u16,
}

impl<'a> DecodedRequest<'a> {
    /// Decodes a frame with one of these opcodes.
    ///
    /// # Errors
    /// The body is malformed. The text is sent to the client.
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
        // Flags follow in every one of them.
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

    /// Whether a statement changes the keyspace of its connection.
    pub(crate) fn changes_keyspace(&self) -> bool {
        self.statements.iter().any(|statement| {
            let first_word = statement.split_whitespace().next();
            first_word.is_some_and(|word| word.eq_ignore_ascii_case("use"))
        })
    }
}

/// Why a session cannot be opened. The texts are sent to clients.
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

/// Checks the options of a STARTUP.
pub(crate) fn check_startup(frame: &Frame) -> Result<(), StartupRejection> {
    let mut reader = frame.content()?;
    let mut names_version = false;
    for _ in 0..reader.short()? {
        let name = reader.string()?;
        let value = reader.string()?;
        match name {
            "CQL_VERSION" => names_version = true,
            "COMPRESSION" => {
                return Err(StartupRejection::UnsupportedCompression(value.to_owned()));
            }
            _ => {}
        }
    }
    if names_version {
        Ok(())
    } else {
        Err(StartupRejection::MissingVersion)
    }
}
