//! Encoding of messages between boxes: a round trip preserves them, and corrupt ones are rejected.

use super::cases;
use gatepier::gateway::control::store::BoxEntry;
use gatepier::gateway::peers::datagram::{decode, encode};
use googletest::prelude::*;

fn entries(count: u64) -> Vec<BoxEntry> {
    let entry = |number: u64| BoxEntry {
        name: format!(
            "front-lagos-ikeja-{number}.{}",
            1_796_247_221_759 + number * 37
        ),
        hall: "lagos-ikeja".to_owned(),
        address: format!("10.1.0.{}:7340", number % 250).parse().unwrap(),
        link_mbps: 10,
        registered: 0,
    };
    (0..count).map(entry).collect()
}

cases! {
    message_survives_encoding_and_decoding => {
        for count in [0, 1, 40] {
            let datagram = encode(&entries(count)).unwrap();
            expect_that!(decode::<Vec<BoxEntry>>(&datagram), ok(eq(&entries(count))));
        }
    }

    repetitive_messages_are_compressed => {
        let plain = bincode::serde::encode_to_vec(entries(40), bincode::config::standard());
        let (plain, datagram) = (plain.unwrap().len(), encode(&entries(40)).unwrap().len());
        println!("{plain} bytes plain, {datagram} as a datagram");
        expect_that!(datagram, lt(plain / 2));
    }

    corrupt_datagrams_are_rejected => {
        expect_that!(decode::<Vec<BoxEntry>>(&[]), err(anything()));
        expect_that!(decode::<Vec<BoxEntry>>(&[9, 1, 2]), err(anything()));
        let mut datagram = encode(&entries(40)).unwrap();
        datagram.truncate(datagram.len() / 2);
        expect_that!(decode::<Vec<BoxEntry>>(&datagram), err(anything()));
        // A small datagram that decompresses to more than any message.
        let bomb = zstd_of_zeros(4 * 1024 * 1024);
        expect_that!(bomb.len(), lt(1000));
        expect_that!(decode::<Vec<u8>>(&bomb), err(anything()));
    }
}

fn zstd_of_zeros(len: usize) -> Vec<u8> {
    let mut datagram = vec![1];
    datagram.extend(zstd::bulk::compress(&vec![0; len], 1).unwrap());
    datagram
}
