//! Formats the results as a table of medians over the seeds and their ratios to `fifo`.

use std::fmt::Write;

use crate::policy_result::{GOALS, RunMetrics, median, to_f64};

struct MetricWithoutGoal {
    name: &'static str,
    get: fn(&RunMetrics) -> f64,
}

const METRICS_WITHOUT_GOAL: &[MetricWithoutGoal] = &[
    MetricWithoutGoal {
        name: "never reused GB s",
        get: |f| f.never_reused_gb_s,
    },
    MetricWithoutGoal {
        name: "prompt tokens",
        get: |f| f.prompt_tokens,
    },
    MetricWithoutGoal {
        name: "plain mean",
        get: |f| f.plain_mean_s,
    },
    MetricWithoutGoal {
        name: "plain last p99",
        get: |f| f.plain_last_p99_s,
    },
    MetricWithoutGoal {
        name: "programs",
        get: |f| to_f64(f.programs),
    },
    MetricWithoutGoal {
        name: "failed programs",
        get: |f| to_f64(f.failed),
    },
    MetricWithoutGoal {
        name: "refused calls",
        get: |f| to_f64(f.refused),
    },
    MetricWithoutGoal {
        name: "retried calls",
        get: |f| to_f64(f.retries),
    },
    MetricWithoutGoal {
        name: "moved prefixes",
        get: |f| to_f64(f.moved),
    },
];

/// Returns the median of a metric over the runs of a policy.
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

/// Returns the policies of the results, which must be grouped by policy.
#[must_use]
pub fn policies_of(results: &[RunMetrics]) -> Vec<&str> {
    let mut policies: Vec<&str> = results.iter().map(|f| f.policy.as_str()).collect();
    policies.dedup();
    policies
}

/// Formats the table; a `+` marks a ratio that meets its goal, a `-` one that doesn't.
#[must_use]
pub fn format_table(results: &[RunMetrics]) -> String {
    let policies = policies_of(results);
    let mut text = format!("{:<20}", "median over seeds");
    for policy in &policies {
        push_text(&mut text, &format!("{policy:>24}"));
    }
    for goal in GOALS {
        push_text(&mut text, &format!("\n{:<20}", goal.name));
        let fifo = median_of(results, "fifo", goal.get);
        for policy in &policies {
            let value = median_of(results, policy, goal.get);
            let ratio = if fifo > 0.0 { value / fifo } else { f64::NAN };
            let met = if goal.is_met(ratio) { '+' } else { '-' };
            push_text(&mut text, &format!("{value:>14.3} ({ratio:>6.3}{met})"));
        }
    }
    for other in METRICS_WITHOUT_GOAL {
        push_text(&mut text, &format!("\n{:<20}", other.name));
        for policy in &policies {
            let value = median_of(results, policy, other.get);
            push_text(&mut text, &format!("{value:>14.3}          "));
        }
    }
    text
}

fn push_text(text: &mut String, part: &str) {
    // Writing to a string never fails.
    let _ = text.write_str(part);
}
