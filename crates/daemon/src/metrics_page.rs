//! The content of the metrics endpoint, in the Prometheus text format.

use std::sync::OnceLock;

use prometheus::TextEncoder;

static RECORDER: OnceLock<metrics_prometheus::Recorder> = OnceLock::new();

/// Installs the metrics recorder of this operating-system process. A second call has no effect.
pub fn install_metrics() {
    RECORDER.get_or_init(metrics_prometheus::install);
}

/// Returns the page of all metrics. It is empty before [`install_metrics`] is called, and after an error, which is logged.
pub fn render_metrics() -> String {
    let Some(recorder) = RECORDER.get() else {
        return String::new();
    };
    TextEncoder::new().encode_to_string(&recorder.registry().gather()).unwrap_or_else(|error| {
        log::error!("event=metrics_unreadable cause={:?}", error.to_string());
        String::new()
    })
}
