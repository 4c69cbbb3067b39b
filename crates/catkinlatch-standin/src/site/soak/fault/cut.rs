//! Cuts between hosts and all targets.

use super::{Context, Faults};
use crate::cut::{self, Cut};
use http::StatusCode;
use std::{fs, io, path::PathBuf, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time};

/// The contact time of the settings: how soon callers of a host that is cut off are served again.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);

/// The longest cut, in milliseconds.
const MAX_CUT_MS: u64 = 6_000;

/// Number of requests sent to a host that is cut off, and to another one beside it.
const TRIES: usize = 50;

/// Pause between two of them.
const TRY_PAUSE: Duration = Duration::from_millis(40);

/// Number of them that may fail at the host that is cut off.
const MAX_FAILED: usize = 10 + TRIES / 50;

impl Faults {
    fn choose_cut(&mut self) -> Cut {
        let cuts = [Cut::Silent, Cut::Reset, Cut::Refuse, Cut::Close];
        cuts[self.random.usize(..cuts.len())]
    }

    /// Cuts off one host, all hosts that callers connect to, or all hosts, while other faults go on.
    pub(super) fn cut_off(&mut self) -> io::Result<String> {
        let (cut, hosts) = (self.choose_cut(), &self.site.hosts);
        let number = self.random.usize(..hosts.len());
        let cut_off = match self.random.u8(..4) {
            0 => self.site.entries(),
            1 => hosts,
            _ => &hosts[number..=number],
        };
        let names: Vec<&str> = cut_off.iter().map(|host| host.name.as_str()).collect();
        cut_off.iter().try_for_each(|host| host.cut(cut))?;
        let files: Vec<PathBuf> = cut_off.iter().map(|host| cut::file(host.settings())).collect();
        let duration = Duration::from_millis(self.random.u64(..MAX_CUT_MS));
        let injected = format!("cut off {names:?} for {duration:?}: {cut}");
        tokio::spawn(async move {
            time::sleep(duration).await;
            for file in files {
                if let Err(error) = fs::remove_file(&file) {
                    log::info!("soak: the cut of {} ended before: {error}", file.display());
                }
            }
        });
        Ok(injected)
    }

    /// Cuts off a host that callers connect to, and compares it with another one.
    ///
    /// It is a violation if fewer than two thirds as many requests are served there, and more than a
    /// few fail.
    pub(super) async fn watch_cut_off(&mut self, context: &Arc<Context>) -> io::Result<String> {
        let (cut, number) = (self.choose_cut(), self.random.usize(..context.callers.len()));
        let other = (number + 1) % context.callers.len();
        self.site.entries()[number].cut(cut)?;
        time::sleep(CONTACT_TIME).await;
        let name = format!("cut-{}", self.random.u32(..));
        let (served, expected) =
            tokio::join!(serve(context, number, &name), serve(context, other, &name));
        self.site.entries()[number].cut(Cut::None)?;
        let host = &self.site.entries()[number].name;
        let is_served = served * 3 >= expected * 2 || TRIES - served <= MAX_FAILED;
        context.record().check(is_served, || {
            format!("{host}, cut off ({cut}), served {served} of {TRIES}, another one {expected}")
        });
        self.has_watched_cut = true;
        Ok(format!("cut off {host}: {cut}; {served} of {TRIES} served, {expected} by another one"))
    }
}

/// Sends requests to an entry host; returns how many were served.
async fn serve(context: &Arc<Context>, entry: usize, name: &str) -> usize {
    let mut tries = JoinSet::new();
    for number in 0..TRIES {
        let (context, id) = (context.clone(), format!("{name}-{entry}-{number}"));
        tries.spawn(async move {
            let answer = context.fetch_at(entry, ("POST", "/survey/1"), &id, "ask").await;
            answer.is_some_and(|answer| answer.status() == StatusCode::OK)
        });
        time::sleep(TRY_PAUSE).await;
    }
    tries.join_all().await.into_iter().filter(|is_served| *is_served).count()
}
