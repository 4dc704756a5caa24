//! Calls of other entries, over one connection a peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::Mutex;
use tokio::time::timeout;
use vanillacleat_control::entry::EntryEvent;
use vanillacleat_control::CallId;
use vanillacleat_core::frames::{Envelope, PeerCall, PeerReply};
use vanillacleat_core::job::DEADLINE_MILLIS_MAX;
use vanillacleat_wire::{WireConnection, WireError};

use crate::entry_input::{EntryInput, InputSink};

/// Longest time of a call that the peer answers at once.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time beyond the longest deadline that a forwarded job may take.
const LONG_CALL_MARGIN: Duration = Duration::from_secs(5);

type SharedConnection = Arc<WireConnection>;

/// A `PeerCaller` makes calls and reports their answers.
#[derive(Clone, Debug)]
pub(crate) struct PeerCaller {
    outlet: InputSink,
    connections: Arc<Mutex<HashMap<SmolStr, SharedConnection>>>,
}

impl PeerCaller {
    pub(crate) fn new(outlet: InputSink) -> Self {
        Self { outlet, connections: Arc::default() }
    }

    /// Makes a call and reports its answer, or that none came.
    pub(crate) async fn make_call(self, call: CallId, address: SmolStr, envelope: Envelope<PeerCall>, is_long: bool) {
        let limit = if is_long { DEADLINE_MILLIS_MAX.to_duration() + LONG_CALL_MARGIN } else { SHORT_CALL_TIMEOUT };
        let reply = match timeout(limit, self.try_call(&address, &envelope)).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(error)) => {
                log::debug!("event=peer_unreachable peer={address} cause={:?}", error.to_string());
                None
            }
            Err(_) => {
                self.connections.lock().await.remove(&address);
                None
            }
        };
        self.outlet.send(EntryInput::Event(EntryEvent::PeerReplied { call, reply }));
    }

    async fn try_call(&self, address: &SmolStr, envelope: &Envelope<PeerCall>) -> Result<Envelope<PeerReply>, WireError> {
        let connection = self.find_connection(address).await?;
        connection.call(envelope).await
    }

    async fn find_connection(&self, address: &SmolStr) -> Result<SharedConnection, WireError> {
        let known = self.connections.lock().await.get(address).filter(|connection| !connection.is_closed()).cloned();
        if let Some(connection) = known {
            return Ok(connection);
        }
        let target: SocketAddr = address.parse().map_err(|_| WireError::Closed(format!("{address} is no address")))?;
        let connection = Arc::new(WireConnection::connect(target).await?);
        self.connections.lock().await.insert(address.clone(), connection.clone());
        Ok(connection)
    }
}
