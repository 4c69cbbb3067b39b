//! Random failures of a site.

use super::world::World;
use crate::site::Site;
use std::{io, sync::atomic::Ordering, time::Duration};
use tokio::time::{self, Instant};

/// How long all stores must have run undisturbed before one may lose its disk: until its
/// forerunner votes again.
const STEADY: Duration = Duration::from_secs(6);

/// How many answers a service loses in a row: enough that some belong to requests that may run once.
const LOST_ANSWERS: u32 = 25;

/// Draws and performs failures.
pub struct Faults {
    site: Site,
    random: fastrand::Rng,
    /// When a store was last disturbed.
    disturbed: Instant,
}

impl Faults {
    /// Creates the failures of a site that has just started.
    pub fn new(site: Site, random: fastrand::Rng) -> Self {
        Self { site, random, disturbed: Instant::now() }
    }

    /// Returns the site.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Performs failures for a time, and lets all processes run again; returns what was done.
    ///
    /// # Errors
    ///
    /// Returns what keeps a process from being started, ended or stopped.
    pub async fn run(&mut self, world: &World, length: Duration) -> io::Result<Vec<String>> {
        let end = Instant::now() + length;
        let mut done = Vec::new();
        while Instant::now() < end {
            let pause = Duration::from_millis(self.random.u64(200..1_500));
            time::sleep(pause).await;
            let fault = self.perform(world).await?;
            log::info!("soak: {fault}");
            done.push(fault);
        }
        Ok(done)
    }

    async fn perform(&mut self, world: &World) -> io::Result<String> {
        let number = self.random.usize(..self.site.hosts.len());
        let down = Duration::from_millis(self.random.u64(..1_200));
        let is_store = number < self.site.stores().len();
        let name = self.site.hosts[number].name.clone();
        let is_steady = self.disturbed.elapsed() > STEADY;
        let fault = match self.random.u8(..12) {
            0..4 => {
                self.site.hosts[number].kill()?;
                time::sleep(down).await;
                self.site.hosts[number].start()?;
                format!("killed {name} for {down:?}")
            }
            4 => {
                let code = self.site.hosts[number].stop()?;
                self.site.hosts[number].start()?;
                let mut record = world.record();
                record.check(code == Some(0), || format!("{name} ended with {code:?}"));
                return Ok(format!("stopped {name}"));
            }
            5..7 => {
                self.site.hosts[number].pause()?;
                time::sleep(down).await;
                self.site.hosts[number].resume()?;
                format!("froze {name} for {down:?}")
            }
            7 | 8 if is_store && is_steady => {
                self.site.hosts[number].wipe()?;
                time::sleep(down).await;
                self.site.hosts[number].start()?;
                format!("took the disk of {name}")
            }
            9 => {
                self.site.hosts.iter_mut().try_for_each(|host| host.kill())?;
                time::sleep(down).await;
                self.site.hosts.iter_mut().rev().try_for_each(|host| host.start())?;
                self.disturbed = Instant::now();
                return Ok(format!("killed all for {down:?}"));
            }
            10 => {
                let service = self.random.usize(..world.services.len());
                world.services[service].loses.fetch_add(LOST_ANSWERS, Ordering::Relaxed);
                return Ok(format!("service {service} loses {LOST_ANSWERS} answers"));
            }
            _ => {
                let engine = self.random.usize(..world.engines.len());
                world.engines[engine].memory().runs_to_break += 3;
                return Ok(format!("engine {engine} breaks off three runs"));
            }
        };
        if is_store {
            self.disturbed = Instant::now();
        }
        Ok(fault)
    }
}
