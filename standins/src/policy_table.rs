//! The table of the policy tool: medians over the seeds, and their ratios to `fifo`.

use std::fmt::Write;

use crate::policy_result::{GOALS, RunMetrics, median, to_f64};

/// A figure without a goal.
struct Other {
    name: &'static str,
    get: fn(&RunMetrics) -> f64,
}

const OTHERS: &[Other] = &[
    Other {
        name: "never reused GB s",
        get: |f| f.never_reused_gb_s,
    },
    Other {
        name: "prompt tokens",
        get: |f| f.prompt_tokens,
    },
    Other {
        name: "plain mean",
        get: |f| f.plain_mean_s,
    },
    Other {
        name: "plain last p99",
        get: |f| f.plain_last_p99_s,
    },
    Other {
        name: "programs",
        get: |f| to_f64(f.programs),
    },
    Other {
        name: "failed programs",
        get: |f| to_f64(f.failed),
    },
    Other {
        name: "refused calls",
        get: |f| to_f64(f.refused),
    },
    Other {
        name: "retried calls",
        get: |f| to_f64(f.retries),
    },
    Other {
        name: "moved prefixes",
        get: |f| to_f64(f.moved),
    },
];

/// The median of one figure over the seeds of a policy.
#[must_use]
pub fn median_of(results: &[RunMetrics], policy: &str, get: fn(&RunMetrics) -> f64) -> f64 {
    median(
        results
            .iter()
            .filter(|f| f.policy == policy)
            .map(get)
            .collect(),
    )
}

/// The policies of the results, in their order.
#[must_use]
pub fn policies_of(results: &[RunMetrics]) -> Vec<&str> {
    let mut policies: Vec<&str> = results.iter().map(|f| f.policy.as_str()).collect();
    policies.dedup();
    policies
}

/// The table: a `+` stands where the ratio reaches its goal.
#[must_use]
pub fn format_table(results: &[RunMetrics]) -> String {
    let policies = policies_of(results);
    let mut text = format!("{:<20}", "median over seeds");
    for policy in &policies {
        put(&mut text, &format!("{policy:>24}"));
    }
    for goal in GOALS {
        put(&mut text, &format!("\n{:<20}", goal.name));
        let fifo = median_of(results, "fifo", goal.get);
        for policy in &policies {
            let value = median_of(results, policy, goal.get);
            let ratio = if fifo > 0.0 { value / fifo } else { f64::NAN };
            let met = if goal.is_met(ratio) { '+' } else { '-' };
            put(&mut text, &format!("{value:>14.3} ({ratio:>6.3}{met})"));
        }
    }
    for other in OTHERS {
        put(&mut text, &format!("\n{:<20}", other.name));
        for policy in &policies {
            let value = median_of(results, policy, other.get);
            put(&mut text, &format!("{value:>14.3}          "));
        }
    }
    text
}

fn put(text: &mut String, more: &str) {
    // Writing to a string can't fail.
    let _ = text.write_str(more);
}
