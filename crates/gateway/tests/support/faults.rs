//! A gateway on a machine whose system calls fail, and whose wall clock is off, as the test says.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, OnceLock};

use valehatch_fault_control::{CONTROL_FILE_VARIABLE, FaultControl, Switch};

use super::{Discovery, GatewayProcess, config, temp_folder, free_address, wait_until};

/// The library that is preloaded, built once.
pub(crate) fn preload_library() -> &'static PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| valehatch_fault_control::build_library().expect("the library is built"))
}

pub(crate) struct FaultyGateway {
    pub address: SocketAddr,
    pub control: FaultControl,
    program: GatewayProcess,
    discovery: Arc<Discovery>,
}

/// A gateway between these members with an edited configuration, whose machine starts with a switch set.
pub(crate) fn start_faulty_gateway(
    members: &str,
    edit: impl Fn(String) -> String,
    set: Option<(Switch, i64)>,
) -> FaultyGateway {
    let (discovery_at, discovery) = Discovery::start(members.to_owned());
    let (address, place) = (free_address(), temp_folder());
    let path = place.join("config.json");
    std::fs::write(&path, edit(config(address, discovery_at, members, 15_000))).unwrap();
    let control = FaultControl::create(&place.join("faults")).unwrap();
    set.into_iter()
        .for_each(|(switch, value)| control.set(switch, value).unwrap());
    let faults = place.join("faults").display().to_string();
    let variables = [
        ("LD_PRELOAD", preload_library().to_str().unwrap()),
        (CONTROL_FILE_VARIABLE, faults.as_str()),
    ];
    let program = GatewayProcess::spawn(&[], Some(&path), &variables);
    wait_until("the gateway listens", || {
        TcpStream::connect(address).is_ok()
    });
    FaultyGateway {
        address,
        control,
        program,
        discovery,
    }
}
