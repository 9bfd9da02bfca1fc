//! The two mixes of programs that the policy tool drives, at the users' sizes of today.
//!
//! A plan holds everything that a program will do, drawn before the run, so that each policy meets
//! the same programs. Only the plan knows; the policies see calls as they come.

use clementinepick::document::Document;
use clementinepick::ids::{ClassName, ProgramId, ToolName};
use clementinepick::units::{SpanUs, TimeUs, Tokens};
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::policy_sampling::{LogNormal, Pareto, exponential_us, uniform};

/// One tool that programs of a class call between turns.
#[derive(Debug, Clone)]
pub struct ToolProfile {
    /// The tool.
    pub name: &'static str,
    /// How often it is chosen, against the other tools of its class.
    pub weight: f64,
    /// The pause, in seconds.
    pub pause_s: LogNormal,
    /// The share of calls that hang until the program gives the tool up.
    pub hang_probability: f64,
    /// When the program gives the tool up.
    pub timeout_s: f64,
}

/// How programs of one class behave.
#[derive(Debug, Clone)]
pub struct ClassProfile {
    /// The class.
    pub name: &'static str,
    /// The share of the programs.
    pub share: f64,
    /// The prompt that all its programs begin with.
    pub system_tokens: u64,
    /// Messages of a person, each of which starts a run of turns.
    pub messages: Pareto,
    /// Turns that one message takes.
    pub turns: Pareto,
    /// Tokens that a message or a tool's answer adds.
    pub input_tokens: LogNormal,
    /// Tokens that a turn generates.
    pub output_tokens: LogNormal,
    /// The tools.
    pub tools: Vec<ToolProfile>,
    /// The pause of the person between messages, in seconds; it is no latency of the program.
    pub think_time_s: LogNormal,
    /// The chance that the person does not come back after a message, and nobody ends the program.
    pub abandon_probability: f64,
    /// The chance that a program hands work to sub-agents, once.
    pub fork_probability: f64,
    /// The chance that a program repeats itself until its limit of turns.
    pub loop_probability: f64,
}

/// A stream of calls of the plain service, each a program of its own.
#[derive(Debug, Clone)]
pub struct PlainProfile {
    /// The class.
    pub name: &'static str,
    /// The share of the plain service's work that it makes.
    pub work_share: f64,
    /// The time that one call takes, in seconds.
    pub service_s: LogNormal,
}

/// One customer's workload.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Its name.
    pub name: &'static str,
    /// The count of engines.
    pub engines: u32,
    /// The count of backend servers of the plain service.
    pub plain_servers: u32,
    /// The document of the engines' service.
    pub engine_document: Document,
    /// The document of the plain service.
    pub plain_document: Document,
    /// The class put first.
    pub first_class: &'static str,
    /// The class that goes last.
    pub last_class: &'static str,
    /// The urgent class of the plain service.
    pub urgent_class: &'static str,
    /// The classes of the engines' service.
    pub classes: Vec<ClassProfile>,
    /// The streams of the plain service.
    pub plain: Vec<PlainProfile>,
}

/// What a program does after a turn.
#[derive(Debug, Clone, PartialEq)]
pub enum AfterTurn {
    /// It calls a tool and goes on.
    Tool {
        /// The tool.
        tool: ToolName,
        /// How long the tool takes.
        pause_us: SpanUs,
    },
    /// It waits for its person, which is no latency of the program.
    WaitForUser {
        /// How long the person takes.
        pause_us: SpanUs,
    },
    /// It hands work to sub-agents that share its prompt, and goes on when all have ended.
    Fork(Vec<Vec<Turn>>),
    /// It ends, and says so.
    End,
    /// Its person never comes back, and nobody says so.
    Abandoned,
}

/// One turn of a program.
#[derive(Debug, Clone, PartialEq)]
pub struct Turn {
    /// Tokens that are new in the prompt, beside the last answer.
    pub input_tokens: Tokens,
    /// Tokens that the engine generates.
    pub output_tokens: Tokens,
    /// What follows.
    pub after: AfterTurn,
}

/// What a program does.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// Turns of a model engine after a prompt that its class shares.
    Turns {
        /// The shared prompt.
        system_tokens: Tokens,
        /// The turns.
        turns: Vec<Turn>,
    },
    /// One call of the plain service.
    Plain {
        /// How long a backend server takes for it.
        service_us: SpanUs,
    },
}

/// One program.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its name.
    pub program: ProgramId,
    /// Its class.
    pub class: ClassName,
    /// When it issues its first call.
    pub arrives_us: TimeUs,
    /// What it does.
    pub work: Work,
}

/// The most turns of a program.
const MAX_TURNS: usize = 120;
/// Turns of a program that repeats itself.
const LOOP_TURNS: usize = 40;
/// Sub-agents of one hand-over, at least and at most.
const SUB_AGENTS: (f64, f64) = (2.0, 4.0);
/// Turns of a sub-agent, at least and at most.
const SUB_AGENT_TURNS: (f64, f64) = (1.0, 6.0);

/// Draws programs of one class of the engines' service.
struct Drawer<'a> {
    rng: &'a mut ChaCha12Rng,
    shape: &'a ClassProfile,
}

impl Drawer<'_> {
    fn turn(&mut self, after: AfterTurn) -> Turn {
        Turn {
            input_tokens: Tokens(self.shape.input_tokens.draw_count(self.rng)),
            output_tokens: Tokens(self.shape.output_tokens.draw_count(self.rng)),
            after,
        }
    }

    fn tool(&mut self) -> AfterTurn {
        let whole: f64 = self.shape.tools.iter().map(|tool| tool.weight).sum();
        let mut at = uniform(self.rng) * whole;
        let mut chosen = &self.shape.tools[0];
        for tool in &self.shape.tools {
            chosen = tool;
            at -= tool.weight;
            if at <= 0.0 {
                break;
            }
        }
        let hangs = uniform(self.rng) < chosen.hang_probability;
        let pause_s = chosen.pause_s.draw(self.rng).min(chosen.timeout_s);
        AfterTurn::Tool {
            tool: parse_name(chosen.name),
            pause_us: span(if hangs { chosen.timeout_s } else { pause_s }),
        }
    }

    fn between(&mut self, (least, most): (f64, f64)) -> usize {
        count((least + uniform(self.rng) * (most - least)).round())
    }

    fn sub_agents(&mut self) -> AfterTurn {
        let agents = self.between(SUB_AGENTS);
        let one = |drawer: &mut Self| {
            let turns = drawer.between(SUB_AGENT_TURNS);
            let mut list: Vec<Turn> = Vec::new();
            for at in 0..turns {
                let after = if at + 1 == turns {
                    AfterTurn::End
                } else {
                    drawer.tool()
                };
                list.push(drawer.turn(after));
            }
            list
        };
        AfterTurn::Fork((0..agents).map(|_| one(self)).collect())
    }

    fn turns(&mut self) -> Vec<Turn> {
        let loops = uniform(self.rng) < self.shape.loop_probability;
        let forks = uniform(self.rng) < self.shape.fork_probability;
        let messages = if loops {
            1
        } else {
            count(self.shape.messages.draw(self.rng))
        };
        let mut turns = Vec::new();
        for message in 0..messages {
            let run = if loops {
                LOOP_TURNS
            } else {
                count(self.shape.turns.draw(self.rng))
            };
            for at in 0..run {
                let last = at + 1 == run;
                let after = match (last, message + 1 == messages) {
                    (false, _) if forks && message == 0 && at == run / 2 => self.sub_agents(),
                    (false, _) => self.tool(),
                    (true, false) => AfterTurn::WaitForUser {
                        pause_us: span(self.shape.think_time_s.draw(self.rng)),
                    },
                    (true, true) if uniform(self.rng) < self.shape.abandon_probability => {
                        AfterTurn::Abandoned
                    }
                    (true, true) => AfterTurn::End,
                };
                turns.push(self.turn(after));
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

/// Draws the engines' programs that arrive at `programs_per_s` until `until_us`.
#[must_use]
pub fn engine_plans(mix: &Mix, seed: u64, programs_per_s: f64, until_us: TimeUs) -> Vec<Plan> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let mut plans = Vec::new();
    let mut at_us = TimeUs(0);
    loop {
        at_us = at_us.after(exponential_us(&mut rng, programs_per_s));
        if at_us > until_us {
            return plans;
        }
        // Each program has its own generator: a change of one class leaves the others as they are.
        let mut own = ChaCha12Rng::seed_from_u64(seed ^ (plans.len() as u64 + 1) << 20);
        let shape = choose(&mix.classes, uniform(&mut own));
        let turns = Drawer {
            rng: &mut own,
            shape,
        }
        .turns();
        plans.push(Plan {
            program: parse_name(&format!("{}-{}", shape.name, plans.len())),
            class: parse_name(shape.name),
            arrives_us: at_us,
            work: Work::Turns {
                system_tokens: Tokens(shape.system_tokens),
                turns,
            },
        });
    }
}

/// Draws the plain service's calls until `until_us`, so that its servers are used to `load`.
#[must_use]
pub fn plain_plans(mix: &Mix, seed: u64, load: f64, until_us: TimeUs) -> Vec<Plan> {
    let slots = f64::from(mix.plain_servers * mix.plain_document.max_running_per_backend);
    let mut plans = Vec::new();
    for (index, shape) in mix.plain.iter().enumerate() {
        let mut rng = ChaCha12Rng::seed_from_u64(seed ^ (index as u64 + 1) << 50);
        let calls_per_s = load * slots * shape.work_share / shape.service_s.mean();
        let mut at_us = TimeUs(0).after(exponential_us(&mut rng, calls_per_s));
        let mut number = 0_u64;
        while at_us <= until_us {
            number += 1;
            plans.push(Plan {
                program: parse_name(&format!("{}-{number}", shape.name)),
                class: parse_name(shape.name),
                arrives_us: at_us,
                work: Work::Plain {
                    service_us: span(shape.service_s.draw(&mut rng)),
                },
            });
            at_us = at_us.after(exponential_us(&mut rng, calls_per_s));
        }
    }
    plans
}

fn choose(classes: &[ClassProfile], mut at: f64) -> &ClassProfile {
    for class in classes {
        at -= class.share;
        if at <= 0.0 {
            return class;
        }
    }
    &classes[classes.len() - 1]
}

/// A name that is known to be well formed.
pub(crate) fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    let Ok(name) = text.parse() else {
        unreachable!("the tool's own names are well formed: {text}")
    };
    name
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "draws are small and positive"
)]
fn span(seconds: f64) -> SpanUs {
    SpanUs((seconds * 1e6) as u64)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "draws are small and positive"
)]
fn count(drawn: f64) -> usize {
    drawn.max(1.0) as usize
}
