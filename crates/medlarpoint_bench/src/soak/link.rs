//! A loopback proxy that delays, resets or blocks connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Limit on the size of one read, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Wait before the address of a link is bound again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Condition of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Condition {
    /// Forwards everything immediately.
    #[default]
    Normal,
    /// Forwards each chunk after a delay.
    Slow(Duration),
    /// Resets open and new connections.
    Reset,
    /// Holds back bytes to the server.
    ForwardBlocked,
    /// Holds back bytes from the server.
    BackwardBlocked,
    /// Holds back bytes in both directions.
    Blocked,
}

/// Direction of bytes on a link: forward is to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

impl Condition {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::Normal | Self::Slow(_) | Self::Reset => false,
            Self::ForwardBlocked => direction == Direction::Forward,
            Self::BackwardBlocked => direction == Direction::Backward,
            Self::Blocked => true,
        }
    }
}

/// A proxied link to a server.
#[derive(Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    condition: watch::Sender<Condition>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a link that listens on a free port of `ip` and connects to `to`. While `away`
    /// holds, it refuses connections.
    pub(crate) async fn start(
        ip: IpAddr,
        to: SocketAddr,
        away: watch::Receiver<bool>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (condition, receiver) = watch::channel(Condition::Normal);
        let task = tokio::spawn(serve(listener, address, to, receiver, away));
        Ok(Self { address, condition, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the condition of the link, also for open connections.
    pub(crate) fn set_condition(&self, condition: Condition) {
        self.condition.send_replace(condition);
    }

    /// Closes the link and its connections.
    pub(crate) fn close(self) {
        self.task.abort();
    }
}

async fn serve(
    mut listener: TcpListener,
    address: SocketAddr,
    to: SocketAddr,
    condition: watch::Receiver<Condition>,
    mut away: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            Ok(_) = away.wait_for(|away| *away) => None,
        };
        let Some(accepted) = accepted else {
            listener = listen_after(listener, address, &mut away).await;
            continue;
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let condition = condition.clone();
        connections.spawn(async move {
            // The client and the server see the error as a broken connection.
            let _ = forward_connection(stream, to, condition).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Closes a listener and listens again once the server is no longer away.
async fn listen_after(
    listener: TcpListener,
    address: SocketAddr,
    away: &mut watch::Receiver<bool>,
) -> TcpListener {
    drop(listener);
    // An error means that the server was closed; the link is closed next.
    let _ = away.wait_for(|away| !*away).await;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    mut condition: watch::Receiver<Condition>,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    if *condition.borrow() == Condition::Reset {
        return client.set_zero_linger();
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return client.set_zero_linger();
    };
    server.set_nodelay(true)?;
    let (forward, backward) = (condition.clone(), condition.clone());
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let copies = async {
        tokio::try_join!(
            copy(&mut client_read, &mut server_write, Direction::Forward, forward),
            copy(&mut server_read, &mut client_write, Direction::Backward, backward),
        )
    };
    let broken = tokio::select! {
        copied = copies => copied.is_err(),
        // An error means that the link was closed.
        _ = condition.wait_for(|condition| *condition == Condition::Reset) => true,
    };
    if broken {
        let client = client_read.reunite(client_write).map_err(io::Error::other)?;
        let server = server_read.reunite(server_write).map_err(io::Error::other)?;
        client.set_zero_linger()?;
        server.set_zero_linger()?;
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
        let current = condition.wait_for(|condition| !condition.blocks(direction)).await;
        let current = *current.map_err(io::Error::other)?;
        if let Condition::Slow(delay) = current {
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
