//! `valehatch snmp …`: what an operator needs to set the agent up.

use std::io::BufRead;
use std::path::PathBuf;

use clap::{Args, Subcommand};
use valehatch_config::operators::OperatorConfig;
use valehatch_config::snmp::{PRIV_KEY, engine_id};
use valehatch_snmp::{schema, usm};

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Make the localized keys of a user from passwords, which are read from standard input: one line for
    /// authentication (HMAC-SHA-256), and one for encryption (AES-128) if the user is to have it.
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
    fn id(&self) -> Result<Vec<u8>, String> {
        if let Some(file) = &self.file {
            // The file may not be whole yet: its keys are what is being made.
            return match OperatorConfig::load(file) {
                Ok(read) => read
                    .snmp
                    .map(|s| s.engine)
                    .ok_or_else(|| format!("{}: has no [snmp]", file.display())),
                Err(faults) => Err(faults.to_string()),
            };
        }
        if let Some(text) = &self.engine_id {
            let id = hex::decode(text)
                .ok()
                .filter(|id| (5..=32).contains(&id.len()));
            return id.ok_or_else(|| {
                format!("--engine-id: {text:?} is not 5 to 32 bytes in hexadecimal digits")
            });
        }
        Ok(engine_id(self.gateway.as_deref().unwrap_or_default()))
    }
}

fn password(what: &str, line: Option<std::io::Result<String>>) -> Result<Option<String>, String> {
    let Some(line) = line else { return Ok(None) };
    let text = line.map_err(|e| format!("{what}: {e}"))?;
    if text.len() < usm::SHORTEST {
        return Err(format!(
            "the {what} password is shorter than {} characters",
            usm::SHORTEST
        ));
    }
    Ok(Some(text))
}

pub(crate) fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Mib => print!("{}", schema::mib()),
        Command::EngineId { engine } => println!("{}", hex::encode(engine.id()?)),
        Command::Key { engine } => {
            let id = engine.id()?;
            let mut lines = std::io::stdin().lock().lines();
            let auth =
                password("authentication", lines.next())?.ok_or("no password on standard input")?;
            let privacy = password("encryption", lines.next())?;
            println!(
                "auth-key = \"{}\"",
                hex::encode(usm::localize(auth.as_bytes(), &id))
            );
            if let Some(privacy) = privacy {
                let key = usm::localize(privacy.as_bytes(), &id);
                println!("priv-key = \"{}\"", hex::encode(&key[..PRIV_KEY]));
            }
        }
    }
    Ok(())
}
