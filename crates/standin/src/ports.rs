//! Free loopback ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port that is tried; the ports from here on are below those that outgoing connections get.
const FIRST_PORT: u32 = 12_000;
/// Number of ports that are tried in turn.
const PORTS: u32 = 20_000;
/// Distance between the first ports of two processes.
const PROCESS_STRIDE: u32 = 97;

static GIVEN: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that is free and was not given out by this process before.
pub fn free_port() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let candidates = (0..PORTS).map(|_| {
        let offset = first.wrapping_add(GIVEN.fetch_add(1, Ordering::Relaxed)) % PORTS;
        SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16))
    });
    let mut free = candidates.filter(|address| TcpListener::bind(address).is_ok());
    free.next().expect("a loopback port is free")
}
