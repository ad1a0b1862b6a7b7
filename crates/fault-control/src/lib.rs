//! Switches of the fault-injection library `valehatch-fault-shim`, kept in a small file. The test
//! writes them; the library maps the file into the process under test and reads them at each call.

#![forbid(unsafe_code)]

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable that names the file.
pub const CONTROL_FILE_VARIABLE: &str = "VALEHATCH_FAULT_CONTROL";
/// Size of the file in bytes: one page.
pub const CONTROL_FILE_BYTES: usize = 4096;

/// One switch: a number of 64 bits at its own place in the file. 0 is off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Switch {
    /// Added to CLOCK_REALTIME, in microseconds.
    WallClockOffset,
    /// How many of a thousand calls of accept fail.
    AcceptFails,
    /// The same of connect, with errors of this machine.
    ConnectFails,
    /// The same of socket.
    SocketFails,
    /// How many of a thousand reads and writes on sockets move a single byte.
    ShortTransfers,
    /// How many of a thousand reads and writes on sockets return EINTR first.
    Interrupts,
    /// How many of a thousand reads of a broken or ended connection tell ETIMEDOUT or EHOSTUNREACH
    /// in place of it.
    LateErrors,
    /// How many of a thousand writes to files fail with ENOSPC after a part was written.
    FileWriteFails,
    /// How many of a thousand calls of fsync and fdatasync fail with EIO.
    SyncFails,
    /// How many of a thousand calls of rename fail with EIO.
    RenameFails,
    /// A pause before a write on a socket, in microseconds, twice a second: between reading the
    /// clock and writing.
    PauseBeforeWrite,
}

impl Switch {
    /// All of them.
    pub const ALL: [Self; 11] = [
        Self::WallClockOffset,
        Self::AcceptFails,
        Self::ConnectFails,
        Self::SocketFails,
        Self::ShortTransfers,
        Self::Interrupts,
        Self::LateErrors,
        Self::FileWriteFails,
        Self::SyncFails,
        Self::RenameFails,
        Self::PauseBeforeWrite,
    ];

    /// Its place in the file, in numbers of 64 bits.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// The file, as the test holds it.
#[derive(Debug)]
pub struct FaultControl {
    file: File,
    path: PathBuf,
}

impl FaultControl {
    /// Makes the file, with all switches off.
    ///
    /// # Errors
    /// The file cannot be made.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .read(true)
            .write(true)
            .open(path)?;
        file.set_len(CONTROL_FILE_BYTES as u64)?;
        Ok(Self {
            file,
            path: path.to_owned(),
        })
    }

    /// Sets a switch for the running process; it holds from its next call on.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn set(&self, switch: Switch, value: i64) -> io::Result<()> {
        self.file.write_all_at(
            &value.to_ne_bytes(),
            (switch.index() * size_of::<i64>()) as u64,
        )
    }

    /// Has a command's process load the library and read this file.
    pub fn apply(&self, command: &mut Command, library: &Path) {
        command
            .env("LD_PRELOAD", library)
            .env(CONTROL_FILE_VARIABLE, &self.path);
    }
}

/// Builds the library with the cargo that runs, beside this program's own artifacts, and says where
/// it is.
///
/// # Errors
/// The build failed; what it said.
pub fn build_library() -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let deep = program
        .ancestors()
        .find(|path| path.file_name().is_some_and(|name| name == "target"));
    let target = deep
        .ok_or("this program does not lie in a target folder")?
        .join("fault-shim");
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-shim/Cargo.toml");
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args([
            "build",
            "--quiet",
            "--locked",
            "--offline",
            "--manifest-path",
        ])
        .arg(manifest);
    command
        .arg("--target-dir")
        .arg(&target)
        .env_remove("LD_PRELOAD");
    let output = command.output().map_err(|e| e.to_string())?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned());
    }
    Ok(target.join("debug/libvalehatch_fault_shim.so"))
}
