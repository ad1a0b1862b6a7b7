//! The stand-ins of the review's cases: `cases NAME FOLDER` plays a case and writes `record.txt`
//! into the folder. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not
//! run. `TROUBLE=0` leaves the disruption out.

mod common;
mod many_commands;
mod pg;
mod pipelined;
mod platform;
mod session_read;

use std::process::ExitCode;

use common::{Record, Verdict};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::create(&std::path::Path::new(folder).join("record.txt"));
    record.line(format!("case {name}, disruption: {}", common::trouble()));
    let verdict = match name.as_str() {
        "pipelined" => pipelined::run(&record),
        "many-commands" => many_commands::run(&record),
        "session-read" => session_read::run(&record),
        other => Verdict::CouldNotRun(format!("no case is named {other}")),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::from(0)
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(why) => {
            record.say(format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
