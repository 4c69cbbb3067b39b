//! Direct connections of a host that can be cut.

use catkinlatch_runtime::http::dialer::{Connect, Io};
use derive_more::{Display, FromStr};
use std::{
    fs, future, io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{copy_bidirectional, duplex},
    net::TcpStream,
    sync::watch,
    time,
};

/// Interval at which the file that names a host's cut is read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the buffer between both ends of a connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// What becomes of a host's direct connections.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Cut {
    /// None is cut.
    None,
    /// Open and new connections fall silent.
    Silent,
    /// Open connections are reset, new ones fall silent.
    Reset,
    /// Open connections live on, new ones are refused.
    Refuse,
    /// Open connections are reset, new ones are refused.
    Close,
}

/// Returns the file that names the cut of the host with these settings.
pub fn file(settings: &Path) -> PathBuf {
    settings.with_extension("cut")
}

/// Returns the cut that a file names, as it changes; none while there is no such file.
pub fn follow(file: PathBuf) -> watch::Receiver<Cut> {
    let (sender, receiver) = watch::channel(Cut::None);
    tokio::spawn(async move {
        loop {
            // A file that is being written names no cut yet.
            let named = fs::read_to_string(&file).map_or(Ok(Cut::None), |text| text.parse());
            if let Ok(named) = named {
                sender.send_if_modified(|cut| std::mem::replace(cut, named) != named);
            }
            time::sleep(POLL_INTERVAL).await;
        }
    });
    receiver
}

/// Returns a function that opens TCP connections, to which the latest value of `cut` applies.
pub fn connect(cut: watch::Receiver<Cut>) -> Connect {
    Arc::new(move |address| Box::pin(open(address, cut.clone())))
}

async fn open(address: String, mut cut: watch::Receiver<Cut>) -> io::Result<Box<dyn Io>> {
    let current = *cut.borrow_and_update();
    match current {
        Cut::None => {}
        Cut::Silent | Cut::Reset => return future::pending().await,
        Cut::Refuse | Cut::Close => return Err(io::ErrorKind::ConnectionRefused.into()),
    }
    let mut socket = TcpStream::connect(address).await?;
    let (near, mut far) = duplex(BUFFER_BYTES);
    tokio::spawn(async move {
        let breaks = |cut: &Cut| !matches!(cut, Cut::None | Cut::Refuse);
        let broken = async { cut.wait_for(breaks).await.is_ok_and(|cut| *cut == Cut::Silent) };
        let is_silent = tokio::select! {
            _ = copy_bidirectional(&mut far, &mut socket) => false,
            is_silent = broken => is_silent,
        };
        if is_silent {
            future::pending::<()>().await;
        }
    });
    Ok(Box::new(near))
}
