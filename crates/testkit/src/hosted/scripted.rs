//! An upstream that sends the bytes that a test gives it.

use super::cut::{End, end};
use super::endless::{RequestHead, read_head};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// What an upstream does after a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The bytes that it sends.
    pub bytes: Vec<u8>,
    /// How it ends its connection then; it goes on serving it if there is none.
    pub end: Option<End>,
}

type Script = dyn Fn(&RequestHead) -> Reply + Send + Sync;

/// A running upstream.
pub struct ScriptedUpstream {
    /// The listen address.
    pub addr: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
}

impl ScriptedUpstream {
    /// Starts an upstream that replies to all requests by a script.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start(
        script: impl Fn(&RequestHead) -> Reply + Send + Sync + 'static,
    ) -> ScriptedUpstream {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let script: Arc<Script> = Arc::new(script);
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let noted = runs.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, runs) = (script.clone(), noted.clone());
                std::thread::spawn(move || serve(&stream, &*script, &runs));
            }
        });
        ScriptedUpstream { addr, runs }
    }

    /// Starts an upstream as [`ScriptedUpstream::start`] does, which answers health requests well
    /// under an instance id.
    ///
    /// # Panics
    ///
    /// Panics if the system refuses a port.
    pub fn start_healthy(
        id: &'static str,
        script: impl Fn(&RequestHead) -> Reply + Send + Sync + 'static,
    ) -> ScriptedUpstream {
        ScriptedUpstream::start(move |req| match req.path.contains("health") {
            true => healthy(id),
            false => script(req),
        })
    }

    /// Returns the ids of the requests that reached the upstream, but for health requests.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Returns the reply of a healthy instance to a health request.
pub fn healthy(id: &str) -> Reply {
    let text = format!("HTTP/1.1 200 OK\r\nx-instance-id: {id}\r\ncontent-length: 0\r\n\r\n");
    Reply { bytes: text.into_bytes(), end: None }
}

fn serve(mut stream: &TcpStream, script: &Script, runs: &Mutex<Vec<String>>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let req = read_head(&mut reader)?;
        if !req.path.contains("health") {
            runs.lock().unwrap_or_else(PoisonError::into_inner).push(req.id.clone());
        }
        let reply = script(&req);
        stream.write_all(&reply.bytes).ok()?;
        if let Some(how) = reply.end {
            end(stream, how, &mut reader);
            return None;
        }
    }
}
