//! A TCP relay in front of an instance, which simulates the end of its process by closing
//! its port and all its connections. It can also end connections in the middle of an answer's
//! head, or break a byte of it.

use cicadashift_http::exec;
use smol::io::{AsyncReadExt, AsyncWriteExt, copy};
use smol::{Async, Task};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that are relayed at once; more than any head.
const BUFFER_BYTES: usize = 16 << 10;
const STATUS_LINE_START: &[u8] = b"HTTP/1.1 ";
/// Names of the fields by which an instance speaks of itself.
const SIGNALS: [&[u8]; 2] = [b"server-limit", b"server-leaving"];
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Accepts the connections of an instance and relays their bytes to its server.
pub struct Relay {
    /// The address at which the instance is reached.
    pub addr: SocketAddr,
    server: SocketAddr,
    /// The task that owns the listening socket, while the port is open.
    accept_task: Mutex<Option<Task<()>>>,
    /// One task for each connection. Dropping a task closes its sockets.
    connections: Arc<Mutex<Vec<Task<()>>>>,
    faults: Arc<Mutex<HeadFaults>>,
}

/// What happens to the heads of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// The connection is closed after so many bytes of a head.
    Cut(usize),
    /// The byte at this position of a head is replaced by this one, or the next carriage return by
    /// a line feed. The connection is closed behind the bytes that arrived with the head.
    Broken(usize, u8),
}

#[derive(Default)]
struct HeadFaults {
    fault: Option<HeadFault>,
    /// Heads that were cut or broken.
    count: usize,
}

impl Relay {
    /// Listens on a free port and relays to `server`.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start(server: SocketAddr) -> Relay {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let addr = listener.get_ref().local_addr().expect("a bound socket has an address");
        let relay = Relay {
            addr,
            server,
            accept_task: Mutex::default(),
            connections: Arc::default(),
            faults: Arc::default(),
        };
        relay.listen(listener);
        relay
    }

    /// Closes the port, then all connections.
    ///
    /// A task that is dropped closes its sockets only when the executor comes to it. If the
    /// port were closed like the connections, it would accept connections for a while after
    /// calls broke, on a busy host: that of a process which ended does not.
    pub async fn close(&self) {
        let accept_task = lock(&self.accept_task).take();
        if let Some(task) = accept_task {
            task.cancel().await;
        }
        let connections = std::mem::take(&mut *lock(&self.connections));
        drop(connections);
    }

    /// Listens again on the same address.
    ///
    /// # Panics
    ///
    /// Panics if another program has taken the port in the meantime.
    pub fn listen_again(&self) {
        let listener = Async::<TcpListener>::bind(self.addr).expect("the port is still free");
        self.listen(listener);
    }

    /// Lets something happen to each head, or nothing from now on.
    pub fn set_head_fault(&self, fault: Option<HeadFault>) {
        lock(&self.faults).fault = fault;
    }

    /// Returns the number of heads that were cut or broken.
    pub fn faulty_heads(&self) -> usize {
        lock(&self.faults).count
    }

    fn listen(&self, listener: Async<TcpListener>) {
        let (server, connections) = (self.server, Arc::downgrade(&self.connections));
        let faults = self.faults.clone();
        let accept_task = exec::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                let connection = exec::spawn(relay_connection(inbound, server, faults.clone()));
                match connections.upgrade() {
                    Some(connections) => lock(&connections).push(connection),
                    None => return,
                }
            }
        });
        *lock(&self.accept_task) = Some(accept_task);
    }
}

async fn relay_connection(
    inbound: Async<TcpStream>,
    server: SocketAddr,
    faults: Arc<Mutex<HeadFaults>>,
) {
    let Ok(outbound) = Async::<TcpStream>::connect(server).await else { return };
    let _best_effort = (inbound.get_ref().set_nodelay(true), outbound.get_ref().set_nodelay(true));
    // The first side that closes ends both directions.
    let forward = copy(&inbound, &outbound);
    let backward = relay_answers(&outbound, &inbound, &faults);
    let _closed = smol::future::or(async { forward.await.map(drop) }, backward).await;
}

/// Relays answers until the server closes the connection or a head is cut.
async fn relay_answers(
    mut server: &Async<TcpStream>,
    mut client: &Async<TcpStream>,
    faults: &Mutex<HeadFaults>,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let len = server.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        let cut = lock(faults).apply(&mut buf[..len]);
        client.write_all(&buf[..cut.unwrap_or(len)]).await?;
        if cut.is_some() {
            return Ok(());
        }
    }
}

impl HeadFaults {
    /// Breaks a head at the beginning of these bytes, or returns how many of them are relayed if it
    /// is to be cut.
    fn apply(&mut self, bytes: &mut [u8]) -> Option<usize> {
        let fault = self.fault.filter(|_| bytes.starts_with(STATUS_LINE_START))?;
        let end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
        self.count += 1;
        match fault {
            HeadFault::Cut(after_bytes) => Some(after_bytes.min(end)),
            HeadFault::Broken(at, byte) => {
                let at = at % end;
                let line_end = bytes[at..].iter().position(|byte| *byte == b'\r').unwrap_or(0);
                let at = if byte == b'\n' { at + line_end } else { at };
                if !is_signal(&bytes[..end], at) {
                    bytes[at] = byte;
                }
                Some(bytes.len())
            }
        }
    }
}

/// Returns whether a position is in a line by which an instance speaks of itself. Without it the
/// answer is a sound one that says the opposite, such as that there is no limit any more.
fn is_signal(head: &[u8], at: usize) -> bool {
    let start = head[..at].iter().rposition(|byte| *byte == b'\n').map_or(0, |before| before + 1);
    SIGNALS.iter().any(|name| head[start..].starts_with(name))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
