//! Counters and histograms, for those who watch the process.

use crate::http::{Server, full, serve};
use http::{Response, StatusCode};
use log::warn;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, sync::watch, time};

/// The path of the metrics.
const PATH: &str = "/metrics";

/// How long a connection may wait for its next question.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How often old measurements are folded into histograms.
const UPKEEP: Duration = Duration::from_secs(5);

/// Serves the process's metrics at an address until `stop` becomes true; a port that is taken is
/// logged, and the process goes on without.
pub async fn run(address: SocketAddr, stop: watch::Receiver<bool>) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        return warn!("metrics: the process has a recorder already");
    }
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => return warn!(address:% = address, error:% = error; "metrics: cannot listen"),
    };
    let upkeep = handle.clone();
    tokio::spawn(async move {
        loop {
            time::sleep(UPKEEP).await;
            upkeep.run_upkeep();
        }
    });
    let server = Server { idle_timeout: IDLE_TIMEOUT, stop };
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
