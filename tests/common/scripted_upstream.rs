//! An upstream whose answers a test scripts as text.

use super::{Bench, BenchPlan};
use gatepier::lab::platform::ListChange;
use gatepier::live::ListedBox;
use gatepier::name::VersionName;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What an upstream does with a request.
#[derive(Debug, Clone)]
pub enum Reaction {
    /// Writes an answer.
    Answer(String),
    /// Ends the whole upstream: all connections are reset, and none is taken any more.
    Crash,
}

type React = dyn Fn(&str) -> Reaction;

/// The stand-in.
pub struct ScriptedUpstream {
    /// Where it listens.
    pub address: SocketAddr,
    crashed: Rc<watch::Sender<bool>>,
    received: Rc<Cell<usize>>,
}

impl ScriptedUpstream {
    /// Starts an upstream that reacts to the text of each request.
    pub async fn start(react: impl Fn(&str) -> Reaction + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let crashed = Rc::new(watch::Sender::new(false));
        let received = Rc::new(Cell::new(0));
        let (ends, counted) = (crashed.clone(), received.clone());
        let react: Rc<React> = Rc::new(react);
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

    /// Tells whether the upstream has crashed.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Returns the number of requests that reached it.
    pub fn received(&self) -> usize {
        self.received.get()
    }
}

/// Serves a connection until the upstream crashes.
async fn serve(
    mut stream: TcpStream,
    react: Rc<React>,
    crashed: Rc<watch::Sender<bool>>,
    received: Rc<Cell<usize>>,
) {
    let mut ended = crashed.subscribe();
    let mut buf = Vec::new();
    let mut part = [0; 4096];
    loop {
        let read = tokio::select! {
            _ = ended.wait_for(|crashed| *crashed) => break,
            read = stream.read(&mut part) => read.unwrap_or(0),
        };
        if read == 0 {
            return;
        }
        buf.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&buf).into_owned();
        if !is_whole(&text) {
            continue;
        }
        buf.clear();
        received.set(received.get() + 1);
        match react(&text) {
            Reaction::Answer(answer) => {
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
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

fn is_whole(text: &str) -> bool {
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

/// Writes an answer with a completion, which does for a plain service too.
pub fn answer(status: u16, more: &[(&str, &str)]) -> Reaction {
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
    for (name, value) in more {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    Reaction::Answer(text)
}

impl Bench {
    /// Starts two routers whose lists hold no upstream.
    pub async fn start_without_upstreams() -> Self {
        Self::start(BenchPlan {
            models: 0,
            services: 0,
            ..BenchPlan::default()
        })
        .await
    }

    /// Lists scripted upstreams of a service, with versions if they are engines.
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
