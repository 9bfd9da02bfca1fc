//! Sets ways of predicting an output's size against each other, by the waste of the memory that is
//! set aside: what was set aside and not used, and all of each try that was too small.
//!
//! Quantized and k-means bucketing are the strategies of section V of the related paper on
//! info-aware allocation for dynamic workflows; its waste is the measure here, and its datasets are
//! the model of these. The first tasks are set aside the maximum, as there.

use clementinepick::predict::Histogram;
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// The most that an output may take.
const MAX: u64 = 2_000;
/// Outputs of one dataset.
const COUNT: u64 = 2_000;
/// Outputs that are set aside the maximum, before anything is known.
const FIRST: usize = 10;
/// The most past outputs that the bucketing strategies look at.
const WINDOW: usize = 400;

/// Draws one output at a place of the dataset, from 0 to 1.
type Draw = fn(&mut ChaCha12Rng, f64) -> Output;

/// One output: its class and its size.
type Output = (usize, u64);

fn unit(rng: &mut ChaCha12Rng) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are bounded"
)]
fn size(value: f64) -> u64 {
    value.clamp(1.0, 2_000.0) as u64
}

/// Near `mean`: the sum of four uniform draws, spread by `width`.
fn around(rng: &mut ChaCha12Rng, mean: f64, width: f64) -> u64 {
    let sum: f64 = (0..4).map(|_| unit(rng) - 0.5).sum();
    size(mean + sum * width)
}

fn bimodal(rng: &mut ChaCha12Rng, _at: f64) -> Output {
    if unit(rng) < 0.6 {
        (0, around(rng, 150.0, 60.0))
    } else {
        (1, around(rng, 900.0, 240.0))
    }
}

fn exponential(rng: &mut ChaCha12Rng, _at: f64) -> Output {
    (0, size(-(1.0 - unit(rng) * 0.999_9).ln() * 250.0))
}

fn drifting(rng: &mut ChaCha12Rng, at: f64) -> Output {
    (0, around(rng, 200.0 + 700.0 * at, 150.0))
}

/// A strategy: the sizes to try, smallest first, from the outputs completed so far.
type Strategy = fn(&[u64]) -> Vec<u64>;

fn fixed(_past: &[u64]) -> Vec<u64> {
    Vec::new()
}

fn quantile(past: &[u64]) -> Vec<u64> {
    let mut histogram = Histogram::default();
    for size in past {
        histogram.add(*size);
    }
    histogram.quantile(90).into_iter().collect()
}

fn average(past: &[u64]) -> Vec<u64> {
    // An eighth of each new size, and half as much again for the spread.
    let mean = past
        .iter()
        .fold(past[0], |mean, size| (mean * 7 + size) / 8);
    vec![mean + mean / 2]
}

fn quantized(past: &[u64], buckets: usize) -> Vec<u64> {
    let mut sorted = past[past.len().saturating_sub(WINDOW)..].to_vec();
    sorted.sort_unstable();
    (1..=buckets)
        .map(|n| sorted[(sorted.len() * n).div_ceil(buckets) - 1])
        .collect()
}

fn k_means(past: &[u64], buckets: usize) -> Vec<u64> {
    let mut sorted = past[past.len().saturating_sub(WINDOW)..].to_vec();
    sorted.sort_unstable();
    let mut ends: Vec<usize> = (1..=buckets).map(|n| sorted.len() * n / buckets).collect();
    for _ in 0..20 {
        let starts = std::iter::once(0).chain(ends.iter().copied());
        let parts = starts
            .zip(&ends)
            .map(|(from, to)| &sorted[from.min(*to)..*to]);
        let means: Vec<u64> = parts
            .map(|part| part.iter().sum::<u64>() / (part.len() as u64).max(1))
            .collect();
        for n in 0..buckets - 1 {
            let middle = u64::midpoint(means[n], means[n + 1]);
            ends[n] = sorted.partition_point(|size| *size <= middle).max(1);
        }
    }
    ends.iter().map(|end| sorted[end - 1]).collect()
}

const STRATEGIES: &[(&str, Strategy)] = &[
    ("fixed maximum", fixed),
    ("quantile of 90%", quantile),
    ("exponential average", average),
    ("quantized, 1 bucket", |past| quantized(past, 1)),
    ("quantized, 2 buckets", |past| quantized(past, 2)),
    ("k-means, 2 buckets", |past| k_means(past, 2)),
];

/// The waste over one dataset, and the tries that were too small.
fn waste(strategy: Strategy, outputs: &[Output], is_class_known: bool) -> (u64, u64) {
    let mut past: [Vec<u64>; 2] = [Vec::new(), Vec::new()];
    let (mut waste, mut failed) = (0, 0);
    for (class, size) in outputs {
        let known = &mut past[if is_class_known { *class } else { 0 }];
        let tries = if known.len() < FIRST {
            Vec::new()
        } else {
            strategy(known)
        };
        let tries = tries.into_iter().map(|size| size.min(MAX)).chain([MAX]);
        for aside in tries {
            if aside >= *size {
                waste += aside - size;
                break;
            }
            waste += aside;
            failed += 1;
        }
        known.push(*size);
    }
    (waste, failed)
}

fn main() {
    let datasets: [(&str, Draw); 3] = [
        ("bimodal", bimodal),
        ("exponential", exponential),
        ("drifting", drifting),
    ];
    println!("waste over that of the fixed maximum, and tries that were too small");
    for (title, draw) in datasets {
        let mut rng = ChaCha12Rng::seed_from_u64(1);
        let at = |n: u64| f64::from(u32::try_from(n).unwrap_or(0)) / 2_000.0;
        let outputs: Vec<Output> = (0..COUNT).map(|n| draw(&mut rng, at(n))).collect();
        let (whole, _) = waste(fixed, &outputs, false);
        for (name, strategy) in STRATEGIES {
            let cell = |known: bool| {
                let (waste, failed) = waste(*strategy, &outputs, known);
                format!("{:>4} per mille, {failed:>4} failed", waste * 1_000 / whole)
            };
            println!(
                "{title:<12} {name:<21} {}   class known: {}",
                cell(false),
                cell(true)
            );
        }
    }
}
