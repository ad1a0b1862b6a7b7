//! Constants of the protocol: frame flags, opcodes and error codes.

/// Frame flags.
pub mod flag {
    /// The body is compressed.
    pub const COMPRESSED: u8 = 0x01;
    /// A response's body begins with a trace id of 16 bytes.
    pub const TRACING: u8 = 0x02;
    /// The body begins with a custom payload.
    pub const PAYLOAD: u8 = 0x04;
    /// A response's body begins with warnings.
    pub const WARNING: u8 = 0x08;
}

/// Frame opcodes.
pub mod opcode {
    /// A request failed; see [`super::error_code`].
    pub const ERROR: u8 = 0x00;
    /// Opens a session.
    pub const STARTUP: u8 = 0x01;
    /// The session is open.
    pub const READY: u8 = 0x02;
    /// Asks for the options that the server supports; also the heartbeat.
    pub const OPTIONS: u8 = 0x05;
    /// The options that the server supports.
    pub const SUPPORTED: u8 = 0x06;
    /// Executes a statement given as text.
    pub const QUERY: u8 = 0x07;
    /// The result of a request.
    pub const RESULT: u8 = 0x08;
    /// Prepares a statement.
    pub const PREPARE: u8 = 0x09;
    /// Executes a prepared statement.
    pub const EXECUTE: u8 = 0x0a;
    /// Subscribes to events.
    pub const REGISTER: u8 = 0x0b;
    /// An event, sent by the server on its own.
    pub const EVENT: u8 = 0x0c;
    /// Executes several statements.
    pub const BATCH: u8 = 0x0d;
}

/// Error codes of the ERROR message.
pub mod error_code {
    /// Internal error of the server.
    pub const SERVER: u32 = 0x0000;
    /// The client violated the protocol.
    pub const PROTOCOL: u32 = 0x000a;
    /// Too few replicas are alive; nothing ran.
    pub const UNAVAILABLE: u32 = 0x1000;
    /// The coordinator is overloaded; nothing ran.
    pub const OVERLOADED: u32 = 0x1001;
    /// The coordinator is still starting; nothing ran.
    pub const BOOTSTRAPPING: u32 = 0x1002;
    /// Too few replicas acknowledged a write in time.
    pub const WRITE_TIMEOUT: u32 = 0x1100;
    /// Too few replicas answered a read in time.
    pub const READ_TIMEOUT: u32 = 0x1200;
    /// A replica failed during a read.
    pub const READ_FAILURE: u32 = 0x1300;
    /// A user-defined function failed.
    pub const FUNCTION_FAILURE: u32 = 0x1400;
    /// A replica failed during a write.
    pub const WRITE_FAILURE: u32 = 0x1500;
    /// The statement is syntactically correct but invalid.
    pub const INVALID: u32 = 0x2200;
    /// The id of the prepared statement is unknown.
    pub const UNPREPARED: u32 = 0x2500;
}
