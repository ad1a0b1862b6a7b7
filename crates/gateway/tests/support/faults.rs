//! A gateway whose system calls fail and whose wall clock is off as the test says, by a preloaded
//! library.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, OnceLock};

use valehatch_fault_control::{CONTROL_FILE_VARIABLE, FaultControl, Switch};

use super::{Discovery, GatewayProcess, config, free_address, temp_folder, wait_until};

/// Path of the library to preload, which is built once.
pub(crate) fn preload_library() -> &'static PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        valehatch_fault_control::build_library().expect("cannot build the fault library")
    })
}

/// A gateway with the fault library preloaded.
pub(crate) struct FaultyGateway {
    pub address: SocketAddr,
    pub control: FaultControl,
    program: GatewayProcess,
    discovery: Arc<Discovery>,
}

/// Starts a gateway for these endpoints with an edited configuration and one fault switch set, if
/// given.
pub(crate) fn start_faulty_gateway(
    known: &str,
    edit: impl Fn(String) -> String,
    set: Option<(Switch, i64)>,
) -> FaultyGateway {
    let (discovery_at, discovery) = Discovery::start(known.to_owned());
    let (address, folder) = (free_address(), temp_folder());
    let path = folder.join("config.json");
    std::fs::write(&path, edit(config(address, discovery_at, known, 15_000))).unwrap();
    let control = FaultControl::create(&folder.join("faults")).unwrap();
    set.into_iter()
        .for_each(|(switch, value)| control.set(switch, value).unwrap());
    let faults = folder.join("faults").display().to_string();
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
