#![forbid(unsafe_code)]
//! Runs the decision module on the simulator's wire. The adapter hosts instances of the module and
//! translates between records and the module's events and actions; it makes no decisions itself.
//!
//! The adapter reads input frames from stdin and writes one reply to stdout for each, before it
//! reads the next. If the input ends between two frames, the process exits with success; after a
//! malformed frame, it exits with code 2 and a line on stderr.
//!
//! | module | contents |
//! | --- | --- |
//! | `frame` | framing: boundaries of frames and records |
//! | `fields` | numbers and byte strings in a record |
//! | `decode` | records to inputs, with a table of the wire's field names and the code's |
//! | `event` | inputs to events of the decision module |
//! | `host` | running instances and their steps |
//! | `encode` | actions to records |
//! | `error` | errors and their messages |

mod decode;
mod encode;
mod error;
mod event;
mod fields;
mod frame;
mod host;

use std::io::{self, Write};
use std::process::ExitCode;

use error::AdapterError;
use frame::{Frame, Reply};
use host::Host;

/// Size of the read buffer for stdin, in bytes: the default capacity of a pipe on Linux, so that
/// one read empties the pipe.
const INPUT_BUFFER_BYTES: usize = 64 * 1024;
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("valehatch-simulator-adapter: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Answers frames until the input ends.
fn serve() -> Result<(), AdapterError> {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut previous_frame = None;
    while let Some(frame) = Frame::read(&mut input, previous_frame)? {
        let mut reply = Reply::new(frame.number);
        host.on_frame(&frame, &mut reply)?;
        output
            .write_all(&reply.into_bytes())
            .and_then(|()| output.flush())
            .map_err(AdapterError::ReplyUnwritable)?;
        previous_frame = Some(frame.number);
    }
    Ok(())
}
