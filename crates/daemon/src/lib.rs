//! The shared parts of the daemons: the control thread, the I/O runtime, settings files with reloads, logging, metrics,
//! signals and the configuration of HTTP servers.
//!
//! A daemon has one control thread, which owns its state and handles one event at a time, and a [`ProcessRuntime`], whose
//! threads do the I/O and send events to the control thread.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connection_guard;
mod control_thread;
mod guarded_server;
mod host_clock;
mod http_server;
mod logging;
mod metrics_page;
mod process_handle;
mod process_runtime;
mod request_body;
mod settings_file;
mod settings_reload;
mod signals;

pub use connection_guard::{ConnectionGuard, ConnectionSlot, Evicted, GuardLimits};
pub use control_thread::{spawn_batch_thread, spawn_control_thread, ControlStep, EventBatch, EventSender, PauseSwitch};
pub use guarded_server::{serve_http, serve_sockets, BodyProblem, GuardedRequest, GuardedStream, RequestBody, ServerOptions};
pub use host_clock::{unix_millis, SuspensionWatch};
pub use http_server::{launch_server, server_config, ProblemReply, ServerError};
pub use logging::{finish_logging, init_command_logging, init_logging};
pub use metrics_page::{install_metrics, render_metrics};
pub use process_handle::{EventSink, ProcessHandle};
pub use process_runtime::ProcessRuntime;
pub use request_body::{BodyError, JsonBody, TextBody, BODY_BYTES_MAX};
pub use settings_file::{load_settings, parse_settings, DaemonError};
pub use settings_reload::{diff_settings, follow_reloads, ReloadFlag, SettingChange};
pub use signals::{wait_for_stop_signal, StopSignal};
