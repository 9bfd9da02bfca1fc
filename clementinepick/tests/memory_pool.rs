//! Tests how buffers share a limit of memory.

use clementinepick::memory_pool::MemoryPool;
use clementinepick::units::Bytes;
use proptest::prelude::*;

const LIMIT: Bytes = Bytes(16_000_000);

/// Grows a buffer by steps until it may not grow further; returns its size.
fn grow(pool: &mut MemoryPool, mut size: u64, step: u64) -> u64 {
    while pool.resize(Bytes(size), Bytes(size + step)) {
        size += step;
    }
    size
}

/// Guards against one response that takes the memory of all.
#[test]
fn one_buffer_leaves_half_of_the_limit() {
    let mut pool = MemoryPool::new(LIMIT);
    assert_eq!(grow(&mut pool, 0, 1_000), LIMIT.0 / 2);
}

/// Guards against small responses that fail because large ones never end.
#[test]
fn a_small_buffer_fits_beside_many_that_grow_without_end() {
    let mut pool = MemoryPool::new(LIMIT);
    let mut sizes = [0; 300];
    for _ in 0..1_000 {
        for size in &mut sizes {
            if pool.resize(Bytes(*size), Bytes(*size + 1_000)) {
                *size += 1_000;
            }
        }
    }
    assert!(pool.used() < LIMIT);
    assert!(pool.resize(Bytes(0), Bytes(4_096)));
}

#[test]
fn a_buffer_that_shrinks_makes_room() {
    let mut pool = MemoryPool::new(Bytes(100));
    assert!(pool.resize(Bytes(0), Bytes(50)));
    assert!(!pool.resize(Bytes(0), Bytes(30)));
    assert!(pool.resize(Bytes(50), Bytes(20)));
    assert!(pool.resize(Bytes(0), Bytes(30)));
    assert!(pool.resize(Bytes(20), Bytes(0)));
    assert_eq!(pool.used(), Bytes(30));
}

proptest! {
    /// The buffers never hold more than the limit, and what is in use is what they hold.
    #[test]
    fn the_limit_holds_in_any_order(
        steps in prop::collection::vec((0_usize..8, 0_u64..400), 1..200),
    ) {
        let mut pool = MemoryPool::new(Bytes(1_000));
        let mut sizes = [0; 8];
        for (buffer, size) in steps {
            if pool.resize(Bytes(sizes[buffer]), Bytes(size)) {
                sizes[buffer] = size;
            }
            let total: u64 = sizes.iter().sum();
            prop_assert_eq!(pool.used(), Bytes(total));
            prop_assert!(total <= 1_000);
        }
    }
}
