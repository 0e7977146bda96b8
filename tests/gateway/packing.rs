//! The size of packed items, and the handling of corrupt ones.

use super::cases;
use gatepier::gateway::control::mirror::Mirror;
use gatepier::gateway::control::store::Item;
use gatepier::gateway::peers::packing::{PackedItem, UnpackError};
use googletest::prelude::*;
use std::fmt::Write as _;

/// Returns a configuration of routes with distinct names, in the operators' format.
pub fn routes(from: u64, to: u64) -> Vec<u8> {
    let mut text = String::new();
    for number in from..to {
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        let (name, host, path) = (random >> 28, random % 8, (random >> 5) & 0xf_ffff_ffff);
        writeln!(
            text,
            r#"{{"Name":"r-{name:x}","Host":"host{host}.example","PathPrefix":"/{path:x}/","Kind":"idempotent","TimeoutMs":800,"SloMs":120,"Priority":2,"Service":"reader-api","Attempts":2,"Public":false,"Affinity":false,"StreamResume":false,"GapAimMs":0}}"#,
        )
        .unwrap();
    }
    text.into_bytes()
}

/// Returns an item with this value and revision.
pub fn item(value: Vec<u8>, revision: u64) -> Item {
    Item {
        key: "config".to_owned(),
        value: Some(value),
        revision,
        created: 1,
    }
}

/// Passes what a box has on to another one that has reached revision 7.
fn pass_on(sender: &mut Mirror, receiver: &mut Mirror) {
    let packed = sender.changes_after(7, false);
    let changes = receiver.unpack(packed).unwrap();
    receiver.apply(changes.items, changes.revision);
}

cases! {
    item_survives_packing_and_unpacking => {
        let (old, new) = (item(routes(0, 2800), 7), item(routes(0, 4200), 9));
        let whole = PackedItem::pack(&new, None);
        expect_that!(whole.unpack(None), ok(eq(&new)));
        let delta = PackedItem::pack(&new, Some(&old));
        expect_that!(delta.unpack(Some(&old)), ok(eq(&new)));
        let gone = Item::deleted("config", 11);
        expect_that!(PackedItem::pack(&gone, Some(&new)).unpack(Some(&new)), ok(eq(&gone)));
    }

    large_change_is_packed_into_few_bytes => {
        let (old, new) = (item(routes(0, 2800), 7), item(routes(0, 4200), 9));
        let bytes = new.value.as_ref().unwrap().len();
        let whole = PackedItem::pack(&new, None).len();
        let delta = PackedItem::pack(&new, Some(&old)).len();
        let unchanged = PackedItem::pack(&item(routes(0, 4200), 12), Some(&new)).len();
        println!("{bytes} bytes: {whole} in full, {delta} as a delta, {unchanged} if nothing changed");
        expect_that!(whole, lt(bytes / 10));
        expect_that!(delta, lt(bytes / 25));
        expect_that!(unchanged, lt(1000));
    }

    received_change_is_passed_on_without_being_packed_again => {
        // Guards against each box packing a change for the next one: with an eighth of a core that
        // took up to 0.6 s, while the receivers gave the sender up after 0.5 s.
        let (old, new) = (item(routes(0, 2800), 7), item(routes(0, 4200), 9));
        let [mut hub, mut first, mut second] = [(); 3].map(|()| Mirror::default());
        for known in [&mut hub, &mut first, &mut second] {
            known.apply(vec![old.clone()], 7);
        }
        hub.apply(vec![new.clone()], 9);
        pass_on(&mut hub, &mut first);
        pass_on(&mut first, &mut second);
        let packed = [&hub, &first, &second].map(Mirror::packing_count);
        expect_that!(packed, eq([1, 0, 0]));
        // A box without any state gets the whole item.
        let mut starting = Mirror::default();
        let whole = second.changes_after(0, false);
        expect_that!(starting.unpack(whole).unwrap().items, elements_are![eq(&new)]);
    }

    delta_to_another_state_is_rejected => {
        let (old, new) = (item(routes(0, 100), 7), item(routes(0, 200), 9));
        let packed = PackedItem::pack(&new, Some(&old));
        expect_that!(packed.clone().unpack(None), err(eq(&UnpackError::BaseMismatch)));
        expect_that!(packed.unpack(Some(&item(routes(0, 90), 6))), err(eq(&UnpackError::BaseMismatch)));
    }

    delta_to_different_bytes_of_the_same_revision_is_corrupt => {
        let (old, new) = (item(routes(0, 100), 7), item(routes(0, 200), 9));
        let packed = PackedItem::pack(&new, Some(&old));
        let other = item(routes(300, 400), 7);
        expect_that!(packed.unpack(Some(&other)), err(matches_pattern!(UnpackError::Corrupt(anything()))));
    }

    corrupt_bytes_are_never_unpacked => {
        let config = bincode::config::standard();
        let packed = PackedItem::pack(&item(routes(0, 200), 9), None);
        let encoded = bincode::serde::encode_to_vec(&packed, config).unwrap();
        for at in (encoded.len() / 2..encoded.len()).step_by(37) {
            let mut corrupt = encoded.clone();
            corrupt[at] ^= 0x55;
            let read = bincode::serde::decode_from_slice::<PackedItem, _>(&corrupt, config);
            if let Ok((read, _)) = read {
                expect_that!(read.unpack(None), err(anything()));
            }
        }
    }
}
