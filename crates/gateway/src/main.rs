//! The gateway: its command line, and the wiring of configuration, cores, fronts, request log and
//! agent.
//!
//! | module | holds |
//! | --- | --- |
//! | [`platform`] | `valehatch`: the platform's front, configured by the platform's JSON |
//! | [`operators`] | `valehatch serve`: all fronts of an operators' file, with request log, agent and membership |
//! | [`front`] | one front: its core on its event loop, and the core's effects carried out |
//! | [`protocols`] | PostgreSQL or Cassandra on both sides of a front |
//! | [`resources`] | how descriptors and memory are divided |
//! | [`hot_restart`] | what is taken over from the predecessor and handed on to the successor |
//! | [`recovery`] | what a start takes from a snapshot, and what a front adds to the next |
//! | [`snapshot_writer`] | the state folder's `snapshot` and `recovery.json` |
//! | [`status`] | health and counters of all fronts, for the management address |
//! | [`snmp`] | `valehatch snmp …` |
//! | [`error`] | why the program cannot start |

#![forbid(unsafe_code)]

mod error;
mod front;
mod hot_restart;
mod operators;
mod platform;
mod protocols;
mod recovery;
mod resources;
mod snapshot_writer;
mod snmp;
mod status;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use valehatch_config::operators::OperatorConfig;

use crate::error::StartError;

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
    /// Serve all fronts of an operators' file until SIGTERM; SIGHUP reads members, users and
    /// receivers again.
    Serve {
        /// The operators' file, in TOML.
        file: PathBuf,
    },
    /// Read and check an operators' file; name each key at fault with its line, and exit with 2 if
    /// there is one.
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

fn run(arguments: Arguments) -> Result<(), StartError> {
    match arguments.command {
        None => platform::serve(arguments.door.then_some(platform::ADMISSION_QUEUE)),
        Some(Command::Serve { file }) => operators::serve(file),
        Some(Command::Check { file }) => {
            let read = OperatorConfig::load(&file).map_err(StartError::configuration)?;
            let fronts = read.fronts.len();
            println!("{}: {fronts} front(s), no fault", file.display());
            Ok(())
        }
        Some(Command::Config { file }) => {
            let (_, with_defaults) =
                OperatorConfig::load_with_defaults(&file).map_err(StartError::configuration)?;
            print!("{with_defaults}");
            Ok(())
        }
        Some(Command::Snmp(command)) => snmp::run(command),
    }
}

fn main() -> ExitCode {
    let Err(error) = run(Arguments::parse()) else {
        return ExitCode::SUCCESS;
    };
    for line in error.to_string().lines() {
        eprintln!("valehatch: {line}");
    }
    ExitCode::from(2)
}
