//! Calls to other entries. Calls to the same peer share a connection.

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

/// Timeout of a call that the peer answers at once.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The timeout of a call that forwards a job is the maximum deadline of a job plus this margin.
const LONG_CALL_MARGIN: Duration = Duration::from_secs(5);

type SharedConnection = Arc<WireConnection>;

/// Calls other entries and reports their replies to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct PeerCaller {
    sink: InputSink,
    connections: Arc<Mutex<HashMap<SmolStr, SharedConnection>>>,
}

impl PeerCaller {
    pub(crate) fn new(sink: InputSink) -> Self {
        Self { sink, connections: Arc::default() }
    }

    /// Calls the peer at `address` and reports its reply, or that none was received. `forwards_job` marks a call that forwards a
    /// job, which the peer answers only when the job has ended.
    pub(crate) async fn call_peer(self, call: CallId, address: SmolStr, envelope: Envelope<PeerCall>, forwards_job: bool) {
        let call_timeout = if forwards_job { DEADLINE_MILLIS_MAX.to_duration() + LONG_CALL_MARGIN } else { SHORT_CALL_TIMEOUT };
        let reply = match timeout(call_timeout, self.send_call(&address, &envelope)).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(error)) => {
                log::debug!("event=peer_unreachable peer={address} cause={:?}", error.to_string());
                None
            }
            Err(_) => {
                // The connection may be lost without an error, so the next call opens a new one.
                self.connections.lock().await.remove(&address);
                None
            }
        };
        self.sink.send(EntryInput::Event(EntryEvent::PeerReplied { call, reply }));
    }

    async fn send_call(&self, address: &SmolStr, envelope: &Envelope<PeerCall>) -> Result<Envelope<PeerReply>, WireError> {
        let connection = self.get_or_connect(address).await?;
        connection.call(envelope).await
    }

    /// Returns the open connection to `address`, or a new one if there is none.
    async fn get_or_connect(&self, address: &SmolStr) -> Result<SharedConnection, WireError> {
        let open = self.connections.lock().await.get(address).filter(|connection| !connection.is_closed()).cloned();
        if let Some(connection) = open {
            return Ok(connection);
        }
        let target: SocketAddr = address.parse().map_err(|_| WireError::Closed(format!("{address} is not a socket address")))?;
        let connection = Arc::new(WireConnection::connect(target).await?);
        self.connections.lock().await.insert(address.clone(), connection.clone());
        Ok(connection)
    }
}
