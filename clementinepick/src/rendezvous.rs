//! Ranks processes for a key by rendezvous hashing: all processes compute the same order without
//! talking to each other, and a lost process moves only its own keys.
//!
//! No rank is binding. The claim of a partition, for one, is decided by a record in the log, see
//! [`crate::partition_replay`].

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{PartitionId, VmId};

/// Returns the entry among `live` that should claim `partition`.
pub fn suggested_owner<'a>(
    partition: PartitionId,
    live: impl Iterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    live.max_by_key(|vm| weight(partition, vm))
}

fn weight(partition: PartitionId, vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(partition.0))
}

/// Returns the address among `live` that ranks first for `key`.
pub fn first_address(key: &str, live: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    live.max_by_key(|address| address_weight(key, *address))
}

/// Returns the addresses by their rank for `key`, the first one first.
pub fn rank_addresses(key: &str, addresses: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut ranked: Vec<SocketAddr> = addresses.collect();
    ranked.sort_by_cached_key(|address| Reverse(address_weight(key, *address)));
    ranked
}

fn address_weight(key: &str, address: SocketAddr) -> u64 {
    let seed = xxh3_64(key.as_bytes());
    xxh3_64_with_seed(address.to_string().as_bytes(), seed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn losing_an_entry_moves_only_its_partitions() {
        let vms: Vec<VmId> = (0..5)
            .map(|n| format!("e{n}").parse().expect("a name"))
            .collect();
        for partition in (0..64).map(PartitionId) {
            let before = suggested_owner(partition, vms.iter()).expect("a live entry");
            let after = suggested_owner(partition, vms[1..].iter()).expect("a live entry");
            assert!(before == after || *before == vms[0]);
        }
    }

    #[test]
    fn losing_an_address_keeps_the_order_of_the_others() {
        let addresses: Vec<SocketAddr> = (1..=9)
            .map(|n| SocketAddr::from(([10, 0, 0, n], 7_000)))
            .collect();
        for key in (0..64).map(|n| format!("key-{n}")) {
            let ranked = rank_addresses(&key, addresses.iter().copied());
            assert_eq!(
                first_address(&key, addresses.iter().copied()),
                Some(ranked[0])
            );
            let rest = addresses.iter().copied().filter(|a| *a != ranked[0]);
            assert_eq!(rank_addresses(&key, rest), ranked[1..]);
        }
    }
}
