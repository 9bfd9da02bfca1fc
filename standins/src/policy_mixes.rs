//! Defines the two workload mixes and the configuration documents that rank their classes.

use clementinepick::document::Document;

use crate::policy_sampling::{LogNormal, Pareto};
use crate::policy_workload::{ClassProfile, Mix, PlainProfile, ToolProfile};

/// Returns the mix of a stargazing booking site: ten engines, and seven backend servers of the
/// booking application.
#[must_use]
pub fn nyiramasuka() -> Mix {
    Mix {
        name: "nyiramasuka",
        engines: 10,
        plain_servers: 7,
        engine_document: document(
            "[service]\nname = agent-llm\nkind = engine\nmax_running_per_backend = 32\n\
             [class concierge]\nrank = 1\nmax_wait = 60 s\n\
             [class itinerary]\nrank = 2\nmax_wait = 120 s\n",
        ),
        plain_document: document(
            "[service]\nname = book-app\nkind = plain\nmax_running_per_backend = 4\n\
             [class seat-hold]\nrank = 0\ndeadline = 10 s\n\
             [class cancellation]\nrank = 1\ndeadline = 30 s\n\
             [class availability]\nrank = 2\ndeadline = 60 s\n",
        ),
        first_class: "concierge",
        last_class: "itinerary",
        urgent_class: "seat-hold",
        classes: vec![conversation("concierge", 0.7), drafting("itinerary", 0.3)],
        plain: plain("seat-hold", "cancellation", "availability"),
    }
}

/// Returns the mix of a trade credit insurer: twelve engines, and five backend servers of the
/// credit limit application.
#[must_use]
pub fn limitworks() -> Mix {
    Mix {
        name: "limitworks",
        engines: 12,
        plain_servers: 5,
        engine_document: document(
            "[service]\nname = agent-models\nkind = engine\nmax_running_per_backend = 32\n\
             [category underwriting]\nshare = 40%\n\
             [class dialogue]\nrank = 1\nweight = 4\ncategory = underwriting\nmax_wait = 60 s\n\
             [class limit-draft]\nrank = 2\nmax_wait = 120 s\n",
        ),
        plain_document: document(
            "[service]\nname = limit-api\nkind = plain\nmax_running_per_backend = 4\n\
             [category status]\nshare = 25%\n\
             [class limit-request]\nrank = 0\ndeadline = 10 s\n\
             [class notice]\nrank = 1\ncategory = status\ndeadline = 30 s\n\
             [class lookup]\nrank = 2\ncategory = status\ndeadline = 60 s\n",
        ),
        first_class: "dialogue",
        last_class: "limit-draft",
        urgent_class: "limit-request",
        classes: vec![
            ClassProfile {
                input_tokens: lognormal(500.0, 0.9, 6_000.0),
                ..conversation("dialogue", 0.45)
            },
            ClassProfile {
                input_tokens: lognormal(1_300.0, 0.9, 12_000.0),
                ..drafting("limit-draft", 0.55)
            },
        ],
        plain: plain("limit-request", "notice", "lookup"),
    }
}

fn document(text: &str) -> Document {
    match Document::parse(text) {
        Ok(document) => document,
        Err(error) => unreachable!("built-in documents must be valid: {error}"),
    }
}

const fn lognormal(median: f64, sigma: f64, upper_bound: f64) -> LogNormal {
    LogNormal {
        median,
        sigma,
        upper_bound,
    }
}

const fn pareto(lower_bound: f64, alpha: f64, upper_bound: f64) -> Pareto {
    Pareto {
        lower_bound,
        alpha,
        upper_bound,
    }
}

fn tool(name: &'static str, weight: f64, pause_s: LogNormal, hang_probability: f64) -> ToolProfile {
    ToolProfile {
        name,
        weight,
        pause_s,
        hang_probability,
        timeout_s: 60.0,
    }
}

fn conversation(name: &'static str, share: f64) -> ClassProfile {
    ClassProfile {
        name,
        share,
        system_tokens: 1_500,
        messages: pareto(1.0, 1.1, 20.0),
        turns: pareto(1.0, 1.3, 8.0),
        input_tokens: lognormal(300.0, 0.9, 4_000.0),
        output_tokens: lognormal(90.0, 0.7, 600.0),
        tools: vec![
            tool("lookup", 0.7, lognormal(0.3, 0.6, 60.0), 0.002),
            tool("booking", 0.3, lognormal(0.8, 0.8, 60.0), 0.005),
        ],
        think_time_s: lognormal(25.0, 0.9, 400.0),
        abandon_probability: 0.4,
        fork_probability: 0.0,
        loop_probability: 0.0,
    }
}

fn drafting(name: &'static str, share: f64) -> ClassProfile {
    ClassProfile {
        name,
        share,
        system_tokens: 3_000,
        messages: pareto(1.0, 3.0, 2.0),
        turns: pareto(4.0, 1.4, 80.0),
        input_tokens: lognormal(1_000.0, 0.9, 12_000.0),
        output_tokens: lognormal(220.0, 0.9, 2_000.0),
        tools: vec![
            tool("lookup", 0.6, lognormal(0.5, 0.7, 60.0), 0.002),
            tool("forecast", 0.35, lognormal(3.0, 0.9, 60.0), 0.01),
            tool("approval", 0.05, lognormal(20.0, 0.8, 60.0), 0.05),
        ],
        think_time_s: lognormal(60.0, 0.8, 600.0),
        abandon_probability: 0.05,
        fork_probability: 0.3,
        loop_probability: 0.02,
    }
}

fn plain(urgent: &'static str, notice: &'static str, lookup: &'static str) -> Vec<PlainProfile> {
    vec![
        PlainProfile {
            name: urgent,
            work_share: 0.15,
            service_s: lognormal(0.03, 0.4, 1.0),
        },
        PlainProfile {
            name: notice,
            work_share: 0.15,
            service_s: lognormal(0.04, 0.5, 1.0),
        },
        PlainProfile {
            name: lookup,
            work_share: 0.7,
            service_s: lognormal(0.12, 1.0, 5.0),
        },
    ]
}
