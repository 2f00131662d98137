//! A loopback proxy that delays, resets, cuts or silences connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Bytes carried at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does with what it carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Condition {
    /// Carries everything.
    #[default]
    Clear,
    /// Carries everything later.
    Slow(Duration),
    /// Resets the connections it has, and new ones.
    Reset,
    /// Holds what goes to the server.
    ForwardCut,
    /// Holds what comes from the server.
    BackwardCut,
    /// Holds everything.
    Silent,
}

/// Where bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

impl Condition {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Self::Clear | Self::Slow(_) | Self::Reset => false,
            Self::ForwardCut => direction == Direction::Forward,
            Self::BackwardCut => direction == Direction::Backward,
            Self::Silent => true,
        }
    }
}

/// A link to a server.
#[derive(Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    condition: watch::Sender<Condition>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a link on an own port of `ip` that leads to `to`.
    pub(crate) async fn start(ip: IpAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (condition, seen) = watch::channel(Condition::Clear);
        let task = tokio::spawn(serve(listener, to, seen));
        Ok(Self { address, condition, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the link does from now on.
    pub(crate) fn set(&self, condition: Condition) {
        self.condition.send_replace(condition);
    }

    /// Closes the link and its connections.
    pub(crate) fn close(self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, condition: watch::Receiver<Condition>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let condition = condition.clone();
        connections.spawn(async move {
            // Either end sees the connection break, as it would without a link.
            let _ = carry(stream, to, condition).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn carry(
    near: TcpStream,
    to: SocketAddr,
    mut condition: watch::Receiver<Condition>,
) -> io::Result<()> {
    near.set_nodelay(true)?;
    if *condition.borrow() == Condition::Reset {
        return near.set_zero_linger();
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return near.set_zero_linger();
    };
    far.set_nodelay(true)?;
    let (forward, backward) = (condition.clone(), condition.clone());
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let both = async {
        tokio::try_join!(
            copy(&mut near_read, &mut far_write, Direction::Forward, forward),
            copy(&mut far_read, &mut near_write, Direction::Backward, backward),
        )
    };
    let broken = tokio::select! {
        carried = both => carried.is_err(),
        // The sender is gone when the link closes.
        _ = condition.wait_for(|condition| *condition == Condition::Reset) => true,
    };
    if broken {
        let near = near_read.reunite(near_write).map_err(io::Error::other)?;
        let far = far_read.reunite(far_write).map_err(io::Error::other)?;
        near.set_zero_linger()?;
        far.set_zero_linger()?;
    }
    Ok(())
}

async fn copy(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    direction: Direction,
    mut condition: watch::Receiver<Condition>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        let seen = condition.wait_for(|condition| !condition.holds(direction)).await;
        let seen = *seen.map_err(io::Error::other)?;
        if let Condition::Slow(delay) = seen {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..length]).await?;
    }
}

#[cfg(test)]
mod tests;
