//! What lets an instance end like a process: its port and every connection at once.

use cicadashift_http::exec;
use smol::io::copy;
use smol::{Async, Task};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Listens for an instance, and passes bytes on to the server behind it.
pub struct Front {
    /// Where the instance serves.
    pub addr: SocketAddr,
    server: SocketAddr,
    /// The task that listens and those of the connections; dropping one closes its sockets.
    tasks: Arc<Mutex<Vec<Task<()>>>>,
}

impl Front {
    /// Listens on a free port for the server at an address.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start(server: SocketAddr) -> Front {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let addr = listener.get_ref().local_addr().expect("a bound socket has an address");
        let front = Front { addr, server, tasks: Arc::default() };
        front.listen(listener);
        front
    }

    /// Closes the port and every connection in one moment.
    pub fn end(&self) {
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        drop(tasks);
    }

    /// Listens again at the same address.
    ///
    /// # Panics
    ///
    /// Panics if another program took the port meanwhile.
    pub fn listen_again(&self) {
        let listener = Async::<TcpListener>::bind(self.addr).expect("the port is still free");
        self.listen(listener);
    }

    fn listen(&self, listener: Async<TcpListener>) {
        let (server, tasks) = (self.server, Arc::downgrade(&self.tasks));
        let listening = exec::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let connection = exec::spawn(pass_on(near, server));
                match tasks.upgrade() {
                    Some(tasks) => lock(&tasks).push(connection),
                    None => return,
                }
            }
        });
        lock(&self.tasks).push(listening);
    }
}

async fn pass_on(near: Async<TcpStream>, server: SocketAddr) {
    let Ok(far) = Async::<TcpStream>::connect(server).await else { return };
    let _best_effort = (near.get_ref().set_nodelay(true), far.get_ref().set_nodelay(true));
    // Whichever side closes first ends both.
    let there = copy(&near, &far);
    let back = copy(&far, &near);
    let _closed = smol::future::or(there, back).await;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
