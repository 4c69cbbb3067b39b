//! Serves the process's metrics in the Prometheus text format.

use crate::http::{Inbound, Server, full, serve};
use http::{Response, StatusCode};
use log::warn;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, sync::watch, time};

/// HTTP path of the metrics.
const PATH: &str = "/metrics";

/// Interval at which the recorder's upkeep folds recorded samples into histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the process's metrics recorder and serves its metrics until `stop` becomes true.
///
/// If the address cannot be bound, logs a warning and returns; the process runs on without metrics.
pub async fn run(address: SocketAddr, inbound: Inbound, stop: watch::Receiver<bool>) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        return warn!("metrics: a recorder is already installed");
    }
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => return warn!(address:% = address, error:% = error; "metrics: cannot listen"),
    };
    let upkeep = handle.clone();
    tokio::spawn(async move {
        loop {
            time::sleep(UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    let server = Server { inbound, stop };
    serve(server, listener, move |request| {
        let is_known = request.uri().path() == PATH;
        let mut response =
            Response::new(full(if is_known { handle.render() } else { String::new() }));
        if !is_known {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        std::future::ready(response)
    })
    .await;
}
