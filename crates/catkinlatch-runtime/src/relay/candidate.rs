//! The hosts of a deployment that may relay connections.

use crate::message::Entry;
use catkinlatch_base::HostId;
use catkinlatch_route::reach::Helper;

/// Returns the hosts that may relay, with the addresses at which they accept sessions: the ready
/// entry hosts, and as a reserve those with a disk, on which the whole system depends.
pub fn candidates<'a>(
    entries: impl Iterator<Item = &'a Entry>,
    stores: impl Iterator<Item = &'a HostId>,
    port: u16,
) -> Vec<(Helper, String)> {
    let entries = entries.filter(|entry| entry.is_ready).map(|entry| {
        let (host, zone) = (entry.host.clone(), Some(entry.zone.clone()));
        Helper { host, zone, is_reserve: false }
    });
    let stores = stores.map(|host| {
        let host = host.clone();
        Helper { host, zone: None, is_reserve: true }
    });
    let all = entries.chain(stores);
    all.map(|helper| {
        let address = format!("{}:{port}", helper.host);
        (helper, address)
    })
    .collect()
}
