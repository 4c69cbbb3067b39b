//! Handles messages from other nodes.

use super::{Message, Reply};
use crate::{Node, operator::status, relay, targets, trainer, usage};
use catkinlatch_wire::{Frame, Hello, Listener, Offer, codec};
use log::warn;
use std::sync::Arc;

/// Accepts sessions on `listener` and handles their messages while the node runs.
pub async fn serve(node: Arc<Node>, listener: Listener) {
    let (local, secret) = (node.peers.local().clone(), node.peers.secret().clone());
    let relay_server = Arc::new(relay::server(&node));
    let tunnels = move |remote: Hello, frame: Frame, offer: Offer| {
        let relay_server = relay_server.clone();
        async move { relay_server.serve(remote, frame, offer).await }
    };
    let handler = move |remote: Hello, frame: Frame| receive(node.clone(), remote, frame);
    catkinlatch_wire::serve_with_tunnels(listener, local, secret, handler, tunnels).await;
}

async fn receive(node: Arc<Node>, remote: Hello, frame: Frame) -> Option<Frame> {
    node.peers.observe(&frame);
    match codec::decode(&frame.payload) {
        Ok(message) => {
            let reply = handle(&node, remote, message).await;
            Some(node.peers.frame(&reply))
        }
        Err(error) => {
            warn!("peer: cannot decode a message from {}: {error}", remote.host);
            None
        }
    }
}

/// Passes a message to the module that handles it, and returns the reply.
async fn handle(node: &Arc<Node>, remote: Hello, message: Message) -> Reply {
    match message {
        Message::Greeting(shared_digests) => {
            for name in node.settings.shared_digests().differences(&shared_digests) {
                warn!(
                    "peer: setting {name} differs on {}; make it equal on all hosts",
                    remote.host
                );
            }
            Reply::Nothing
        }
        Message::Control(frame) => {
            node.control.receive(*frame).await;
            Reply::Nothing
        }
        Message::Propose(command) => Reply::Proposed(node.control.propose_locally(command).await),
        Message::InForce(revision) => {
            Reply::InForce(node.control.wait_in_force_locally(revision).await.is_ok())
        }
        Message::Announce(announcement) => {
            targets::record(node, *announcement);
            Reply::Nothing
        }
        Message::Withdraw(withdrawal) => {
            targets::remove(node, &withdrawal);
            Reply::Nothing
        }
        Message::Draining => {
            node.admission.record_draining(remote.host, node.clock.now());
            Reply::Nothing
        }
        Message::Node => Reply::Node(status::local_node(node)),
        Message::KeepUsage(handover) => {
            usage::store_counters(node, &handover);
            Reply::Nothing
        }
        Message::CloseUsage(window) => Reply::Usage(usage::close_window(node, window)),
        Message::Rollout(message) => Reply::Rollout(trainer::receive(node, message).await),
        Message::Members => Reply::Members(node.control.local_members()),
    }
}
