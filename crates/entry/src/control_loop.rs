//! Carries out the control state's actions.

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

/// Time given to the last replies before a drained entry exits.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Who waits for a reply.
enum ReplyTarget {
    Caller(oneshot::Sender<CallerReply>),
    Peer(oneshot::Sender<Envelope<PeerReply>>),
}

/// A `ControlLoop` owns the control state and everything that its actions need.
pub(crate) struct ControlLoop {
    control: EntryControl,
    name: EntryId,
    outlet: InputSink,
    traffic: Handle,
    platform: Arc<PlatformClient>,
    peers: PeerCaller,
    replies: HashMap<ReplyId, ReplyTarget>,
    sessions: HashMap<SessionId, FrameQueue>,
    next_id: u64,
}

impl ControlLoop {
    pub(crate) fn new(control: EntryControl, name: EntryId, platform: Arc<PlatformClient>, traffic: Handle) -> Self {
        let outlet = InputSink::default();
        let peers = PeerCaller::new(outlet.clone());
        Self { control, name, outlet, traffic, platform, peers, replies: HashMap::new(), sessions: HashMap::new(), next_id: 0 }
    }

    pub(crate) fn event_sink(&self) -> InputSink {
        self.outlet.clone()
    }

    pub(crate) fn step(&mut self, now: MonoTime, input: EntryInput) -> ControlStep {
        let event = match input {
            EntryInput::Event(event) => event,
            EntryInput::Call(call, target) => {
                let reply = self.keep_target(ReplyTarget::Caller(target));
                EntryEvent::Caller { reply, call }
            }
            EntryInput::PeerCall(call, target) => {
                let reply = self.keep_target(ReplyTarget::Peer(target));
                EntryEvent::PeerCalled { reply, call }
            }
            EntryInput::Opened(queue, opened) => {
                let session = SessionId(self.make_id());
                self.sessions.insert(session, queue);
                let _ = opened.send(session);
                return ControlStep::Continue;
            }
            EntryInput::Frame(session, frame) => EntryEvent::Agent { session, frame },
            EntryInput::Gone(session) => {
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
            self.publish();
        }
        if is_drained {
            std::thread::sleep(FLUSH_TIME);
            return ControlStep::Stop;
        }
        ControlStep::Continue
    }

    fn execute(&mut self, action: EntryAction) {
        match action {
            EntryAction::Reply { reply, body } => self.reply(reply, body),
            EntryAction::PeerReply { reply, envelope } => {
                if let Some(ReplyTarget::Peer(target)) = self.replies.remove(&reply) {
                    let _ = target.send(envelope);
                }
            }
            EntryAction::Send { session, envelope } => {
                let is_sent = self.sessions.get(&session).is_some_and(|queue| queue.try_send(envelope));
                if !is_sent {
                    self.sessions.remove(&session);
                }
            }
            EntryAction::Close { session } => drop(self.sessions.remove(&session)),
            EntryAction::CallPeer { call, address, envelope, is_long } => {
                drop(self.traffic.spawn(self.peers.clone().make_call(call, address, envelope, is_long)));
            }
            EntryAction::CallPlatform { call, op } => {
                let (platform, outlet) = (self.platform.clone(), self.outlet.clone());
                self.traffic.spawn(async move {
                    let reply = platform.execute(op).await;
                    outlet.send(EntryInput::Event(EntryEvent::PlatformReplied { call, reply }));
                });
            }
            EntryAction::Log(entry) => log::info!("event={} entry={} {}", entry.event, self.name, entry.fields),
            EntryAction::Drained => {}
        }
    }

    fn reply(&mut self, reply: ReplyId, body: CallerReply) {
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

    fn keep_target(&mut self, target: ReplyTarget) -> ReplyId {
        let reply = ReplyId(self.make_id());
        self.replies.insert(reply, target);
        reply
    }

    fn make_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn publish(&self) {
        let EntryCounters { dispatched, ended, bounced, reclaimed, cancelled, unwanted, echoes, configs, gossips, .. } =
            self.control.counters();
        let messages = [
            ("dispatch", dispatched),
            ("result", ended),
            ("bounce", bounced),
            ("reclaim", reclaimed),
            ("cancel", cancelled),
            ("unwanted_result", unwanted),
            ("echo", echoes),
            ("config", configs),
            ("gossip", gossips),
        ];
        for (kind, count) in messages {
            metrics::counter!("entry_messages_total", "entry" => self.name.to_string(), "kind" => kind).absolute(*count);
        }
        let counters = self.control.counters();
        let jobs = [("complete", counters.jobs_complete), ("failed", counters.jobs_failed), ("refused", counters.refused)];
        for (verdict, count) in jobs {
            metrics::counter!("entry_jobs_total", "entry" => self.name.to_string(), "verdict" => verdict).absolute(count);
        }
        metrics::gauge!("entry_config_revision", "entry" => self.name.to_string()).set(self.control.config().revision().0 as f64);
    }
}
