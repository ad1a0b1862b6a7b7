#![forbid(unsafe_code)]
//! Puts the decision module on the simulator's wire. It translates and hosts instances; it decides
//! nothing.
//!
//! Input frames come on stdin, and each gets one reply on stdout before the next is read. The end
//! of the input between two frames ends the process with success; a malformed frame, with exit code
//! 2 and a line on stderr.
//!
//! | module | job |
//! | --- | --- |
//! | `frame` | frames and records: where they begin and end |
//! | `fields` | numbers and bytes of a record |
//! | `decode` | records to inputs; the wire's names and the code's terms |
//! | `event` | inputs to events of the decision module |
//! | `host` | the instances, and their steps |
//! | `encode` | actions to records |
//! | `error` | errors and their texts |

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

/// Bytes of the buffer in front of stdin: what a pipe holds on Linux, so that one read empties it.
const INPUT_BUFFER_BYTES: usize = 64 * 1024;
/// Exit code after an error.
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
