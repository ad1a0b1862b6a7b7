//! Gateway processes, each with its own folder, fault switches and discovery agent.

use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use valehatch_fault_control::{FaultControl, Switch};

use super::clients::connect;
use super::oracle::Effect;
use super::world::{CLASSES, lock, slow_start};
use crate::members::pg_message;

/// Limit on open descriptors of each gateway process.
pub const MAX_DESCRIPTORS: usize = 256;
/// Limit on peak resident memory of each gateway process.
pub const MAX_MEMORY_MB: u64 = 48;
/// Time within which a started process must answer an empty query.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Exit times of gateway processes; requests sent around them are excused.
#[derive(Debug, Default)]
pub struct ProcessExits {
    killed: Mutex<Vec<(usize, Duration)>>,
    ended: Mutex<Vec<(usize, Duration)>>,
}

impl ProcessExits {
    /// Records that a gateway was killed.
    pub fn on_killed(&self, gateway: usize, at: Duration) {
        lock(&self.killed).push((gateway, at));
    }

    /// Records that a process has exited after a planned stop.
    pub fn on_ended(&self, gateway: usize, at: Duration) {
        lock(&self.ended).push((gateway, at));
    }

    /// Whether a process of the gateway exited between `from` and `to`.
    pub fn ended_between(&self, gateway: usize, from: Duration, to: Duration) -> bool {
        lock(&self.ended)
            .iter()
            .any(|(ended, at)| *ended == gateway && (from..=to).contains(at))
    }

    /// Whether the gateway was killed between `from` and `to`, or up to 100 ms before.
    pub fn killed_between(&self, gateway: usize, from: Duration, to: Duration) -> bool {
        let before = from.saturating_sub(Duration::from_millis(100));
        lock(&self.killed)
            .iter()
            .any(|(killed, at)| *killed == gateway && (before..=to).contains(at))
    }
}

/// A gateway with its current process.
#[derive(Debug)]
pub struct Gateway {
    pub address: SocketAddr,
    pub control: FaultControl,
    folder: PathBuf,
    /// Discovery agents; the configuration names one of them.
    agents: [SocketAddr; 2],
    agent: usize,
    program: PathBuf,
    library: PathBuf,
    child: Option<Child>,
    log: PathBuf,
}

/// Configuration shared by all gateways of a run.
#[derive(Clone, Debug)]
pub struct CommonConfig {
    pub program: PathBuf,
    pub library: PathBuf,
    pub folder: PathBuf,
    pub gateways: usize,
    /// Tenants' allowance over all endpoints, in requests per second.
    pub allowance: f64,
}

impl Gateway {
    /// Prepares the folder and configuration of a gateway without starting its process.
    ///
    /// # Errors
    /// The folder or a file in it cannot be written.
    pub fn new(
        common: &CommonConfig,
        n: usize,
        address: SocketAddr,
        agents: [SocketAddr; 2],
        known: &str,
    ) -> io::Result<Self> {
        let folder = common.folder.join(format!("g{n}"));
        std::fs::create_dir_all(&folder)?;
        let control = FaultControl::create(&folder.join("faults"))?;
        let log = common.folder.join(format!("g{n}.log"));
        let gateway = Self {
            address,
            control,
            folder,
            agents,
            agent: 0,
            program: common.program.clone(),
            library: common.library.clone(),
            child: None,
            log,
        };
        std::fs::write(gateway.folder.join("settings"), settings(common))?;
        std::fs::write(gateway.folder.join("known"), known)?;
        gateway.configure(n)?;
        Ok(gateway)
    }

    fn configure(&self, n: usize) -> io::Result<()> {
        let settings = std::fs::read_to_string(self.folder.join("settings"))?;
        let known = std::fs::read_to_string(self.folder.join("known"))?;
        let (listen, discovery) = (self.address, self.agents[self.agent]);
        let text = format!(
            r#"{{"name":"g{n}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be9{n:02x}","limits":{{"sockets":{MAX_DESCRIPTORS},"memory_mb":{MAX_MEMORY_MB}}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(self.folder.join("config.json"), text)
    }

    fn spawn(&self) -> io::Result<Child> {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &self.folder);
        self.control.apply(&mut command, &self.library);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
    }

    /// Starts a process on the gateway's folder with the state that an earlier process left there.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.child = Some(self.spawn()?);
        Ok(())
    }

    /// Starts a second process and returns the first.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start_second(&mut self) -> io::Result<Option<Child>> {
        let second = self.spawn()?;
        Ok(self.child.replace(second))
    }

    /// Waits until the gateway answers an empty query; false if it did not within
    /// 10 s.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self.answers_empty_query().is_ok() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn answers_empty_query(&self) -> io::Result<()> {
        use std::io::Write;
        let mut stream = connect(self.address)?;
        stream.write_all(&crate::members::message(b'Q', b"\0"))?;
        while pg_message(&mut stream)?.0 != b'I' {}
        Ok(())
    }

    /// Switches the configuration to the other agent and sends SIGHUP.
    ///
    /// # Errors
    /// The configuration file cannot be written.
    pub fn reload(&mut self, n: usize) -> io::Result<()> {
        self.agent = 1 - self.agent;
        self.configure(n)?;
        self.signal(libc::SIGHUP);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        self.child.iter().for_each(|child| signal_to(child, signal));
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Takes the process out, so that the caller can wait for its exit.
    pub fn take(&mut self) -> Option<Child> {
        self.child.take()
    }

    /// Exit status if the process has exited by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Open descriptors, and peak resident memory in megabytes; `None` if no process runs.
    #[must_use]
    pub fn usage(&self) -> Option<(usize, u64)> {
        let id = self.child.as_ref()?.id();
        // Before exec the child still has the descriptors of the test harness.
        let program = std::fs::read_link(format!("/proc/{id}/exe")).ok()?;
        if program.file_name() != self.program.file_name() {
            return None;
        }
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kb: u64 = peak.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some((descriptors, kb / 1024))
    }

    /// Clears all fault switches but the wall-clock offset.
    pub fn clear_faults(&self) {
        for switch in Switch::ALL
            .into_iter()
            .filter(|switch| *switch != Switch::WallClockOffset)
        {
            let _ = self.control.set(switch, 0);
        }
    }

    /// Log lines that report a panic or a violated internal invariant.
    #[must_use]
    pub fn faults_in_log(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let wrong = |line: &&str| line.contains("panicked") || line.contains("invariant violated");
        text.lines().filter(wrong).map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal to a process that the harness started.
pub fn signal_to(child: &Child, signal: i32) {
    let name = match signal {
        libc::SIGTERM => "TERM",
        libc::SIGHUP => "HUP",
        libc::SIGSTOP => "STOP",
        _ => "CONT",
    };
    let _ = Command::new("kill")
        .args([&format!("-{name}"), &child.id().to_string()])
        .status();
}

/// Settings of all gateways in the platform's format.
fn settings(common: &CommonConfig) -> String {
    let class = |class: &super::world::Class| {
        let (effect, window) = match class.effect {
            Effect::Safe => ("safe", 0),
            Effect::Keyed(window) => ("keyed", window.as_millis()),
            Effect::Unsafe => ("unsafe", 0),
        };
        let deadline = class.deadline.as_millis();
        format!(
            r#"{{"name":"{}","effect":"{effect}","group":"cell","deadline-ms":{deadline},"slo-ms":{},"late-worth":0.3,"window-ms":{window},"worth":1.0}}"#,
            class.name,
            deadline / 3
        )
    };
    let classes: Vec<String> = CLASSES.iter().map(class).collect();
    let needs: Vec<String> = CLASSES
        .iter()
        .map(|class| format!("\"{}\"", class.need))
        .collect();
    let bounds: Vec<String> = CLASSES
        .iter()
        .map(|class| class.bound.map_or(0, |bound| bound.as_millis()).to_string())
        .collect();
    let slow = slow_start(1.0);
    format!(
        r#"{{"areas":["a"],"skus":["m"],"classes":[{}],"family-info":{{"needs-by-class":[{}],"staleness-bound-ms":[{}],"position-zero-ms":0.0,"role-listed":"trailing","server-checks":"off","token-mode":"kept"}},"fleet-size":{},"zone":0,"tick-ms":5.0,"membership-mode":"push","limits":{{"cancel":true,"conn-idle-ms":5000,"connect-timeout-ms":400.0,"max-attempts":6,"max-retry-after-ms":1000.0,"most-held":20000,"probing":true,"retry-after":false,"second-copies":false}},"rules":{{"ask-within-ms":10000.0,"cold-from":{},"cold-ms":{},"tip-after-ms":{},"tip-multiple":{}}},"telemetry":{{"fields":["x0","x1","util","inflight"],"source":"on_probe"}},"tenants":[{{"name":"acme","allowance-per-s":{},"share":1.0}}],"over-share-worth":0.2}}"#,
        classes.join(","),
        needs.join(","),
        bounds.join(","),
        common.gateways,
        slow.slow_start_initial_capacity,
        slow.cold.as_millis(),
        slow.window.as_millis(),
        slow.multiple,
        common.allowance,
    )
}

/// Creates an empty folder, removing what was there.
///
/// # Errors
/// The folder cannot be created.
pub fn create_empty_folder(path: &Path) -> io::Result<PathBuf> {
    let _ = std::fs::remove_dir_all(path);
    std::fs::create_dir_all(path)?;
    Ok(path.to_owned())
}
