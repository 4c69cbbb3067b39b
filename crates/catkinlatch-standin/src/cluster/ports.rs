//! Ports that a process can keep over restarts.

use std::{
    io,
    net::{Ipv4Addr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// The first port; the system hands out none of these by itself, so that no connection takes one
/// while its process is down.
const FIRST: u16 = 12_000;

/// How many ports each run of a test program starts with.
const PORTS_PER_RUN: u16 = 400;

/// How many runs start at different ports.
const RUNS: u32 = 45;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns distinct ports that are free now, and are given to nobody else in this process.
pub fn free(count: usize) -> io::Result<Vec<u16>> {
    let mut ports = Vec::new();
    let run = u16::try_from(process::id() % RUNS).expect("the remainder is small");
    let first = FIRST + run * PORTS_PER_RUN;
    while ports.len() < count {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = first.checked_add(offset).filter(|_| offset < PORTS_PER_RUN * 2);
        let port = port.ok_or_else(|| io::Error::other("no ports are left"))?;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            ports.push(port);
        }
    }
    Ok(ports)
}
