//! Passes inputs to the control state and executes the actions that it returns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::oneshot;
use vanillacleat_control::entry::{CallerReply, EntryAction, EntryControl, EntryCounters, EntryEvent};
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::frames::{Envelope, PeerReply};
use vanillacleat_core::ids::EntryId;
use vanillacleat_core::units::MonoTime;
use vanillacleat_daemon::ControlStep;
use vanillacleat_etcd_gateway::PlatformClient;

use crate::entry_input::{EntryInput, FrameQueue, InputSink};
use crate::peer_calls::PeerCaller;

/// Delay before a drained entry exits, so that its last replies are still sent.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// The channel to the I/O task that waits for the reply to a call.
enum ReplyTarget {
    Caller(oneshot::Sender<CallerReply>),
    Peer(oneshot::Sender<Envelope<PeerReply>>),
}

/// Owns the control state and the resources needed to execute its actions.
pub(crate) struct ControlLoop {
    control: EntryControl,
    id: EntryId,
    sink: InputSink,
    runtime: Handle,
    platform: Arc<PlatformClient>,
    peers: PeerCaller,
    replies: HashMap<ReplyId, ReplyTarget>,
    sessions: HashMap<SessionId, FrameQueue>,
    next_id: u64,
}

impl ControlLoop {
    pub(crate) fn new(control: EntryControl, id: EntryId, platform: Arc<PlatformClient>, runtime: Handle) -> Self {
        let sink = InputSink::default();
        let peers = PeerCaller::new(sink.clone());
        Self { control, id, sink, runtime, platform, peers, replies: HashMap::new(), sessions: HashMap::new(), next_id: 0 }
    }

    pub(crate) fn event_sink(&self) -> InputSink {
        self.sink.clone()
    }

    pub(crate) fn step(&mut self, now: MonoTime, input: EntryInput) -> ControlStep {
        let event = match input {
            EntryInput::Event(event) => event,
            EntryInput::Call(call, target) => {
                let reply = self.register_target(ReplyTarget::Caller(target));
                EntryEvent::Caller { reply, call }
            }
            EntryInput::PeerCall(call, target) => {
                let reply = self.register_target(ReplyTarget::Peer(target));
                EntryEvent::PeerCalled { reply, call }
            }
            EntryInput::RegisterSession(queue, assigned) => {
                let session = SessionId(self.allocate_id());
                self.sessions.insert(session, queue);
                let _ = assigned.send(session);
                return ControlStep::Continue;
            }
            EntryInput::Frame(session, frame) => EntryEvent::Agent { session, frame },
            EntryInput::SessionClosed(session) => {
                self.sessions.remove(&session);
                EntryEvent::SessionClosed { session }
            }
            EntryInput::Stop => return ControlStep::Stop,
        };
        let is_tick = matches!(event, EntryEvent::Tick);
        let actions = self.control.handle(now, event);
        let is_drained = actions.iter().any(|action| matches!(action, EntryAction::Drained));
        actions.into_iter().for_each(|action| self.execute(action));
        if is_tick {
            self.publish_metrics();
        }
        if is_drained {
            std::thread::sleep(FLUSH_DELAY);
            return ControlStep::Stop;
        }
        ControlStep::Continue
    }

    fn execute(&mut self, action: EntryAction) {
        match action {
            EntryAction::Reply { reply, body } => self.send_reply(reply, body),
            EntryAction::PeerReply { reply, envelope } => {
                if let Some(ReplyTarget::Peer(target)) = self.replies.remove(&reply) {
                    let _ = target.send(envelope);
                }
            }
            EntryAction::Send { session, envelope } => {
                let is_sent = self.sessions.get(&session).is_some_and(|queue| queue.try_send(envelope));
                if !is_sent {
                    // Dropping the queue closes the session.
                    self.sessions.remove(&session);
                }
            }
            EntryAction::Close { session } => drop(self.sessions.remove(&session)),
            EntryAction::CallPeer { call, address, envelope, forwards_job } => {
                drop(self.runtime.spawn(self.peers.clone().call_peer(call, address, envelope, forwards_job)));
            }
            EntryAction::CallPlatform { call, op } => {
                let (platform, sink) = (self.platform.clone(), self.sink.clone());
                self.runtime.spawn(async move {
                    let reply = platform.execute(op).await;
                    sink.send(EntryInput::Event(EntryEvent::PlatformReplied { call, reply }));
                });
            }
            EntryAction::Log(line) => log::info!("event={} entry={} {}", line.event, self.id, line.fields),
            EntryAction::Drained => {}
        }
    }

    fn send_reply(&mut self, reply: ReplyId, body: CallerReply) {
        match self.replies.remove(&reply) {
            Some(ReplyTarget::Caller(target)) => drop(target.send(body)),
            Some(ReplyTarget::Peer(target)) => {
                if let Some(body) = body.to_peer() {
                    let revision = self.control.config().revision();
                    let _ = target.send(Envelope { revision, body });
                }
            }
            None => {}
        }
    }

    fn register_target(&mut self, target: ReplyTarget) -> ReplyId {
        let reply = ReplyId(self.allocate_id());
        self.replies.insert(reply, target);
        reply
    }

    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn publish_metrics(&self) {
        let EntryCounters { dispatched, ended, bounced, reclaimed, cancelled, unwanted, outdated_hellos, echoes, configs, gossips, .. } =
            self.control.counters();
        let messages = [
            ("dispatch", dispatched),
            ("result", ended),
            ("bounce", bounced),
            ("reclaim", reclaimed),
            ("cancel", cancelled),
            ("unwanted_result", unwanted),
            ("outdated_hello", outdated_hellos),
            ("echo", echoes),
            ("config", configs),
            ("gossip", gossips),
        ];
        for (kind, count) in messages {
            metrics::counter!("entry_messages_total", "entry" => self.id.to_string(), "kind" => kind).absolute(*count);
        }
        let counters = self.control.counters();
        let jobs = [("complete", counters.jobs_complete), ("failed", counters.jobs_failed), ("refused", counters.refused)];
        for (verdict, count) in jobs {
            metrics::counter!("entry_jobs_total", "entry" => self.id.to_string(), "verdict" => verdict).absolute(count);
        }
        metrics::gauge!("entry_config_revision", "entry" => self.id.to_string()).set(self.control.config().revision().0 as f64);
    }
}
