//! Metrics as text.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// The recorder of this process; `None` if another one was installed before.
static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Records the metrics of this process from now on.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).is_ok().then_some(handle)
    });
}

/// Returns the metrics of this process as text.
pub fn render() -> String {
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}
