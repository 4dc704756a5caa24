//! The metrics page in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder for this operating-system process. A second call has no effect.
pub fn install_metrics() {
    RECORDER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns all metrics, or an empty page if another recorder is installed.
pub fn render_metrics() -> String {
    RECORDER.get().and_then(Option::as_ref).map(PrometheusHandle::render).unwrap_or_default()
}
