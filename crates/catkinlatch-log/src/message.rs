//! Messages between the nodes of a group.

use crate::{Entry, Index, Membership};
use bytes::Bytes;
use catkinlatch_base::{HostId, Incarnation, Instant, Term};
use std::{sync::Arc, time::Duration};

catkinlatch_base::derive_value! {
    /// A message between two identities of one group.
    pub enum Message<C> {
        /// Announces a node that has no leader; also tells a node without a configuration that the
        /// sender has one.
        Hello(Hello),
        /// Asks whether a vote would be granted.
        PreVote(Vote),
        /// Replies to [`Message::PreVote`].
        PreVoteReply {
            /// Term of the pre-vote.
            term: Term,
            /// Whether the vote would be granted.
            granted: bool,
        },
        /// Requests a vote in the frame's term.
        Vote(Vote),
        /// Replies to [`Message::Vote`]; also, not granted, to a leader whose term is outdated.
        VoteReply {
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Entries, or a heartbeat without entries, from the leader.
        Append(Append<C>),
        /// Replies to [`Message::Append`]; also to [`Message::Chunk`] if the snapshot is installed
        /// or not needed.
        AppendReply(AppendReply),
        /// A chunk of a snapshot from the leader.
        Chunk(Chunk),
        /// Replies to [`Message::Chunk`] while the snapshot is incomplete.
        ChunkReply(ChunkReply),
    }
}

catkinlatch_base::derive_value! {
    /// Announcement that a node without a leader sends to all hosts, and that a node with a
    /// configuration sends in reply to one without.
    pub struct Hello {
        /// Whether the node has no configuration yet.
        pub is_empty: bool,
        /// Initial voters in the node's settings.
        pub initial_voters: Vec<HostId>,
        /// Identities from which the node has recently received a hello.
        pub recent_peers: Vec<Incarnation>,
    }
}

catkinlatch_base::derive_value! {
    /// Request for a vote or pre-vote, with the end of the candidate's log.
    pub struct Vote {
        /// Term in which the candidate would lead.
        pub term: Term,
        /// Position of the last entry in the candidate's log.
        pub last_index: Index,
        /// Term of that entry.
        pub last_term: Term,
    }
}

catkinlatch_base::derive_value! {
    /// A follower's clock reading, which the leader echoes back in a [`Grant`].
    #[derive(Copy, Eq)]
    pub struct Echo {
        /// Identifies the run of the process; clock readings of different runs are not comparable.
        pub run: u64,
        /// Time on the follower's clock.
        pub at: Instant,
    }
}

catkinlatch_base::derive_value! {
    /// Grants the receiver a configuration lease.
    #[derive(Copy, Eq)]
    pub struct Grant {
        /// Start of the lease: the receiver's own clock reading in an earlier reply.
        pub echo: Echo,
        /// Duration of the lease from that start.
        pub length: Duration,
    }
}

catkinlatch_base::derive_value! {
    /// Entries, or a heartbeat without entries, from the leader.
    pub struct Append<C> {
        /// Leader's clock when the message was sent; echoed in the reply.
        pub sent_at: Instant,
        /// Position before the first entry.
        pub previous_index: Index,
        /// Term of the entry at that position.
        pub previous_term: Term,
        /// Entries to append; empty in a heartbeat.
        pub entries: Vec<Arc<Entry<C>>>,
        /// Commit position of the leader.
        pub commit: Index,
        /// Configuration lease, present if the leader holds a valid leader lease.
        pub grant: Option<Grant>,
    }
}

catkinlatch_base::derive_value! {
    /// Reply to [`Append`].
    pub struct AppendReply {
        /// [`Append::sent_at`] or [`Chunk::sent_at`] as received.
        pub sent_at: Instant,
        /// Whether the follower's log matched at [`Append::previous_index`].
        pub matches: bool,
        /// Last position known to match, or the position after which the leader should retry.
        pub index: Index,
        /// Last position that the follower has applied.
        pub applied: Index,
        /// Follower's clock when the reply was sent.
        pub echo: Echo,
    }
}

catkinlatch_base::derive_value! {
    /// A chunk of a snapshot.
    pub struct Chunk {
        /// Leader's clock when the message was sent; echoed in the reply.
        pub sent_at: Instant,
        /// Position of the last entry that the snapshot covers.
        pub index: Index,
        /// Term of that entry.
        pub term: Term,
        /// Voters as of that entry.
        pub membership: Membership,
        /// Offset of the chunk within the snapshot, in bytes.
        pub offset: u64,
        /// Size of the whole snapshot, in bytes.
        pub total: u64,
        /// Content of the chunk.
        pub data: Bytes,
    }
}

catkinlatch_base::derive_value! {
    /// Reply to [`Chunk`].
    pub struct ChunkReply {
        /// [`Chunk::sent_at`] as received.
        pub sent_at: Instant,
        /// [`Chunk::index`] of the snapshot.
        pub index: Index,
        /// Number of bytes of the snapshot that the follower has received.
        pub offset: u64,
    }
}
