//! What boxes tell each other: how the versions under roll-out answered.
//!
//! Counts only grow and go by reporter, so a datagram that is lost, late or doubled does
//! no harm; that is why these are datagrams and not h2 streams. They go to the two boxes
//! registered longest: the one that leads, and the one that would lead next. See
//! `docs/design/platform.md`.

use super::Gateway;
use crate::error::{Error, Result};
use crate::evidence::EvidenceCell;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The time between two reports while a version is under roll-out.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Boxes that are told: the leading one and the one that would lead next.
const TOLD_BOXES: usize = 2;
/// The largest datagram; counts of a few versions on a dozen routes take a kilobyte.
const DATAGRAM_BYTES: usize = 32 * 1024;

/// A message between boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum PeerMessage {
    /// The sender's own counts.
    Counts(Vec<EvidenceCell>),
}

/// Exchanges counts for as long as the process lives.
pub async fn exchange(gw: Rc<Gateway>) -> Result<()> {
    let address = gw.settings().peers;
    let error = |err| Error::Unreachable(format!("cannot listen on {address}: {err}"));
    let socket = UdpSocket::bind(address).await.map_err(error)?;
    tokio::join!(receive(&gw, &socket), report(&gw, &socket));
    Ok(())
}

async fn receive(gw: &Gateway, socket: &UdpSocket) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => take(gw, buf.get(..len).unwrap_or_default(), from),
            Err(err) => {
                log::debug!("no datagram could be read: {err}");
                sleep(REPORT_INTERVAL).await;
            }
        }
    }
}

fn take(gw: &Gateway, datagram: &[u8], from: SocketAddr) {
    let config = bincode::config::standard();
    match bincode::serde::decode_from_slice::<PeerMessage, _>(datagram, config) {
        Ok((PeerMessage::Counts(cells), _)) => gw.versions.borrow_mut().merge(&cells),
        Err(err) => log::warn!("a datagram from {from} cannot be read: {err}"),
    }
}

async fn report(gw: &Gateway, socket: &UdpSocket) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let cells = gw.versions.borrow().own_cells();
        if cells.is_empty() {
            continue;
        }
        let config = bincode::config::standard();
        let message = PeerMessage::Counts(cells);
        let datagram = match bincode::serde::encode_to_vec(&message, config) {
            Ok(datagram) => datagram,
            Err(err) => {
                log::error!("counts cannot be encoded: {err}");
                continue;
            }
        };
        for address in told_boxes(gw) {
            if let Err(err) = socket.send_to(&datagram, address).await {
                log::debug!("counts cannot be sent to {address}: {err}");
            }
        }
    }
}

fn told_boxes(gw: &Gateway) -> Vec<SocketAddr> {
    let knowledge = gw.knowledge.borrow();
    let mut boxes: Vec<_> = knowledge
        .boxes()
        .filter(|entry| entry.name != gw.life)
        .collect();
    boxes.sort_by_key(|entry| entry.registered);
    boxes
        .into_iter()
        .take(TOLD_BOXES)
        .map(|entry| entry.address)
        .collect()
}
