//! Several processes of one gateway, which share a folder, a configuration and discovery.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;

use super::{Discovery, GatewayProcess, config, free_address, temp_folder, wait_until};

/// The configuration, folder and discovery service that all processes of the gateway share.
pub(crate) struct GatewaySetup {
    pub listen: SocketAddr,
    pub folder: PathBuf,
    pub config: PathBuf,
    pub initial_list: String,
    pub discovery_address: SocketAddr,
    pub discovery: Arc<Discovery>,
}

/// One process of the gateway.
pub(crate) struct Process {
    pub program: GatewayProcess,
    pub management: SocketAddr,
}

impl GatewaySetup {
    pub(crate) fn new(initial_list: &str) -> Self {
        Self::with_config(initial_list, |text| text)
    }

    /// Like [`GatewaySetup::new`], with an edited configuration.
    pub(crate) fn with_config(initial_list: &str, edit: impl Fn(String) -> String) -> Self {
        let (discovery_address, discovery) = Discovery::start(initial_list.to_owned());
        let (listen, folder) = (free_address(), temp_folder());
        let path = folder.join("config.json");
        // Long enough that a loaded machine causes no time-outs.
        let text = config(listen, discovery_address, initial_list, 15_000);
        std::fs::write(
            &path,
            edit(text.replace("\"deadline-ms\":5000.0", "\"deadline-ms\":20000.0")),
        )
        .unwrap();
        Self {
            listen,
            folder,
            config: path,
            initial_list: initial_list.to_owned(),
            discovery_address,
            discovery,
        }
    }

    /// Spawns a process and returns without waiting for it.
    pub(crate) fn spawn(&self) -> Process {
        let management = free_address();
        let (folder, address) = (self.folder.to_str().unwrap(), management.to_string());
        let variables = [("TMPDIR", folder), ("BALANCER_MGMT", &address)];
        Process {
            program: GatewayProcess::spawn(&[], Some(&self.config), &variables),
            management,
        }
    }

    /// Spawns a process and waits until it is healthy and accepts handover requests.
    pub(crate) fn start(&self) -> Process {
        let process = self.spawn();
        wait_until("the process is healthy", || process.is_healthy());
        // The next process connects to this socket, which appears a moment after the process
        // becomes healthy.
        wait_until("the handover socket exists", || {
            self.folder
                .join(format!("handover-{}", self.listen))
                .exists()
        });
        process
    }
}

impl Process {
    pub(crate) fn is_healthy(&self) -> bool {
        self.get("/admin/health").starts_with("HTTP/1.1 200")
    }

    /// The response of the management server; empty if there is none.
    pub(crate) fn get(&self, path: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.management) else {
            return String::new();
        };
        let mut text = String::new();
        let sent = stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes());
        let received = sent.and_then(|()| stream.read_to_string(&mut text));
        received.map_or(String::new(), |_| text)
    }

    pub(crate) fn resident_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/statm", self.program.0.id()))
            .unwrap_or_default();
        status
            .split(' ')
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0)
            * 4096
    }

    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.program.0.id())).map_or(0, Iterator::count)
    }
}
