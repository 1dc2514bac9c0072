//! Fakes of a daemon's operator port.

use std::collections::{BTreeMap, VecDeque};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;

use ntex::http::StatusCode;
use ntex::rt::{DefaultRuntime, System};
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde_json::Value;

use crate::program::TOKEN;

/// A request that a fake got.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) path: String,
    pub(crate) body: Value,
}

#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    body: Value,
}

type Answers = BTreeMap<String, VecDeque<Answer>>;

#[derive(Default)]
struct Script {
    answers: Mutex<Answers>,
    seen: Mutex<Vec<Seen>>,
}

/// A daemon that gives scripted answers. For each path they are given in
/// order, and the last one again and again.
pub(crate) struct Fake {
    pub(crate) addr: SocketAddr,
    script: Arc<Script>,
    system: System,
}

impl Fake {
    pub(crate) fn start() -> Self {
        let script = Arc::new(Script::default());
        let (tx, rx) = channel();
        let shared = Arc::clone(&script);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        thread::spawn(move || {
            System::new("fake", DefaultRuntime).block_on(async move {
                let app = async move || {
                    App::new()
                        .state(Arc::clone(&shared))
                        .default_service(web::route().to(answer))
                };
                let server = HttpServer::new(app).workers(1).disable_signals();
                let running = server.listen(listener).unwrap().run();
                tx.send(System::current()).unwrap();
                let _ = running.await;
            });
        });
        let system = rx.recv().unwrap();
        Self {
            addr,
            script,
            system,
        }
    }

    /// Adds an answer to requests whose path, the query left out, is `path`.
    pub(crate) fn answer(&self, path: &str, status: u16, body: Value) -> &Self {
        let mut answers = self.script.answers.lock().unwrap();
        let queue = answers.entry(path.to_owned()).or_default();
        queue.push_back(Answer { status, body });
        drop(answers);
        self
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.script.seen.lock().unwrap().clone()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.system.stop();
    }
}

async fn answer(req: HttpRequest, body: Bytes, script: State<Arc<Script>>) -> HttpResponse {
    let authorization = req.headers().get("authorization");
    let expected = format!("Bearer {TOKEN}");
    if authorization.is_none_or(|it| it.as_bytes() != expected.as_bytes()) {
        return HttpResponse::Unauthorized().finish();
    }
    script.seen.lock().unwrap().push(Seen {
        path: req.uri().to_string(),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    });
    let mut answers = script.answers.lock().unwrap();
    let queue = answers.get_mut(req.path());
    let next = queue.and_then(|queue| match queue.len() {
        0 | 1 => queue.front().cloned(),
        _ => queue.pop_front(),
    });
    let Some(next) = next else {
        return HttpResponse::NotFound().finish();
    };
    let status = StatusCode::from_u16(next.status).unwrap();
    HttpResponse::build(status).json(&next.body)
}

/// A daemon that reads a request and closes the connection, as one that dies
/// after a change took effect and before its answer left. Gives the request.
pub(crate) fn dies_before_answering() -> (SocketAddr, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handle = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut text = String::new();
        let mut buf = [0; 4096];
        while !text.ends_with('}') {
            let len = stream.read(&mut buf).unwrap();
            text.push_str(&String::from_utf8_lossy(&buf[..len]));
        }
        text
    });
    (addr, handle)
}

/// An address where nobody listens.
pub(crate) fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}
