//! What all cases share: the record, the gateway's processes, free addresses, and a stand-in of the
//! platform's discovery agent. Only the standard library is used.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// `struct linger` of the C library.
#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

/// Makes the close of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    let length = size_of::<Linger>() as u32;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Unix time in microseconds.
pub fn unix_us() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |age| age.as_micros() as i64)
}

/// Whether the disruption takes place: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The case's `record.txt`: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:9.1} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{}", text.as_ref());
    }
}

/// How a case ends: the rule held, the rule was broken, or the case could not run.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// A temporary folder, removed when the case ends.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("valehatch-review-{}-{}", std::process::id(), unix_us());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that nobody listens on.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap()
}

/// Serves each connection to a new loopback address in a thread of its own.
pub fn serve(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(stream));
        }
    });
    address
}

/// One process of the gateway, started with `run` of the deploy file. Dropping it kills it.
pub struct Gateway {
    child: Child,
    pub pid: i32,
}

/// The command `run` of `deploy/balancer.toml`.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run = "));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.expect("a run command in the deploy file").to_owned()
}

impl Gateway {
    /// Starts a process of the gateway with further arguments of `run` and environment variables.
    /// Its output goes to `log`.
    pub fn start(arguments: &str, variables: &[(&str, String)], log: &Path) -> Self {
        let out = File::create(log).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{} {arguments}", run_command()))
            .env_remove("BALANCER_MGMT")
            .envs(variables.iter().map(|(name, value)| (*name, value)))
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out);
        let child = command.spawn().expect("/bin/sh");
        let pid = child.id() as i32;
        Self { child, pid }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid, signal) };
    }

    /// Memory that the process holds, in KiB; 0 if it has ended.
    pub fn resident_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds; false after `limit`.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(millis(5));
    }
    true
}

// ---- Discovery ----

/// An entry of the list of databases.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub group: u16,
    pub state: &'static str,
    pub boot_ms: i64,
    pub mode: &'static str,
}

impl Entry {
    fn json(&self, az: &str) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{az}\",\"model\":\"std-4\",\
             \"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{},\"mode\":\"{}\"}}",
            self.uid, self.address, self.group, self.state, self.boot_ms, self.mode
        )
    }
}

/// The agent of the platform's discovery. Its list does not change: a watch from its version waits
/// and is answered with no change, anything else with the whole list.
pub struct Agent {
    pub address: SocketAddr,
    rev: u64,
    entries: Vec<Entry>,
    az: String,
}

impl Agent {
    pub fn start(rev: u64, entries: Vec<Entry>, az: &str) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let serving = Arc::clone(&slot);
        let address = serve(move |stream| {
            let agent = serving.lock().unwrap().clone();
            if let Some(agent) = agent {
                agent.answer_calls(stream);
            }
        });
        let agent = Arc::new(Self { address, rev, entries, az: az.to_owned() });
        *slot.lock().unwrap() = Some(Arc::clone(&agent));
        agent
    }

    /// The whole list in discovery's form; `None` if a watch has this version already.
    pub fn json(&self, from: Option<u64>) -> Option<String> {
        if from == Some(self.rev) {
            return None;
        }
        let targets: Vec<String> = self.entries.iter().map(|entry| entry.json(&self.az)).collect();
        Some(format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", self.rev, targets.join(",")))
    }

    fn nothing_new(&self) -> String {
        format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", self.rev)
    }

    fn answer_calls(&self, mut stream: TcpStream) {
        loop {
            let mut head = vec![];
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                if !matches!(stream.read(&mut byte), Ok(1)) {
                    return;
                }
                head.push(byte[0]);
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let number = |name: &str| -> Option<u64> {
                let rest = head.split_once(name)?.1;
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse().ok()
            };
            let from = number("from=");
            let end = Instant::now() + millis(number("hold_ms=").unwrap_or(0).min(60_000));
            let body = loop {
                if let Some(body) = self.json(from) {
                    break body;
                }
                if Instant::now() >= end {
                    break self.nothing_new();
                }
                thread::sleep(millis(3));
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}
