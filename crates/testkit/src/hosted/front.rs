//! A TCP relay in front of an instance, which simulates the end of its process by closing
//! its port and all its connections.

use cicadashift_http::exec;
use smol::io::copy;
use smol::{Async, Task};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Accepts the connections of an instance and relays their bytes to its server.
pub struct Relay {
    /// The address at which the instance is reached.
    pub addr: SocketAddr,
    server: SocketAddr,
    /// The task that owns the listening socket, while the port is open.
    accept_task: Mutex<Option<Task<()>>>,
    /// One task for each connection. Dropping a task closes its sockets.
    connections: Arc<Mutex<Vec<Task<()>>>>,
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
        let relay =
            Relay { addr, server, accept_task: Mutex::default(), connections: Arc::default() };
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

    fn listen(&self, listener: Async<TcpListener>) {
        let (server, connections) = (self.server, Arc::downgrade(&self.connections));
        let accept_task = exec::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                let connection = exec::spawn(relay_connection(inbound, server));
                match connections.upgrade() {
                    Some(connections) => lock(&connections).push(connection),
                    None => return,
                }
            }
        });
        *lock(&self.accept_task) = Some(accept_task);
    }
}

async fn relay_connection(inbound: Async<TcpStream>, server: SocketAddr) {
    let Ok(outbound) = Async::<TcpStream>::connect(server).await else { return };
    let _best_effort = (inbound.get_ref().set_nodelay(true), outbound.get_ref().set_nodelay(true));
    // The first side that closes ends both directions.
    let forward = copy(&inbound, &outbound);
    let backward = copy(&outbound, &inbound);
    let _closed = smol::future::or(forward, backward).await;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
