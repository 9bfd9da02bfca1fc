//! Ranks processes for a key by rendezvous hashing: all processes compute the same order without
//! talking to each other, and a lost process moves only its own keys.
//!
//! No rank is binding. The claim of a partition, for one, is decided by a record in the log, see
//! [`crate::partition_replay`].

use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};

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
    let seed = xxh3_64(key.as_bytes());
    live.max_by_key(|address| xxh3_64_with_seed(address.to_string().as_bytes(), seed))
}

/// Returns the `count` addresses that rank first for `key`, in this order.
///
/// The order differs from that of [`first_address`]: it is computed for each stream, and hashing
/// the bytes of an address is much faster than hashing its text.
pub fn rank_addresses(
    key: &str,
    addresses: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(key.as_bytes());
    let weight = |address| Reverse(xxh3_64_with_seed(&address_bytes(address), seed));
    let mut ranked: Vec<_> = addresses
        .map(|address| (weight(address), address))
        .collect();
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, address)| address).collect()
}

fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    bytes
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
            let ranked = rank_addresses(&key, addresses.iter().copied(), 9);
            assert_eq!(ranked.len(), 9);
            let rest = addresses.iter().copied().filter(|a| *a != ranked[0]);
            assert_eq!(rank_addresses(&key, rest, 3), ranked[1..4]);
        }
    }
}
