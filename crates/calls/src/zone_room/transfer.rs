//! What zones that are short of room send to those that have some left, for one service.

use super::{ServiceRoom, sane};

/// What the zones send each other of the calls of one service, by sending and receiving zone.
pub(super) struct Transfers {
    /// Shares of the calls with large answers.
    pub(super) large_shares: Vec<Vec<f64>>,
    /// Slots that the calls with small answers take.
    pub(super) slots: Vec<Vec<f64>>,
}

impl Transfers {
    pub(super) fn compute(rooms: &[ServiceRoom]) -> Self {
        let spare_link: Vec<f64> = rooms.iter().map(ServiceRoom::spare_link).collect();
        let spare_slots: Vec<f64> = rooms.iter().map(ServiceRoom::spare_slots).collect();
        let mut large_shares = transfer(&spare_link);
        for (row, room) in large_shares.iter_mut().zip(rooms) {
            for bytes in row {
                *bytes /= sane(room.link_demand).max(1.0);
            }
        }
        limit_to_slots(&mut large_shares, rooms, &spare_slots);
        let mut rest = spare_slots;
        for (from, row) in large_shares.iter().enumerate() {
            for (to, share) in row.iter().enumerate() {
                let slots = share * sane(rooms[from].large_slot_demand);
                rest[from] += slots;
                rest[to] -= slots;
            }
        }
        Self {
            large_shares,
            slots: transfer(&rest),
        }
    }
}

/// Distributes what some zones lack over what others have to spare: each lacking zone gets the
/// same part of what it lacks, and each other zone gives the same part of what it has.
fn transfer(spare: &[f64]) -> Vec<Vec<f64>> {
    let lacking: f64 = spare.iter().map(|it| (-it).max(0.0)).sum();
    let available: f64 = spare.iter().map(|it| it.max(0.0)).sum();
    let part = if lacking > 0.0 && available > 0.0 {
        (available / lacking).min(1.0) / available
    } else {
        0.0
    };
    let row = |from: &f64| -> Vec<f64> {
        let lacks = (-from).max(0.0);
        spare.iter().map(|to| lacks * part * to.max(0.0)).collect()
    };
    spare.iter().map(row).collect()
}

/// Reduces the shares of calls with large answers to the slots that the receiving zones have left.
fn limit_to_slots(shares: &mut [Vec<f64>], rooms: &[ServiceRoom], spare_slots: &[f64]) {
    for (to, spare) in spare_slots.iter().enumerate() {
        let needed = |row: &Vec<f64>, room: &ServiceRoom| row[to] * sane(room.large_slot_demand);
        let needed: f64 = shares.iter().zip(rooms).map(|(a, b)| needed(a, b)).sum();
        if needed > spare.max(0.0) {
            for row in shares.iter_mut() {
                row[to] *= spare.max(0.0) / needed;
            }
        }
    }
}
