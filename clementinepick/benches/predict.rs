//! Compares strategies for predicting the size of an output by the memory that they waste.
//!
//! Waste is the unused part of a sufficient reservation plus the whole of each one that was too
//! small. The measure, the datasets and the quantized and k-means bucketing follow section V of the
//! related paper on info-aware allocation for dynamic workflows; as there, the first outputs reserve
//! the maximum.

use clementinepick::predict::Histogram;
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// The maximum size of an output.
const MAX_SIZE: u64 = 2_000;
/// The number of outputs in a dataset.
const OUTPUT_COUNT: u64 = 2_000;
/// The number of past outputs below which the maximum is reserved.
const MIN_HISTORY: usize = 10;
/// The number of latest outputs that the bucketing strategies use.
const BUCKETING_WINDOW: usize = 400;

/// Draws an output at a relative position in the dataset, from 0 to 1.
type Draw = fn(&mut ChaCha12Rng, f64) -> Output;

/// The class and the size of an output.
type Output = (usize, u64);

fn draw_unit(rng: &mut ChaCha12Rng) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are bounded"
)]
fn clamp_size(value: f64) -> u64 {
    value.clamp(1.0, 2_000.0) as u64
}

/// Draws a size near `mean`, spread by `width`: an approximate normal distribution from the sum of
/// four uniform draws.
fn draw_around(rng: &mut ChaCha12Rng, mean: f64, width: f64) -> u64 {
    let sum: f64 = (0..4).map(|_| draw_unit(rng) - 0.5).sum();
    clamp_size(mean + sum * width)
}

fn bimodal(rng: &mut ChaCha12Rng, _at: f64) -> Output {
    if draw_unit(rng) < 0.6 {
        (0, draw_around(rng, 150.0, 60.0))
    } else {
        (1, draw_around(rng, 900.0, 240.0))
    }
}

fn exponential(rng: &mut ChaCha12Rng, _at: f64) -> Output {
    (
        0,
        clamp_size(-(1.0 - draw_unit(rng) * 0.999_9).ln() * 250.0),
    )
}

fn drifting(rng: &mut ChaCha12Rng, position: f64) -> Output {
    (0, draw_around(rng, 200.0 + 700.0 * position, 150.0))
}

/// Returns the sizes to reserve one after the other, smallest first, given the sizes of past outputs.
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
    // A moving average with weight 1/8, plus half of it as a margin for the spread.
    let mean = past
        .iter()
        .fold(past[0], |mean, size| (mean * 7 + size) / 8);
    vec![mean + mean / 2]
}

fn quantized(past: &[u64], buckets: usize) -> Vec<u64> {
    let mut sorted = past[past.len().saturating_sub(BUCKETING_WINDOW)..].to_vec();
    sorted.sort_unstable();
    (1..=buckets)
        .map(|n| sorted[(sorted.len() * n).div_ceil(buckets) - 1])
        .collect()
}

fn k_means(past: &[u64], buckets: usize) -> Vec<u64> {
    let mut sorted = past[past.len().saturating_sub(BUCKETING_WINDOW)..].to_vec();
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

/// Returns the waste over a dataset and the number of reservations that were too small.
fn measure_waste(strategy: Strategy, outputs: &[Output], is_class_known: bool) -> (u64, u64) {
    let mut past: [Vec<u64>; 2] = [Vec::new(), Vec::new()];
    let (mut waste, mut failed) = (0, 0);
    for (class, size) in outputs {
        let history = &mut past[if is_class_known { *class } else { 0 }];
        let reservations = if history.len() < MIN_HISTORY {
            Vec::new()
        } else {
            strategy(history)
        };
        let reservations = reservations
            .into_iter()
            .map(|size| size.min(MAX_SIZE))
            .chain([MAX_SIZE]);
        for reserved in reservations {
            if reserved >= *size {
                waste += reserved - size;
                break;
            }
            waste += reserved;
            failed += 1;
        }
        history.push(*size);
    }
    (waste, failed)
}

fn main() {
    let datasets: [(&str, Draw); 3] = [
        ("bimodal", bimodal),
        ("exponential", exponential),
        ("drifting", drifting),
    ];
    println!("waste over that of the fixed maximum, and reservations that were too small");
    for (title, draw) in datasets {
        let mut rng = ChaCha12Rng::seed_from_u64(1);
        let position = |n: u64| f64::from(u32::try_from(n).unwrap_or(0)) / 2_000.0;
        let outputs: Vec<Output> = (0..OUTPUT_COUNT)
            .map(|n| draw(&mut rng, position(n)))
            .collect();
        let (fixed_waste, _) = measure_waste(fixed, &outputs, false);
        for (name, strategy) in STRATEGIES {
            let format_cell = |is_class_known: bool| {
                let (waste, failed) = measure_waste(*strategy, &outputs, is_class_known);
                format!(
                    "{:>4} per mille, {failed:>4} failed",
                    waste * 1_000 / fixed_waste
                )
            };
            println!(
                "{title:<12} {name:<21} {}   class known: {}",
                format_cell(false),
                format_cell(true)
            );
        }
    }
}
