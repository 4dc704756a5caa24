//! The parts of a local deployment bind ports that the system chooses, so that other processes can't take them in between.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use vanillacleat_cli::deployment::{DeploymentOptions, LocalDeployment};

/// Takes the port of a process that is exiting.
fn take_port(address: SocketAddr) -> TcpListener {
    let give_up_at = Instant::now() + Duration::from_secs(20);
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) if Instant::now() > give_up_at => panic!("{address} is not closed: {error}"),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

// Guards against a part that chooses its port before it binds it: another process takes the port in between.
#[test]
fn port_that_another_process_takes_stops_no_agent() {
    let options = DeploymentOptions { entries: 1, agents: 1, ..DeploymentOptions::default() };
    let mut deployment = LocalDeployment::start(&options).expect("the deployment starts");
    let former = deployment.agent_settings[0].http_listen;
    drop(deployment.agents[0].take());
    let _taken = take_port(former);
    deployment.start_agent(0).expect("the agent starts at another port");
    let address = deployment.agent_settings[0].http_listen;
    assert_ne!(address, former);
    let state = deployment.runtime.block_on(async { reqwest::get(format!("http://{address}/v1/state")).await });
    assert_eq!(state.expect("the agent is reached at its new port").status().as_u16(), 200);
}
