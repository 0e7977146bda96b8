//! Through which boxes a box sends what it cannot send itself.

use super::cases;
use gatepier::gateway::peers::tunnel_client::{PeerUse, TunnelPeer, rank_peers};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const OWN_HALL: &str = "ikeja";

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn peer(number: u16, hall: &str) -> TunnelPeer {
    TunnelPeer {
        address: address(number),
        hall: hall.to_owned(),
        is_live: true,
    }
}

/// Opens tunnels one after the other, each through the box that is ranked first; returns how many
/// lead through each.
fn open_tunnels(peers: &[TunnelPeer], tunnels: usize) -> BTreeMap<SocketAddr, usize> {
    let mut open: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for _ in 0..tunnels {
        let use_of = |peer| PeerUse {
            peer,
            open_tunnels: open.get(&peer.address).copied().unwrap_or(0),
        };
        let ranked = rank_peers(peers.iter().map(use_of).collect(), OWN_HALL);
        *open.entry(ranked[0]).or_default() += 1;
    }
    open
}

cases! {
    few_tunnels_stay_in_the_hall => {
        let peers = [peer(1, "yaba"), peer(2, OWN_HALL), peer(3, "lekki")];
        expect_that!(open_tunnels(&peers, 4), eq(&BTreeMap::from([(address(2), 4)])));
    }

    many_tunnels_are_spread_over_halls => {
        let peers = [peer(1, "yaba"), peer(2, OWN_HALL), peer(3, "lekki")];
        let open = open_tunnels(&peers, 40);
        expect_that!(open[&address(2)], le(18));
        expect_that!(open[&address(1)], ge(10));
        expect_that!(open[&address(3)], ge(10));
    }

    silent_boxes_come_last => {
        let mut peers = [peer(1, OWN_HALL), peer(2, "yaba")];
        peers[0].is_live = false;
        expect_that!(open_tunnels(&peers, 20), eq(&BTreeMap::from([(address(2), 20)])));
    }

    // Guards against connections between boxes that grow with the fleet.
    tunnels_lead_through_few_boxes_of_a_large_fleet => {
        let peers: Vec<TunnelPeer> = (1..300).map(|number| peer(number, "yaba")).collect();
        expect_that!(open_tunnels(&peers, 200).len(), eq(8));
    }
}
