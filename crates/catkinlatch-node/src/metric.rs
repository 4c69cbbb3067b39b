//! Metrics of the process in the Prometheus text format.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// The handle on the recorder of this process; `None` if another recorder was installed before.
static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder of this process, if there is none yet.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).is_ok().then_some(handle)
    });
}

/// Renders the metrics of this process; empty unless [`install`] has installed the recorder.
pub fn render() -> String {
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}
