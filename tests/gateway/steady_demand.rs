//! The sum of what boxes use of a limit while they hear of each other's demand late.

use super::{at, cases};
use gatepier::gateway::attempt::connection_limit::{Demand, Fleet, share};
use gatepier::gateway::attempt::steady_demand::SteadyDemand;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::num::NonZeroU32;

/// Time between two messages of a box, in milliseconds.
const MESSAGE_MS: u64 = 120;

/// A box with what it last heard of each other box.
#[derive(Default, Clone)]
struct SharingBox {
    demand: SteadyDemand,
    own: u32,
    heard: Vec<u32>,
    /// Whether it runs.
    runs: bool,
    /// Whether it is cut off from the others.
    is_cut_off: bool,
}

/// Boxes that share a limit by messages, which may be lost.
struct Sharing {
    limit: NonZeroU32,
    boxes: Vec<SharingBox>,
    rng: StdRng,
    tick: u64,
    lost_percent: u32,
}

impl Sharing {
    fn new(limit: u32, boxes: usize, lost_percent: u32) -> Self {
        let one = SharingBox {
            runs: true,
            heard: vec![0; boxes],
            ..SharingBox::default()
        };
        Self {
            limit: NonZeroU32::new(limit).unwrap(),
            boxes: vec![one; boxes],
            rng: StdRng::seed_from_u64(7),
            tick: 0,
            lost_percent,
        }
    }

    /// Passes the time between two messages with a demand of each box, and returns the shares.
    fn pass(&mut self, demands: &[u32]) -> Vec<u32> {
        self.tick += 1;
        let now = at(self.tick * MESSAGE_MS);
        let former: Vec<(u32, bool)> = self
            .boxes
            .iter()
            .map(|one| (one.own, one.runs && !one.is_cut_off))
            .collect();
        // A box that is gone counts as a box for some time.
        let count = u32::try_from(self.boxes.len()).unwrap();
        let mut shares = Vec::new();
        for (index, one) in self.boxes.iter_mut().enumerate() {
            if !one.runs {
                shares.push(0);
                continue;
            }
            for (sender, (own, is_heard)) in former.iter().enumerate() {
                let is_lost = self.rng.random_range(0..100) < self.lost_percent;
                if sender != index && *is_heard && !one.is_cut_off && !is_lost {
                    one.heard[sender] = *own;
                }
            }
            one.own = demands[index];
            let moment = Demand {
                own: one.own,
                others: one.heard.iter().sum(),
            };
            match one.is_cut_off {
                true => one.demand.clear(),
                false => one.demand.record(moment, now),
            }
            let fleet = Fleet {
                boxes: count,
                hears_others: !one.is_cut_off,
            };
            shares.push(share(self.limit, fleet, one.demand.get(moment)));
        }
        shares
    }

    /// Stops a box; the others learn that it has no requests.
    fn stop(&mut self, index: usize) {
        self.boxes[index] = SharingBox {
            heard: vec![0; self.boxes.len()],
            ..SharingBox::default()
        };
        for one in &mut self.boxes {
            one.heard[index] = 0;
        }
    }

    fn start(&mut self, index: usize) {
        self.boxes[index].runs = true;
    }
}

fn sum(shares: &[u32]) -> u32 {
    shares.iter().sum()
}

cases! {
    // Bursts within a box, which are over before the other one hears of them.
    bursts_of_two_boxes_keep_within_the_limit => {
        let mut sharing = Sharing::new(8, 2, 0);
        let mut rng = StdRng::seed_from_u64(1);
        for _ in 0..2000 {
            let demands = [rng.random_range(0..7), rng.random_range(0..7)];
            expect_that!(sum(&sharing.pass(&demands)), le(8), "{demands:?}");
        }
    }

    lost_messages_keep_85_boxes_within_the_limit => {
        let mut sharing = Sharing::new(490, 85, 10);
        let mut rng = StdRng::seed_from_u64(2);
        for _ in 0..500 {
            let demands: Vec<u32> = (0..85).map(|_| rng.random_range(0..9)).collect();
            expect_that!(sum(&sharing.pass(&demands)), le(490));
        }
    }

    boxes_that_come_go_and_are_cut_off_keep_within_the_limit => {
        let mut sharing = Sharing::new(60, 6, 0);
        let mut rng = StdRng::seed_from_u64(3);
        for round in 0..600 {
            match round % 100 {
                20 => sharing.stop(1),
                40 => sharing.start(1),
                50 => sharing.boxes.iter_mut().for_each(|one| one.is_cut_off = true),
                70 => sharing.boxes.iter_mut().for_each(|one| one.is_cut_off = false),
                _ => {}
            }
            let demands: Vec<u32> = (0..6).map(|_| rng.random_range(0..14)).collect();
            expect_that!(sum(&sharing.pass(&demands)), le(60), "round {round}");
        }
    }

    // One box gets an organisation's whole traffic, then another one: the room follows within some
    // seconds, the sum holds meanwhile.
    room_moves_to_the_box_that_needs_it => {
        let mut sharing = Sharing::new(40, 4, 0);
        let mut shares = Vec::new();
        for busy in [0, 1] {
            for _ in 0..100 {
                let mut demands = [1; 4];
                demands[busy] = 30;
                shares = sharing.pass(&demands);
                expect_that!(sum(&shares), le(40));
            }
            // The demand of the busy box, and part of what all leave.
            expect_that!(shares[busy], ge(29));
        }
        expect_that!(shares[0], ge(1));
    }

    idle_room_is_lent_to_a_single_busy_box => {
        let mut sharing = Sharing::new(100, 10, 0);
        let mut demands = [0; 10];
        demands[0] = 60;
        let mut shares = Vec::new();
        for _ in 0..100 {
            shares = sharing.pass(&demands);
        }
        expect_that!(shares[0], ge(60));
    }

    // Others do not know of a demand that was there before the box heard of them.
    restarted_box_begins_with_its_equal_part => {
        let mut demand = SteadyDemand::default();
        let moment = Demand { own: 50, others: 20 };
        expect_that!(demand.get(moment), eq(Demand { own: 0, others: 20 }));
        demand.record(moment, at(0));
        expect_that!(demand.get(moment), eq(Demand { own: 0, others: 20 }));
    }

    own_part_shrinks_at_once_and_grows_late => {
        let mut demand = SteadyDemand::default();
        let mut seen = Vec::new();
        for tick in 0..400 {
            let own = if tick < 200 { 20 } else { 0 };
            let moment = Demand { own, others: 0 };
            demand.record(moment, at(tick * 50));
            seen.push(demand.get(moment).own);
        }
        expect_that!(seen[20], lt(8), "after one second");
        expect_that!(seen[199], ge(18), "after ten seconds");
        expect_that!(seen[240], lt(10), "two seconds after the end");
    }

    extreme_demand_and_clocks_that_go_back_are_harmless => {
        let mut demand = SteadyDemand::default();
        let most = Demand { own: u32::MAX, others: u32::MAX };
        for tick in [100_000, 5, 0, 200_000, 200_001] {
            demand.record(most, at(tick));
            expect_that!(demand.get(most).others, gt(0));
        }
    }
}
