//! Ports that a process can keep over restarts.

use std::{
    io,
    net::{Ipv4Addr, TcpListener},
    process,
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

/// The first port; the system hands out none of these by itself, so that no connection takes one
/// while its process is down.
const FIRST: u16 = 12_000;

/// How many ports a block has.
const BLOCK_PORTS: u16 = 400;

/// How many blocks there are.
const BLOCKS: u16 = 50;

/// The block of this process, kept from others by listening on its first port.
struct Block {
    first: u16,
    _guard: TcpListener,
}

static BLOCK: OnceLock<Option<Block>> = OnceLock::new();

static NEXT: AtomicU16 = AtomicU16::new(1);

/// Returns distinct ports that are free now, and are given to nobody else.
pub fn free(count: usize) -> io::Result<Vec<u16>> {
    let block = BLOCK.get_or_init(reserve).as_ref();
    let block = block.ok_or_else(|| io::Error::other("no block of ports is free"))?;
    let mut ports = Vec::new();
    while ports.len() < count {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
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

/// Takes a block that no other process has.
fn reserve() -> Option<Block> {
    let begin = u16::try_from(process::id() % u32::from(BLOCKS)).unwrap_or_default();
    (0..BLOCKS).find_map(|number| {
        let first = FIRST + (begin + number) % BLOCKS * BLOCK_PORTS;
        let guard = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
        Some(Block { first, _guard: guard })
    })
}
