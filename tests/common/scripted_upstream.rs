//! An upstream stand-in whose raw HTTP responses are scripted by the test.

use super::{Bench, BenchPlan};
use gatepier::box_list::ListedBox;
use gatepier::lab::platform::ListChange;
use gatepier::name::VersionName;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the upstream reacts to a request.
#[derive(Debug, Clone)]
pub enum Reaction {
    /// Writes a response.
    Answer(String),
    /// Writes a response after a time.
    AnswerAfter(Duration, String),
    /// Writes a beginning, and then the same again and again with a pause between, until the peer
    /// closes the connection.
    Repeat {
        beginning: String,
        repeated: String,
        pause: Duration,
    },
    /// Crashes the upstream: all connections are reset and no new ones are accepted.
    Crash,
}

type RequestHandler = dyn Fn(&str) -> Reaction;

/// A scripted upstream server.
pub struct ScriptedUpstream {
    /// The address on which it listens.
    pub address: SocketAddr,
    crashed: Rc<watch::Sender<bool>>,
    received: Rc<Cell<usize>>,
}

impl ScriptedUpstream {
    /// Starts an upstream that calls `react` with the text of each request.
    pub async fn start(react: impl Fn(&str) -> Reaction + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let crashed = Rc::new(watch::Sender::new(false));
        let received = Rc::new(Cell::new(0));
        let (ends, counted) = (crashed.clone(), received.clone());
        let react: Rc<RequestHandler> = Rc::new(react);
        actix_rt::spawn(async move {
            let mut ended = ends.subscribe();
            loop {
                tokio::select! {
                    _ = ended.wait_for(|crashed| *crashed) => return,
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.unwrap();
                        let (ends, counted) = (ends.clone(), counted.clone());
                        actix_rt::spawn(serve(stream, react.clone(), ends, counted));
                    }
                }
            }
        });
        Self {
            address,
            crashed,
            received,
        }
    }

    /// Returns whether the upstream has crashed.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Returns the number of complete requests received.
    pub fn received(&self) -> usize {
        self.received.get()
    }
}

/// Serves a connection until it is closed or the upstream crashes.
async fn serve(
    mut stream: TcpStream,
    react: Rc<RequestHandler>,
    crashed: Rc<watch::Sender<bool>>,
    received: Rc<Cell<usize>>,
) {
    let mut ended = crashed.subscribe();
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let read = tokio::select! {
            _ = ended.wait_for(|crashed| *crashed) => break,
            read = stream.read(&mut chunk) => read.unwrap_or(0),
        };
        if read == 0 {
            return;
        }
        buf.extend_from_slice(&chunk[..read]);
        let text = String::from_utf8_lossy(&buf).into_owned();
        if !is_complete_request(&text) {
            continue;
        }
        buf.clear();
        received.set(received.get() + 1);
        let reaction = react(&text);
        if let Reaction::AnswerAfter(delay, _) = &reaction {
            tokio::time::sleep(*delay).await;
        }
        match reaction {
            Reaction::Answer(answer) | Reaction::AnswerAfter(_, answer) => {
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
            Reaction::Repeat {
                beginning,
                repeated,
                pause,
            } => {
                let mut written = stream.write_all(beginning.as_bytes()).await;
                while written.is_ok() {
                    tokio::time::sleep(pause).await;
                    written = stream.write_all(repeated.as_bytes()).await;
                }
                return;
            }
            Reaction::Crash => {
                crashed.send_replace(true);
                break;
            }
        }
    }
    let socket = socket2::SockRef::from(&stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

fn is_complete_request(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
    body.len() >= length
}

/// Returns a response with a completion as its body; plain services can use it too.
pub fn answer(status: u16, extra_headers: &[(&str, &str)]) -> Reaction {
    let body = json!({
        "object": "chat.completion", "model": "small/s1",
        "choices": [{
            "index": 0, "finish_reason": "stop",
            "message": { "role": "assistant", "content": "an answer" },
        }],
        "usage": { "prompt_tokens": 8, "completion_tokens": 8, "total_tokens": 16 },
    })
    .to_string();
    let mut text = format!("HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n");
    for (name, value) in extra_headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    Reaction::Answer(text)
}

impl Bench {
    /// Starts two boxes without any upstream in the live list.
    pub async fn start_without_upstreams() -> Self {
        Self::start(BenchPlan {
            models: 0,
            services: 0,
            ..BenchPlan::default()
        })
        .await
    }

    /// Adds scripted upstreams of a service to the live list; model engines have versions.
    pub fn list_scripted(&self, service: &str, versions: &[&str], upstreams: &[&ScriptedUpstream]) {
        let listed = upstreams.iter().enumerate().map(|(number, upstream)| {
            let versions = versions
                .iter()
                .map(|text| VersionName::parse(text).unwrap());
            let name = format!("scripted-{number}");
            ListedBox::live(&name, service, "ikeja", upstream.address, versions)
        });
        self.change_list(&ListChange::Put(listed.collect()));
    }
}
