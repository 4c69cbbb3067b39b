//! Connections to other entry hosts that show whether they are running, while no leader is heard.

use crate::host::Host;
use catkinlatch_base::HostId;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{net::TcpStream, task::JoinSet, time};

/// Interval between two rounds of probes.
const INTERVAL: Duration = Duration::from_secs(1);

/// Number of hosts in a round, so that hundreds of hosts without a leader load each other little.
const PROBES: usize = 16;

/// Timeout of a probe: a host that is slower is of little use to callers.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Probes the entry hosts of the last view while the leader is silent, until the process stops.
pub async fn run(host: Arc<Host>) {
    loop {
        time::sleep(INTERVAL).await;
        let addresses: BTreeMap<HostId, String> = host
            .view()
            .entries
            .iter()
            .filter(|entry| entry.host != host.settings.host)
            .map(|entry| (entry.host.clone(), entry.address.clone()))
            .collect();
        let hosts: Vec<HostId> = addresses.keys().cloned().collect();
        let began = host.clock.now();
        let mut probes = JoinSet::new();
        for other in host.contact().next_probes(&hosts, PROBES, began) {
            let Some(address) = addresses.get(&other).cloned() else { continue };
            probes.spawn(async move {
                let connected = time::timeout(TIMEOUT, TcpStream::connect(address)).await;
                matches!(connected, Ok(Ok(_))).then_some(other)
            });
        }
        while let Some(probed) = probes.join_next().await {
            if let Ok(Some(other)) = probed {
                host.contact().record_host(other, began);
            }
        }
    }
}
