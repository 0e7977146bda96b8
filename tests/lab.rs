//! The lab's own promises, on which the other tests rely.

mod common;

use gatepier::lab::fleet::free_address;
use googletest::prelude::*;

/// Where the system takes the ports of sockets that ask for none.
fn first_port_of_the_system() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    range.split_whitespace().next().unwrap().parse().unwrap()
}

cases! {
    address_given_out_cannot_be_taken_by_a_socket_that_asks_for_none => async {
        // Fails where ports of the system's own range are given out: a listener on all
        // addresses of another process then had an agent's port (a CI run beside a bench).
        let first = first_port_of_the_system();
        for _ in 0..64 {
            expect_that!(free_address().unwrap().port(), lt(first));
        }
    };
}
