//! Command line of the gateway, and the wiring of configuration, cores, fronts, request log and
//! SNMP agent.
//!
//! | module | contents |
//! | --- | --- |
//! | [`platform`] | `valehatch`: the platform's front, configured by the platform's JSON file |
//! | [`operators`] | `valehatch serve`: all fronts of an operators' file, with request log, agent and membership |
//! | [`front`] | one front: runs the core on its event loop and executes the core's effects |
//! | [`protocols`] | builds a front's PostgreSQL or Cassandra stack, client and endpoint side |
//! | [`resources`] | division of descriptors and memory |
//! | [`hot_restart`] | takes over from the predecessor process and hands on to the successor |
//! | [`recovery`] | restores state from a snapshot, and collects a front's state for the next one |
//! | [`snapshot_writer`] | writes `snapshot` and `recovery.json` in the state folder |
//! | [`status`] | health and counters of all fronts, for the management address |
//! | [`snmp`] | `valehatch snmp …` |
//! | [`error`] | errors that prevent the program from starting |

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
            let config = OperatorConfig::load(&file).map_err(StartError::configuration)?;
            let fronts = config.fronts.len();
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
    valehatch_allocator::limit_arenas();
    let Err(error) = run(Arguments::parse()) else {
        return ExitCode::SUCCESS;
    };
    for line in error.to_string().lines() {
        eprintln!("valehatch: {line}");
    }
    ExitCode::from(2)
}
