//! Start of the stand-ins' HTTP servers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Mutex;

use rocket::fairing::AdHoc;
use rocket::{Build, Rocket, Shutdown};
use tokio::sync::oneshot;
use vanillacleat_daemon::{launch_server, server_config, ServerError};

/// Number of threads of a stand-in's server.
const SERVER_THREADS: usize = 2;

/// Returns the configuration of a server at a free loopback port.
pub(crate) fn standin_config() -> rocket::Config {
    rocket::Config { workers: SERVER_THREADS, ..server_config((Ipv4Addr::LOCALHOST, 0).into()) }
}

/// Starts a server. Returns the address at which it accepts connections, and the handle that stops it.
pub(crate) async fn start_server(server: Rocket<Build>) -> Result<(SocketAddr, Shutdown), ServerError> {
    let (shutdown_sender, shutdown) = oneshot::channel();
    let shutdown_sender = Mutex::new(Some(shutdown_sender));
    let report_shutdown = AdHoc::on_liftoff("shutdown handle", move |server| {
        Box::pin(async move {
            let sender = shutdown_sender.lock().ok().and_then(|mut sender| sender.take());
            sender.map(|sender| sender.send(server.shutdown()));
        })
    });
    let address = launch_server(server.attach(report_shutdown)).await?;
    Ok((address, shutdown.await.expect("a server that accepts connections has sent its handle")))
}
