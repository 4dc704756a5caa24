//! The metrics page in the Prometheus text format.

use std::sync::OnceLock;

use prometheus::TextEncoder;

static RECORDER: OnceLock<metrics_prometheus::Recorder> = OnceLock::new();

/// Installs the recorder for this operating-system process. A second call has no effect.
pub fn install_metrics() {
    RECORDER.get_or_init(metrics_prometheus::install);
}

/// Returns all metrics, or an empty page before they are installed.
pub fn render_metrics() -> String {
    let Some(recorder) = RECORDER.get() else {
        return String::new();
    };
    TextEncoder::new().encode_to_string(&recorder.registry().gather()).unwrap_or_else(|error| {
        log::error!("event=metrics_unreadable cause={:?}", error.to_string());
        String::new()
    })
}
