//! Type bytes of messages. The same byte has different meanings in the two directions.

/// Messages that a client sends.
pub(crate) mod frontend {
    pub(crate) const BIND: u8 = b'B';
    pub(crate) const CLOSE: u8 = b'C';
    pub(crate) const DESCRIBE: u8 = b'D';
    pub(crate) const EXECUTE: u8 = b'E';
    pub(crate) const FLUSH: u8 = b'H';
    pub(crate) const FUNCTION_CALL: u8 = b'F';
    pub(crate) const PARSE: u8 = b'P';
    pub(crate) const QUERY: u8 = b'Q';
    pub(crate) const SYNC: u8 = b'S';
    pub(crate) const TERMINATE: u8 = b'X';
}

/// Messages that a database sends.
pub(crate) mod backend {
    pub(crate) const AUTHENTICATION: u8 = b'R';
    pub(crate) const BACKEND_KEY_DATA: u8 = b'K';
    pub(crate) const COMMAND_COMPLETE: u8 = b'C';
    pub(crate) const DATA_ROW: u8 = b'D';
    pub(crate) const EMPTY_QUERY_RESPONSE: u8 = b'I';
    pub(crate) const ERROR_RESPONSE: u8 = b'E';
    pub(crate) const NOTICE_RESPONSE: u8 = b'N';
    pub(crate) const PARAMETER_STATUS: u8 = b'S';
    pub(crate) const READY_FOR_QUERY: u8 = b'Z';
    pub(crate) const ROW_DESCRIPTION: u8 = b'T';
}
