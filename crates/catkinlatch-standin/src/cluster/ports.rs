//! Allocation of ports that stay the same when a process restarts.

use std::{
    io,
    net::{Ipv4Addr, TcpListener},
    process,
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

/// The first port of all blocks.
///
/// The operating system assigns none of these ports by itself, so that no connection takes a port
/// while the process that uses it is down.
const FIRST_PORT: u16 = 12_000;

/// Number of ports in a block: five for each of the sites that one test program starts.
const BLOCK_PORTS: u16 = 1_000;

/// Number of blocks.
const BLOCKS: u16 = 20;

/// The block of ports that this process has reserved by listening on the first one.
struct Block {
    first: u16,
    _guard: TcpListener,
}

static BLOCK: OnceLock<Option<Block>> = OnceLock::new();

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(1);

/// Returns `count` distinct ports that are free now and are not allocated again, neither by this
/// process nor by another one that uses this function.
///
/// # Errors
///
/// Returns an error if all blocks are in use or this process's block has too few ports left.
pub fn allocate(count: usize) -> io::Result<Vec<u16>> {
    let block = BLOCK.get_or_init(reserve_block).as_ref();
    let block = block.ok_or_else(|| io::Error::other("no block of ports is free"))?;
    let mut ports = Vec::new();
    while ports.len() < count {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        if offset >= BLOCK_PORTS {
            return Err(io::Error::other("no ports are left in the block"));
        }
        let port = block.first + offset;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            ports.push(port);
        }
    }
    Ok(ports)
}

/// Reserves a block that no other process has reserved.
fn reserve_block() -> Option<Block> {
    let begin = u16::try_from(process::id() % u32::from(BLOCKS)).unwrap_or_default();
    (0..BLOCKS).find_map(|number| {
        let first = FIRST_PORT + (begin + number) % BLOCKS * BLOCK_PORTS;
        let guard = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
        Some(Block { first, _guard: guard })
    })
}
