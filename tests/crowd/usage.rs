//! What a process uses of its machine, including received bytes that it has not read yet.

use catkinlatch_standin::site::Host;
use std::{
    fs,
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Interval at which the process is looked at.
const INTERVAL: Duration = Duration::from_millis(10);

/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// The most that a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory and unread bytes, in bytes.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Whether the process was still running when it was last looked at.
    pub is_running: bool,
}

/// Watches a process until it is stopped.
pub struct Usage {
    is_over: Arc<AtomicBool>,
    watcher: JoinHandle<Peak>,
}

impl Usage {
    /// Watches the process of a host.
    pub fn of(host: &Host) -> Self {
        let ip: Ipv4Addr = host.address(0).trim_end_matches(":0").parse().unwrap();
        Self::with_address(host.id().unwrap(), ip)
    }

    /// Watches a process, and what has arrived at its address.
    pub fn with_address(id: u32, ip: Ipv4Addr) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let watcher = thread::spawn(move || {
            let mut peak = Peak::default();
            while !over.load(Ordering::Relaxed) {
                peak.record(id, ip);
                thread::sleep(INTERVAL);
            }
            peak
        });
        Self { is_over, watcher }
    }

    /// Stops watching; returns the most that the process used.
    pub fn stop(self) -> Peak {
        self.is_over.store(true, Ordering::Relaxed);
        self.watcher.join().unwrap()
    }
}

impl Peak {
    fn record(&mut self, id: u32, ip: Ipv4Addr) {
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let now = field(&status, "VmRSS:") + unread(ip);
        self.memory = self.memory.max(now).max(field(&status, "VmHWM:"));
        let open = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(open as u64);
        self.is_running = now > 0 && !status.contains("State:\tZ");
    }
}

/// Returns a figure of the status in bytes.
fn field(status: &str, name: &str) -> u64 {
    let value = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = value.and_then(|value| value.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) << 10
}

/// Returns the bytes that have arrived at an address and have not been read.
fn unread(ip: Ipv4Addr) -> u64 {
    let local = format!("{:08X}:", u32::from_ne_bytes(ip.octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = table.lines().filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        let is_local = columns.next()?.starts_with(&local);
        let state = columns.nth(1)?;
        let (_, queue) = columns.next()?.split_once(':')?;
        let is_counted = is_local && state != LISTENING;
        is_counted.then(|| u64::from_str_radix(queue, 16).ok()).flatten()
    });
    queued.sum()
}
