//! Generates the programs of a run from a workload mix.
//!
//! Each program's plan is sampled before the run, so that all policies run the same programs. The
//! policies see only the calls that a program has issued.

use clementinepick::document::Document;
use clementinepick::ids::{ClassName, ProgramId, ToolName};
use clementinepick::units::{SpanUs, TimeUs, Tokens};
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::policy_sampling::{LogNormal, Pareto, exponential_us, uniform};

/// A tool that programs of a class call between turns.
#[derive(Debug, Clone)]
pub struct ToolProfile {
    pub name: &'static str,
    /// The relative frequency among the tools of the class.
    pub weight: f64,
    /// The duration of a call.
    pub pause_s: LogNormal,
    /// The probability that a call hangs until its timeout.
    pub hang_probability: f64,
    /// The timeout of a call.
    pub timeout_s: f64,
}

/// The behavior of the programs of a class.
#[derive(Debug, Clone)]
pub struct ClassProfile {
    pub name: &'static str,
    /// The share of all programs, between 0 and 1.
    pub share: f64,
    /// The size of the system prompt, which all programs of the class share.
    pub system_tokens: u64,
    /// The number of user messages; each starts several turns.
    pub messages: Pareto,
    /// The number of turns per message.
    pub turns: Pareto,
    /// The tokens that a message or a tool's result adds to the prompt.
    pub input_tokens: LogNormal,
    /// The tokens that a turn generates.
    pub output_tokens: LogNormal,
    pub tools: Vec<ToolProfile>,
    /// The user's think time between messages, which does not count as latency of the program.
    pub think_time_s: LogNormal,
    /// The probability that the user leaves after the last message without ending the program.
    pub abandon_probability: f64,
    /// The probability that a program starts sub-agents, which it does at most once.
    pub fork_probability: f64,
    /// The probability that a program loops until its limit of turns.
    pub loop_probability: f64,
}

/// A stream of calls of the plain service; each call is a program of its own.
#[derive(Debug, Clone)]
pub struct PlainProfile {
    pub name: &'static str,
    /// The share of the plain service's load, between 0 and 1.
    pub work_share: f64,
    /// The service time of a call.
    pub service_s: LogNormal,
}

/// The workload of one customer.
#[derive(Debug, Clone)]
pub struct Mix {
    pub name: &'static str,
    /// The number of engines.
    pub engines: u32,
    /// The number of backend servers of the plain service.
    pub plain_servers: u32,
    /// The configuration document of the engines' service.
    pub engine_document: Document,
    /// The configuration document of the plain service.
    pub plain_document: Document,
    /// The class of the engines' service with the best rank.
    pub first_class: &'static str,
    /// The class of the engines' service with the worst rank.
    pub last_class: &'static str,
    /// The class of the plain service with the best rank.
    pub urgent_class: &'static str,
    /// The classes of the engines' service.
    pub classes: Vec<ClassProfile>,
    /// The classes of the plain service, by rank.
    pub plain: Vec<PlainProfile>,
}

/// The action of a program after a turn.
#[derive(Debug, Clone, PartialEq)]
pub enum AfterTurn {
    /// Calls a tool and continues with the next turn.
    Tool {
        tool: ToolName,
        /// The duration of the tool call.
        pause_us: SpanUs,
    },
    /// Waits for the next user message, which does not count as latency of the program.
    WaitForUser {
        /// The user's think time.
        pause_us: SpanUs,
    },
    /// Starts sub-agents that share the prompt, and continues when all of them have ended.
    Fork(Vec<Vec<Turn>>),
    /// Ends the program by an explicit request.
    End,
    /// Leaves the program without ending it.
    Abandoned,
}

/// One turn of a program.
#[derive(Debug, Clone, PartialEq)]
pub struct Turn {
    /// The tokens added to the prompt, without the last response.
    pub input_tokens: Tokens,
    /// The tokens that the engine generates.
    pub output_tokens: Tokens,
    /// The action after the turn.
    pub after: AfterTurn,
}

/// The work of a program.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// Turns of a model engine.
    Turns {
        /// The size of the system prompt, which the class shares.
        system_tokens: Tokens,
        turns: Vec<Turn>,
    },
    /// A call of the plain service.
    Plain {
        /// The service time.
        service_us: SpanUs,
    },
}

/// The plan of one program.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub program: ProgramId,
    pub class: ClassName,
    /// The time of its first call.
    pub arrives_us: TimeUs,
    pub work: Work,
}

const MAX_TURNS: usize = 120;
/// The number of turns of a looping program.
const LOOP_TURNS: usize = 40;
const SUB_AGENT_COUNT_RANGE: (f64, f64) = (2.0, 4.0);
const SUB_AGENT_TURN_RANGE: (f64, f64) = (1.0, 6.0);

/// Samples the turns of programs of one class of the engines' service.
struct PlanSampler<'a> {
    rng: &'a mut ChaCha12Rng,
    profile: &'a ClassProfile,
}

impl PlanSampler<'_> {
    fn sample_turn(&mut self, after: AfterTurn) -> Turn {
        Turn {
            input_tokens: Tokens(self.profile.input_tokens.draw_count(self.rng)),
            output_tokens: Tokens(self.profile.output_tokens.draw_count(self.rng)),
            after,
        }
    }

    fn sample_tool(&mut self) -> AfterTurn {
        let total_weight: f64 = self.profile.tools.iter().map(|tool| tool.weight).sum();
        let mut remaining_weight = uniform(self.rng) * total_weight;
        let mut chosen = &self.profile.tools[0];
        for tool in &self.profile.tools {
            chosen = tool;
            remaining_weight -= tool.weight;
            if remaining_weight <= 0.0 {
                break;
            }
        }
        let hangs = uniform(self.rng) < chosen.hang_probability;
        let pause_s = chosen.pause_s.draw(self.rng).min(chosen.timeout_s);
        AfterTurn::Tool {
            tool: parse_name(chosen.name),
            pause_us: span_from_s(if hangs { chosen.timeout_s } else { pause_s }),
        }
    }

    fn sample_between(&mut self, (min, max): (f64, f64)) -> usize {
        count_from_draw((min + uniform(self.rng) * (max - min)).round())
    }

    fn sample_sub_agents(&mut self) -> AfterTurn {
        let agent_count = self.sample_between(SUB_AGENT_COUNT_RANGE);
        let sample_agent = |sampler: &mut Self| {
            let turn_count = sampler.sample_between(SUB_AGENT_TURN_RANGE);
            let mut turns: Vec<Turn> = Vec::new();
            for index in 0..turn_count {
                let after = if index + 1 == turn_count {
                    AfterTurn::End
                } else {
                    sampler.sample_tool()
                };
                turns.push(sampler.sample_turn(after));
            }
            turns
        };
        AfterTurn::Fork((0..agent_count).map(|_| sample_agent(self)).collect())
    }

    fn sample_turns(&mut self) -> Vec<Turn> {
        let loops = uniform(self.rng) < self.profile.loop_probability;
        let forks = uniform(self.rng) < self.profile.fork_probability;
        let messages = if loops {
            1
        } else {
            count_from_draw(self.profile.messages.draw(self.rng))
        };
        let mut turns = Vec::new();
        for message in 0..messages {
            let turn_count = if loops {
                LOOP_TURNS
            } else {
                count_from_draw(self.profile.turns.draw(self.rng))
            };
            for index in 0..turn_count {
                let is_last_turn = index + 1 == turn_count;
                let after = match (is_last_turn, message + 1 == messages) {
                    (false, _) if forks && message == 0 && index == turn_count / 2 => {
                        self.sample_sub_agents()
                    }
                    (false, _) => self.sample_tool(),
                    (true, false) => AfterTurn::WaitForUser {
                        pause_us: span_from_s(self.profile.think_time_s.draw(self.rng)),
                    },
                    (true, true) if uniform(self.rng) < self.profile.abandon_probability => {
                        AfterTurn::Abandoned
                    }
                    (true, true) => AfterTurn::End,
                };
                turns.push(self.sample_turn(after));
            }
            if turns.len() >= MAX_TURNS {
                break;
            }
        }
        turns.truncate(MAX_TURNS);
        if let Some(last) = turns.last_mut()
            && last.after != AfterTurn::Abandoned
        {
            last.after = AfterTurn::End;
        }
        turns
    }
}

/// Samples the programs of the engines' service that arrive until `until_us`.
#[must_use]
pub fn engine_plans(mix: &Mix, seed: u64, programs_per_s: f64, until_us: TimeUs) -> Vec<Plan> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let mut plans = Vec::new();
    let mut arrival_us = TimeUs(0);
    loop {
        arrival_us = arrival_us.after(exponential_us(&mut rng, programs_per_s));
        if arrival_us > until_us {
            return plans;
        }
        // A generator per program keeps the other programs the same when one class changes.
        let mut program_rng = ChaCha12Rng::seed_from_u64(seed ^ (plans.len() as u64 + 1) << 20);
        let profile = choose_class(&mix.classes, uniform(&mut program_rng));
        let turns = PlanSampler {
            rng: &mut program_rng,
            profile,
        }
        .sample_turns();
        plans.push(Plan {
            program: parse_name(&format!("{}-{}", profile.name, plans.len())),
            class: parse_name(profile.name),
            arrives_us: arrival_us,
            work: Work::Turns {
                system_tokens: Tokens(profile.system_tokens),
                turns,
            },
        });
    }
}

/// Samples the calls of the plain service that arrive until `until_us`, at a rate that puts its
/// servers under the given load (1 is their capacity).
#[must_use]
pub fn plain_plans(mix: &Mix, seed: u64, load: f64, until_us: TimeUs) -> Vec<Plan> {
    let slots = f64::from(mix.plain_servers * mix.plain_document.max_running_per_backend);
    let mut plans = Vec::new();
    for (index, profile) in mix.plain.iter().enumerate() {
        let mut rng = ChaCha12Rng::seed_from_u64(seed ^ (index as u64 + 1) << 50);
        let calls_per_s = load * slots * profile.work_share / profile.service_s.mean();
        let mut arrival_us = TimeUs(0).after(exponential_us(&mut rng, calls_per_s));
        let mut number = 0_u64;
        while arrival_us <= until_us {
            number += 1;
            plans.push(Plan {
                program: parse_name(&format!("{}-{number}", profile.name)),
                class: parse_name(profile.name),
                arrives_us: arrival_us,
                work: Work::Plain {
                    service_us: span_from_s(profile.service_s.draw(&mut rng)),
                },
            });
            arrival_us = arrival_us.after(exponential_us(&mut rng, calls_per_s));
        }
    }
    plans
}

fn choose_class(classes: &[ClassProfile], mut remaining_share: f64) -> &ClassProfile {
    for class in classes {
        remaining_share -= class.share;
        if remaining_share <= 0.0 {
            return class;
        }
    }
    &classes[classes.len() - 1]
}

/// Parses a name that is known to be valid.
pub(crate) fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    let Ok(name) = text.parse() else {
        unreachable!("built-in names must be valid: {text}")
    };
    name
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "draws are small and positive"
)]
fn span_from_s(seconds: f64) -> SpanUs {
    SpanUs((seconds * 1e6) as u64)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "draws are small and positive"
)]
fn count_from_draw(drawn: f64) -> usize {
    drawn.max(1.0) as usize
}
