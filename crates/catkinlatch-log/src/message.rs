//! What identities say to each other.

use crate::{Entry, Index, Membership};
use bytes::Bytes;
use catkinlatch_base::{HostId, Incarnation, Instant, Term};
use std::{sync::Arc, time::Duration};

catkinlatch_base::derive_value! {
    /// A message between two identities of one group.
    pub enum Message<C> {
        /// From a node that hears no leader.
        Hello(Hello),
        /// Asks whether a vote would be granted.
        PreVote(Vote),
        /// Answers [`Message::PreVote`] for the term that it asked about.
        PreVoteReply {
            /// The term that was asked about.
            term: Term,
            /// Whether the vote would be granted.
            granted: bool,
        },
        /// Asks for a vote in the frame's term.
        Vote(Vote),
        /// Answers [`Message::Vote`].
        VoteReply {
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Entries or a bare heartbeat from the leader.
        Append(Append<C>),
        /// Answers [`Message::Append`].
        AppendReply(AppendReply),
        /// A part of a snapshot from the leader.
        Chunk(Chunk),
        /// Answers [`Message::Chunk`].
        ChunkReply(ChunkReply),
    }
}

catkinlatch_base::derive_value! {
    /// What a node that hears no leader says to all hosts.
    pub struct Hello {
        /// Whether the node has no configuration yet.
        pub is_empty: bool,
        /// The initial voters in the node's settings.
        pub initial_voters: Vec<HostId>,
        /// The identities that the node has heard of late.
        pub recent_peers: Vec<Incarnation>,
    }
}

catkinlatch_base::derive_value! {
    /// Why a candidate should get a vote.
    pub struct Vote {
        /// The term that the candidate would lead.
        pub term: Term,
        /// The candidate's last entry.
        pub last_index: Index,
        /// The term of that entry.
        pub last_term: Term,
    }
}

catkinlatch_base::derive_value! {
    /// A reading of a follower's clock that the leader sends back.
    #[derive(Copy, Eq)]
    pub struct Echo {
        /// The run of the process that read its clock; clocks of two runs are not comparable.
        pub run: u64,
        /// The reading.
        pub at: Instant,
    }
}

catkinlatch_base::derive_value! {
    /// Renews the receiver's configuration lease.
    #[derive(Copy, Eq)]
    pub struct Grant {
        /// The receiver's own clock when it sent the reply that the lease is counted from.
        pub echo: Echo,
        /// How long the lease lasts from there.
        pub length: Duration,
    }
}

catkinlatch_base::derive_value! {
    /// Entries or a bare heartbeat from the leader.
    pub struct Append<C> {
        /// The leader's clock when it sent this.
        pub sent_at: Instant,
        /// The position before the first entry.
        pub previous_index: Index,
        /// The term of the entry there.
        pub previous_term: Term,
        /// The entries.
        pub entries: Vec<Arc<Entry<C>>>,
        /// The leader's commit position.
        pub commit: Index,
        /// Renews the configuration lease, if the leader's own lease is valid.
        pub grant: Option<Grant>,
    }
}

catkinlatch_base::derive_value! {
    /// Answers entries or a heartbeat.
    pub struct AppendReply {
        /// [`Append::sent_at`] as received.
        pub sent_at: Instant,
        /// Whether the log held the position before the first entry.
        pub matches: bool,
        /// The last position known to match, or where the leader should try next.
        pub index: Index,
        /// The last position that the follower applied.
        pub applied: Index,
        /// The follower's clock when it sent this.
        pub echo: Echo,
    }
}

catkinlatch_base::derive_value! {
    /// A part of a snapshot.
    pub struct Chunk {
        /// The leader's clock when it sent this.
        pub sent_at: Instant,
        /// The last entry that the snapshot covers.
        pub index: Index,
        /// The term of that entry.
        pub term: Term,
        /// The voters at that entry.
        pub membership: Membership,
        /// Where the part begins, in bytes.
        pub offset: u64,
        /// The size of the whole, in bytes.
        pub total: u64,
        /// The part.
        pub data: Bytes,
    }
}

catkinlatch_base::derive_value! {
    /// Answers a part of a snapshot.
    pub struct ChunkReply {
        /// [`Chunk::sent_at`] as received.
        pub sent_at: Instant,
        /// The snapshot that it is about.
        pub index: Index,
        /// How many bytes of it the follower holds.
        pub offset: u64,
    }
}
