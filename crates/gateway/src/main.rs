#![forbid(unsafe_code)]
#![expect(clippy::too_many_lines, reason = "not yet split and documented")]
//! The gateway: its command line, and the wiring of configuration, cores, fronts, ledger and agent.
//!
//! | module | holds |
//! | --- | --- |
//! | [`front`] | one front: its core on its loop, its clients and servers |
//! | [`recovery`] | what the next start begins with, and whether this one's service is whole |
//! | [`platform`] | the platform's front, told by the platform's JSON |
//! | [`operators`] | all fronts of an operators' file, with ledger and agent |
//! | [`upgrade`] | two processes that are one gateway |
//! | [`management`] | what operators are told: health and figures of all fronts |
//! | [`snmp`] | `valehatch snmp …` |

mod front;
mod management;
mod operators;
mod platform;
mod recovery;
mod snmp;
mod upgrade;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use valehatch_config::operators::OperatorConfig;

/// A gateway between many teams' services and the databases that they share.
///
/// Without a command the platform is served, as the file that BALANCER_CONFIG names says.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// Serve the platform with fair queues at the door; an operators' file says so in [door].
    #[arg(long)]
    door: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve all fronts of an operators' file until SIGTERM; SIGHUP reads members, users and receivers again.
    Serve {
        /// The operators' file, in TOML.
        file: PathBuf,
    },
    /// Read and check an operators' file; name each key at fault with its line, and exit with 2 if there is one.
    Check {
        /// The operators' file, in TOML.
        file: PathBuf,
    },
    /// Print an operators' file with every default filled in.
    Config {
        /// The operators' file, in TOML.
        file: PathBuf,
    },
    /// What the SNMP agent needs: keys, its engine's id, its MIB.
    #[command(subcommand)]
    Snmp(snmp::Command),
}

fn run(arguments: Arguments) -> Result<(), String> {
    match arguments.command {
        None => platform::serve(arguments.door),
        Some(Command::Serve { file }) => operators::serve(file),
        Some(Command::Check { file }) => {
            let read = OperatorConfig::load(&file).map_err(|e| e.to_string())?;
            println!(
                "{}: {} front(s), no fault",
                file.display(),
                read.fronts.len()
            );
            Ok(())
        }
        Some(Command::Config { file }) => {
            let (_, shown) =
                OperatorConfig::load_with_defaults(&file).map_err(|e| e.to_string())?;
            print!("{shown}");
            Ok(())
        }
        Some(Command::Snmp(command)) => snmp::run(command),
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            text.lines().for_each(|line| eprintln!("valehatch: {line}"));
            ExitCode::from(2)
        }
    }
}
