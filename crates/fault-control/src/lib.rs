//! Switches of the fault-injection library `valehatch-fault-shim`, stored in a one-page control
//! file. A test writes the switches; the library maps the file into the process under test and
//! reads them at each intercepted call.

#![forbid(unsafe_code)]

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Environment variable with the path of the control file.
pub const CONTROL_FILE_VARIABLE: &str = "VALEHATCH_FAULT_CONTROL";
/// Size of the control file in bytes: one page.
pub const CONTROL_FILE_BYTES: usize = 4096;

/// A switch, stored as a signed 64-bit integer in its own slot of the control file; 0 is off.
///
/// Switches that make calls fail hold a rate: the number of affected calls per thousand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Switch {
    /// Offset added to CLOCK_REALTIME, in microseconds.
    WallClockOffset,
    /// Rate of accept calls that fail, per thousand.
    AcceptFails,
    /// Rate of connect calls that fail with errors of the local machine, per thousand.
    ConnectFails,
    /// Rate of socket calls that fail, per thousand.
    SocketFails,
    /// Rate of socket reads and writes that transfer a single byte, per thousand.
    ShortTransfers,
    /// Rate of socket reads and writes that fail with EINTR before the transfer, per thousand.
    Interrupts,
    /// Rate of reads on a reset connection that fail with ETIMEDOUT or EHOSTUNREACH in place of
    /// ECONNRESET, per thousand.
    LateErrors,
    /// Rate of file writes that fail with ENOSPC after a partial write, per thousand.
    FileWriteFails,
    /// Rate of fsync and fdatasync calls that fail with EIO, per thousand.
    SyncFails,
    /// Rate of rename calls that fail with EIO, per thousand.
    RenameFails,
    /// Pause before a socket write, in microseconds, at most twice a second. The pause falls
    /// between the process's reading of the clock and its write.
    PauseBeforeWrite,
}

impl Switch {
    /// All switches, in the order of their slots.
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

    /// Index of the switch's slot in the control file, in units of 64 bits.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Handle of a test on the control file.
#[derive(Debug)]
pub struct FaultControl {
    file: File,
    path: PathBuf,
}

impl FaultControl {
    /// Creates the control file, or truncates an existing one, with all switches off.
    ///
    /// # Errors
    /// The file cannot be created or resized.
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

    /// Sets a switch. A running process observes the new value from its next intercepted call on.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn set(&self, switch: Switch, value: i64) -> io::Result<()> {
        self.file.write_all_at(
            &value.to_ne_bytes(),
            (switch.index() * size_of::<i64>()) as u64,
        )
    }

    /// Sets the environment of `command` so that its process loads the library and reads this
    /// control file.
    pub fn apply(&self, command: &mut Command, library: &Path) {
        command
            .env("LD_PRELOAD", library)
            .env(CONTROL_FILE_VARIABLE, &self.path);
    }
}

/// Builds the fault-injection library with the running cargo, in a subfolder of this program's
/// target folder, and returns the library's path.
///
/// # Errors
/// This program is not in a target folder, or the build failed; the text is cargo's stderr.
pub fn build_library() -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let target_folder = program
        .ancestors()
        .find(|path| path.file_name().is_some_and(|name| name == "target"));
    let target = target_folder
        .ok_or("this program is not in a target folder")?
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
