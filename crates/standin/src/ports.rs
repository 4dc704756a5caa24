//! Allocation of free loopback ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port of the range, which lies below the ephemeral ports that the kernel gives to outgoing connections.
const FIRST_PORT: u32 = 12_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 20_000;
/// Distance between the ports that processes with consecutive ids try first, so that they rarely collide.
const PROCESS_STRIDE: u32 = 97;

/// Number of ports that this process has tried so far.
static TRIED_COUNT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is free and that this function has not returned in this process before.
pub fn free_port() -> SocketAddr {
    let first_offset = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let candidates = (0..PORT_COUNT).map(|_| {
        let offset = first_offset.wrapping_add(TRIED_COUNT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16))
    });
    let mut free = candidates.filter(|address| TcpListener::bind(address).is_ok());
    free.next().expect("a loopback port is free")
}
