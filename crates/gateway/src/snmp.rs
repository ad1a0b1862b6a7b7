//! `valehatch snmp …`: commands for setting up the SNMP agent.

use std::io::BufRead;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use clap::{Args, Subcommand};
use valehatch_config::operators::OperatorConfig;
use valehatch_config::snmp::{PRIV_KEY, engine_id};
use valehatch_snmp::{schema, usm};

use crate::error::StartError;

/// Length of an engine id in bytes (RFC 3411).
const ENGINE_ID_BYTES: RangeInclusive<usize> = 5..=32;

/// The commands of `valehatch snmp`.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Make the localized keys of a user from passwords, which are read from standard input: one
    /// line for authentication (HMAC-SHA-256), and one for encryption (AES-128) if the user is to
    /// have it.
    Key {
        #[command(flatten)]
        engine: Engine,
    },
    /// Print the engine's id of a gateway.
    EngineId {
        #[command(flatten)]
        engine: Engine,
    },
    /// Print VALEHATCH-MIB.
    Mib,
}

/// Whose engine.
#[derive(Args)]
#[group(required = true, multiple = false)]
pub(crate) struct Engine {
    /// The gateway of this operators' file.
    #[arg(long, value_name = "FILE")]
    file: Option<PathBuf>,
    /// The gateway of this name, where the file sets no engine-id.
    #[arg(long, value_name = "NAME")]
    gateway: Option<String>,
    /// This engine, in hexadecimal digits: a receiver's, for informs.
    #[arg(long, value_name = "HEX")]
    engine_id: Option<String>,
}

impl Engine {
    fn id(&self) -> Result<Vec<u8>, StartError> {
        if let Some(file) = &self.file {
            let config = OperatorConfig::load(file).map_err(StartError::configuration)?;
            let without_agent = || format!("{}: has no [snmp]", file.display());
            return match config.snmp {
                Some(snmp) => Ok(snmp.engine),
                None => Err(StartError::configuration(without_agent())),
            };
        }
        if let Some(text) = &self.engine_id {
            let id = hex::decode(text).ok();
            let invalid =
                || format!("--engine-id: {text:?} is not 5 to 32 bytes in hexadecimal digits");
            return id
                .filter(|id| ENGINE_ID_BYTES.contains(&id.len()))
                .ok_or_else(|| StartError::configuration(invalid()));
        }
        Ok(engine_id(self.gateway.as_deref().unwrap_or_default()))
    }
}

/// Reads a password from a line of standard input; `None` at the end of the input.
fn password(
    name: &str,
    line: Option<std::io::Result<String>>,
) -> Result<Option<String>, StartError> {
    let Some(line) = line else { return Ok(None) };
    let text = line.map_err(StartError::resource(name))?;
    if text.len() < usm::MIN_PASSWORD_LENGTH {
        let minimum = usm::MIN_PASSWORD_LENGTH;
        let error = format!("the {name} password is shorter than {minimum} characters");
        return Err(StartError::configuration(error));
    }
    Ok(Some(text))
}

/// Runs a command and prints the result on standard output.
///
/// # Errors
/// The input is not valid: the file, the engine id or a password.
pub(crate) fn run(command: Command) -> Result<(), StartError> {
    match command {
        Command::Mib => print!("{}", schema::mib()),
        Command::EngineId { engine } => println!("{}", hex::encode(engine.id()?)),
        Command::Key { engine } => print_keys(&engine)?,
    }
    Ok(())
}

fn print_keys(engine: &Engine) -> Result<(), StartError> {
    let id = engine.id()?;
    let mut lines = std::io::stdin().lock().lines();
    let authentication = password("authentication", lines.next())?
        .ok_or_else(|| StartError::configuration("no password on standard input"))?;
    let encryption = password("encryption", lines.next())?;
    let key = usm::localize(authentication.as_bytes(), &id);
    println!("auth-key = \"{}\"", hex::encode(key));
    if let Some(encryption) = encryption {
        let key = usm::localize(encryption.as_bytes(), &id);
        println!("priv-key = \"{}\"", hex::encode(&key[..PRIV_KEY]));
    }
    Ok(())
}
