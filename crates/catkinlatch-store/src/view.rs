//! The view that the leader sends to its followers.

use crate::{allowance, host::Host};
use bytes::Bytes;
use catkinlatch_runtime::{
    Reply,
    message::{View, ViewVersion},
};
use catkinlatch_wire::codec;
use std::sync::Arc;

/// Identifies an answer with a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Version of the view.
    pub view_version: ViewVersion,
    /// Version of the configuration that the answer contains; `None` for followers that have it.
    pub configuration: Option<u64>,
}

/// The last encoded answers: one with the configuration and one without it.
///
/// Hundreds of followers wait for the same view, so it is created and encoded once.
#[derive(Debug, Default)]
pub struct EncodedView {
    answers: [Option<(Key, Bytes)>; 2],
}

impl EncodedView {
    /// Returns the answer of this key, which is created and encoded unless it is the last one.
    pub fn get(&mut self, key: Key, create: impl FnOnce() -> View) -> Bytes {
        let answer = &mut self.answers[usize::from(key.configuration.is_some())];
        match answer {
            Some((held, bytes)) if *held == key => bytes.clone(),
            _ => {
                let bytes = codec::encode(&Reply::Followed(Box::new(create())));
                *answer = Some((key, bytes.clone()));
                bytes
            }
        }
    }
}

/// Returns the current view; it may be newer than the key's version, but not older.
pub fn create(host: &Host, key: Key) -> View {
    let configuration = host.replica.read(|state| {
        let configuration = state.document.as_ref().map(|document| &document.configuration);
        configuration.filter(|_| key.configuration.is_some()).cloned()
    });
    let stores = host.stores().into_iter().collect();
    let soft = host.soft_state();
    let mut targets: Vec<_> = soft.registry.targets().cloned().collect();
    host.allowance.update_stated(&mut targets, host.clock.now());
    View {
        view_version: key.view_version,
        configuration,
        targets,
        tombstones: soft.registry.tombstones().collect(),
        entries: soft.entries().cloned().collect(),
        stores,
    }
}

/// Publishes the version of the configuration as it is applied on this host; never returns.
pub async fn watch_configuration(host: Arc<Host>) {
    let mut applied = host.replica.applied();
    loop {
        applied.mark_unchanged();
        host.publish_configuration_version();
        allowance::update_limits(&host);
        if applied.changed().await.is_err() {
            return;
        }
    }
}
