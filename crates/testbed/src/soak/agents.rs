//! Stub discovery agents: each gateway has its own, behind a proxy that can hold back, fragment and
//! reset the stream.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{Builder, sleep};
use std::time::{Duration, Instant};

use super::world::World;
use crate::members::http_head;

const STACK_BYTES: usize = 128 * 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes that the proxy forwards per write while it fragments the stream.
const FRAGMENT_BYTES: usize = 7;

/// Fault state of the proxy between a gateway and its agent.
#[derive(Debug, Default)]
pub struct AgentPath {
    /// The proxy forwards nothing.
    pub held_back: AtomicBool,
    /// The proxy forwards in small fragments.
    pub fragments: AtomicBool,
    /// Connections numbered up to this one are reset.
    pub reset_below: AtomicU64,
    connections: AtomicU64,
}

impl AgentPath {
    /// Resets all open connections.
    pub fn reset_open(&self) {
        self.reset_below
            .store(self.connections.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

/// Starts an agent that serves a gateway the endpoint list with these addresses, and its proxy;
/// returns the proxy's address.
///
/// # Errors
/// Binding an address or starting a thread failed.
pub fn start(
    world: &Arc<World>,
    path: &Arc<AgentPath>,
    endpoints: &[SocketAddr],
) -> io::Result<SocketAddr> {
    let agent = TcpListener::bind("127.0.0.1:0")?;
    let agent_at = agent.local_addr()?;
    let (shared, addresses) = (Arc::clone(world), endpoints.to_vec());
    accept(world, agent, move |stream| {
        drop(serve(&shared, &addresses, &stream))
    })?;
    let proxy = TcpListener::bind("127.0.0.1:0")?;
    let proxy_at = proxy.local_addr()?;
    let (shared, path) = (Arc::clone(world), Arc::clone(path));
    accept(world, proxy, move |stream| {
        let number = 1 + path.connections.fetch_add(1, Ordering::SeqCst);
        let Ok(onward) = TcpStream::connect(agent_at) else {
            return;
        };
        let (Ok(from), Ok(to)) = (stream.try_clone(), onward.try_clone()) else {
            return;
        };
        let (world, back) = (Arc::clone(&shared), Arc::clone(&path));
        let _ = Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || relay(&world, &back, number, &to, &from));
        relay(&shared, &path, number, &stream, &onward);
    })?;
    Ok(proxy_at)
}

fn accept(
    world: &Arc<World>,
    listener: TcpListener,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<()> {
    let (world, serve) = (Arc::clone(world), Arc::new(serve));
    Builder::new().stack_size(STACK_BYTES).spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if world.is_over() {
                return;
            }
            let serve = Arc::clone(&serve);
            let _ = Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || serve(stream));
        }
    })?;
    Ok(())
}

/// Forwards bytes in one direction until either side closes.
fn relay(world: &World, path: &AgentPath, number: u64, from: &TcpStream, to: &TcpStream) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut buffer = [0; 16 * 1024];
    loop {
        if world.is_over() {
            break;
        }
        if path.reset_below.load(Ordering::SeqCst) >= number {
            for stream in [from, to] {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
            break;
        }
        let count = match { from }.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        while path.held_back.load(Ordering::SeqCst) && !world.is_over() {
            sleep(POLL_INTERVAL);
        }
        let piece = if path.fragments.load(Ordering::SeqCst) {
            FRAGMENT_BYTES
        } else {
            buffer.len()
        };
        if buffer[..count]
            .chunks(piece)
            .any(|some| { to }.write_all(some).is_err())
        {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Serves list requests and long-poll watches.
fn serve(world: &World, addresses: &[SocketAddr], stream: &TcpStream) -> io::Result<()> {
    let mut from = io::BufReader::new(stream);
    loop {
        let head = http_head(&mut from)?;
        let number = |name: &str| -> Option<u64> {
            head.split_once(name)?
                .1
                .split(['&', ' '])
                .next()?
                .parse()
                .ok()
        };
        let (since, hold) = (
            number("from="),
            Duration::from_millis(number("hold_ms=").unwrap_or(0)),
        );
        let until = Instant::now() + hold;
        let changed = || since.is_none_or(|since| world.version.load(Ordering::SeqCst) > since);
        while !changed() && Instant::now() < until && !world.is_over() {
            sleep(POLL_INTERVAL);
        }
        let body = if changed() {
            world.discovery_list(addresses)
        } else {
            format!(
                r#"{{"rev":{},"all":false,"targets":[]}}"#,
                since.unwrap_or(0)
            )
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        { stream }.write_all(text.as_bytes())?;
    }
}
