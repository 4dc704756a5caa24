//! Free loopback ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Returns a loopback address whose port was free a moment ago.
pub fn free_port() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a loopback port can be bound");
    listener.local_addr().expect("a bound listener has an address")
}
