//! Which entry should own a partition: highest random weight over the live entries.
//!
//! This only suggests. A claim record in the log decides, see [`crate::partition_replay`].

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{PartitionId, VmId};

/// The entry that should claim `partition`, among those that live.
pub fn suggested_owner<'a>(
    partition: PartitionId,
    live: impl Iterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    live.max_by_key(|vm| weight(partition, vm))
}

fn weight(partition: PartitionId, vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(partition.0))
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
            let before = suggested_owner(partition, vms.iter()).expect("one lives");
            let after = suggested_owner(partition, vms[1..].iter()).expect("one lives");
            assert!(before == after || *before == vms[0]);
        }
    }
}
