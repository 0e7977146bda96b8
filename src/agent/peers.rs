//! Clients and last contacts of the peers of an agent.

use crate::claim::view::Member;
use crate::clock::Now;
use crate::wire::client::WireClient;
use crate::wire::tls::FleetTls;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a peer may be silent before its duties are taken over.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Silence limit for agents that are in contact with the hubs of their hall only occasionally;
/// after it they call the store themselves.
pub const INFREQUENT_CONTACT_SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// Last contact with the agent of a box.
#[derive(Debug, Clone, Copy)]
struct LastContact {
    incarnation: u64,
    at: Duration,
    stopping: bool,
}

/// The peers of an agent.
#[derive(Debug)]
pub struct Peers {
    tls: FleetTls,
    clients: RefCell<HashMap<SocketAddr, Rc<WireClient>>>,
    contacts: RefCell<HashMap<String, LastContact>>,
    evidence_sent: RefCell<HashMap<SocketAddr, u64>>,
    listening_since: Duration,
}

impl Peers {
    /// Creates an empty set of peers.
    pub fn new(tls: FleetTls, now: Now) -> Self {
        Self {
            tls,
            clients: RefCell::default(),
            contacts: RefCell::default(),
            evidence_sent: RefCell::default(),
            listening_since: now.monotonic,
        }
    }

    /// Returns the client for an address.
    pub fn client(&self, address: SocketAddr) -> Rc<WireClient> {
        let mut clients = self.clients.borrow_mut();
        let make = || Rc::new(WireClient::new(address, self.tls.clone()));
        clients.entry(address).or_insert_with(make).clone()
    }

    /// Removes the clients of addresses that are no longer in use.
    pub fn retain_addresses(&self, in_use: impl Fn(&SocketAddr) -> bool) {
        self.clients
            .borrow_mut()
            .retain(|address, _| in_use(address));
        self.evidence_sent
            .borrow_mut()
            .retain(|address, _| in_use(address));
    }

    /// Records a contact with a member. Contacts of an earlier incarnation than known are ignored.
    pub fn record_contact(&self, member: &Member, stopping: bool, now: Now) {
        let mut contacts = self.contacts.borrow_mut();
        let new = LastContact {
            incarnation: member.incarnation,
            at: now.monotonic,
            stopping,
        };
        match contacts.get_mut(&member.box_name) {
            Some(current) if current.incarnation > new.incarnation => {}
            Some(current) => *current = new,
            None => {
                contacts.insert(member.box_name.clone(), new);
            }
        }
    }

    /// Returns whether a member has been silent for too long, or is stopping.
    ///
    /// The silence of a member that has never been in contact is measured from the start of this
    /// agent.
    pub fn is_silent(&self, member: &Member, now: Now) -> bool {
        let contacts = self.contacts.borrow();
        let contact = contacts.get(&member.box_name);
        let contact = contact.filter(|contact| contact.incarnation == member.incarnation);
        if contact.is_some_and(|contact| contact.stopping) {
            return true;
        }
        let since = contact.map_or(self.listening_since, |contact| contact.at);
        now.monotonic.saturating_sub(since) > SILENCE_LIMIT
    }

    /// Returns whether a box has been silent for too long, in any incarnation.
    pub fn is_box_silent(&self, box_name: &str, now: Now) -> bool {
        self.is_box_silent_for(box_name, SILENCE_LIMIT, now)
    }

    /// Returns whether a box has been silent for longer than a limit, in any incarnation.
    pub fn is_box_silent_for(&self, box_name: &str, limit: Duration, now: Now) -> bool {
        let contacts = self.contacts.borrow();
        let since = contacts
            .get(box_name)
            .map_or(self.listening_since, |contact| contact.at);
        now.monotonic.saturating_sub(since) > limit
    }

    /// Returns the current member on a box, if it was in contact recently and is not stopping.
    pub fn live_member(&self, box_name: &str, now: Now) -> Option<Member> {
        let contact = *self.contacts.borrow().get(box_name)?;
        let is_recent =
            now.monotonic.saturating_sub(contact.at) <= SILENCE_LIMIT && !contact.stopping;
        let member = Member {
            box_name: box_name.to_owned(),
            incarnation: contact.incarnation,
        };
        is_recent.then_some(member)
    }

    /// Returns whether a later incarnation on the member's box was in contact. This proves that the
    /// member is gone, because an agent listens on its address exclusively.
    pub fn has_later_incarnation(&self, member: &Member) -> bool {
        let contacts = self.contacts.borrow();
        contacts
            .get(&member.box_name)
            .is_some_and(|contact| contact.incarnation > member.incarnation)
    }

    /// Returns the number of boxes that were in contact recently.
    pub fn recent_contact_count(&self, now: Now) -> usize {
        let is_recent =
            |contact: &&LastContact| now.monotonic.saturating_sub(contact.at) <= SILENCE_LIMIT;
        self.contacts.borrow().values().filter(is_recent).count()
    }

    /// Returns the position up to which evidence was sent to an address.
    pub fn evidence_sent(&self, address: SocketAddr) -> u64 {
        self.evidence_sent
            .borrow()
            .get(&address)
            .copied()
            .unwrap_or(0)
    }

    /// Records the position up to which evidence was sent to an address.
    pub fn record_evidence_sent(&self, address: SocketAddr, version: u64) {
        self.evidence_sent.borrow_mut().insert(address, version);
    }

    /// Returns the total size of the messages that were sent to the current peers.
    pub fn bytes_sent(&self) -> u64 {
        self.clients
            .borrow()
            .values()
            .map(|client| client.bytes_sent())
            .sum()
    }
}
