//! Generates the scripts of the callers' programs from a seed, in the proportions of the users'
//! workloads.

use clementinepick::ids::ToolName;
use clementinepick::units::{SpanUs, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// The approximate length of the instructions that all programs of a kind share.
const INSTRUCTION_CHARS: usize = 1_200;

/// A kind of program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgramKind {
    /// A guest's conversation of several turns; some end with a seat hold.
    Concierge,
    /// A plan with tool calls and sub-agents.
    Itinerary,
    /// Holds, availability checks and cancellations of a lodge.
    Bookings,
}

impl ProgramKind {
    /// Returns the class of the program and of its turns.
    #[must_use]
    pub const fn class(self) -> &'static str {
        match self {
            Self::Concierge => "concierge",
            Self::Itinerary => "drafts",
            Self::Bookings => "holds",
        }
    }

    /// Returns the system message that starts every program of this kind.
    #[must_use]
    pub fn instructions(self) -> String {
        let rule = match self {
            Self::Concierge => "Answer the guest of the lodge kindly and briefly. ",
            Self::Itinerary => "Draft a plan of night-sky visits hour by hour. ",
            Self::Bookings => "Hold seats. ",
        };
        rule.repeat(INSTRUCTION_CHARS / rule.len())
    }
}

/// One step of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A turn of the model engine.
    Turn {
        /// The user message.
        user_text: String,
        /// The length of the answer.
        answer_tokens: Tokens,
        /// The tool that is called after the turn, and its duration.
        tool: Option<(ToolName, SpanUs)>,
    },
    /// A seat hold, which must run exactly once.
    Hold {
        /// The hold's idempotency key.
        id: String,
    },
    /// A cancellation of a hold, which must run exactly once.
    Cancel {
        /// The cancellation's idempotency key.
        id: String,
        /// The id of the cancelled hold.
        hold: String,
    },
    /// An availability check.
    Check {
        /// The telescope slot.
        slot: String,
    },
    /// Sub-agents that run concurrently; the step ends when all of them have ended.
    SubAgents(Vec<Script>),
}

/// The script of one program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The program's id.
    pub program: String,
    /// The program's kind.
    pub kind: ProgramKind,
    /// The steps, run in order.
    pub steps: Vec<Step>,
}

impl Script {
    /// Returns the ids of the script's holds and cancellations, including those of sub-agents.
    #[must_use]
    pub fn run_once_ids(&self) -> Vec<String> {
        let ids = self.steps.iter().flat_map(|step| match step {
            Step::Hold { id } | Step::Cancel { id, .. } => vec![id.clone()],
            Step::SubAgents(scripts) => scripts.iter().flat_map(Self::run_once_ids).collect(),
            Step::Turn { .. } | Step::Check { .. } => Vec::new(),
        });
        ids.collect()
    }
}

/// Generates scripts; the same seed gives the same scripts.
#[derive(Debug)]
pub struct ScriptGenerator {
    name_prefix: String,
    rng: ChaCha12Rng,
    next_number: u64,
}

impl ScriptGenerator {
    /// Returns a generator of programs whose ids begin with `name_prefix`.
    #[must_use]
    pub fn new(name_prefix: &str, seed: u64) -> Self {
        Self {
            name_prefix: name_prefix.to_owned(),
            rng: ChaCha12Rng::seed_from_u64(seed),
            next_number: 0,
        }
    }

    /// Generates the next script.
    pub fn next_script(&mut self) -> Script {
        let number = self.next_number;
        self.next_number += 1;
        // Of 20 programs, 9 are conversations, 4 are plans and 7 are bookings.
        match number * 7 % 20 {
            0..9 => self.concierge(number),
            9..13 => self.itinerary(number),
            _ => self.bookings(number),
        }
    }

    fn concierge(&mut self, number: u64) -> Script {
        let program = format!("{}-concierge-{number}", self.name_prefix);
        let turns = self.rng.random_range(2..=5);
        let mut steps = Vec::new();
        for turn in 0..turns {
            let user_text = format!("Guest {number} asks question {turn} about the stars tonight.");
            let typing = self.span_ms(20, 120);
            steps.push(self.turn(user_text, 20..=60, Some(("guest", typing))));
        }
        if number.is_multiple_of(2) {
            let id = format!("{program}-hold");
            steps.push(Step::Hold { id });
            let user_text = format!("Guest {number} wants the hold confirmed.");
            steps.push(self.turn(user_text, 10..=30, None));
        }
        Script {
            program,
            kind: ProgramKind::Concierge,
            steps,
        }
    }

    fn itinerary(&mut self, number: u64) -> Script {
        let program = format!("{}-itinerary-{number}", self.name_prefix);
        let user_text = format!("Operator {number} wants a plan for three nights.");
        let search = self.span_ms(50, 300);
        let mut steps = vec![self.turn(user_text, 40..=90, Some(("site-search", search)))];
        let agents = (0..self.rng.random_range(2..=3))
            .map(|agent| self.sub_agent(&program, agent))
            .collect();
        steps.push(Step::SubAgents(agents));
        let forecast = self.span_ms(50, 200);
        let user_text = "The sub-agents have answered.".to_owned();
        steps.push(self.turn(user_text, 30..=60, Some(("weather", forecast))));
        let user_text = "The forecast is clear.".to_owned();
        steps.push(self.turn(user_text, 80..=160, None));
        Script {
            program,
            kind: ProgramKind::Itinerary,
            steps,
        }
    }

    fn sub_agent(&mut self, parent: &str, agent: u32) -> Script {
        let lookup = self.span_ms(20, 150);
        let first = format!("Look into night {agent} of {parent}.");
        let second = format!("Sum up night {agent}.");
        Script {
            program: format!("{parent}.{agent}"),
            kind: ProgramKind::Itinerary,
            steps: vec![
                self.turn(first, 20..=50, Some(("site-search", lookup))),
                self.turn(second, 20..=40, None),
            ],
        }
    }

    fn bookings(&mut self, number: u64) -> Script {
        let program = format!("{}-bookings-{number}", self.name_prefix);
        let hold = format!("{program}-hold");
        let slot = format!("dome-{}", number % 7);
        let mut steps = vec![Step::Check { slot }, Step::Hold { id: hold.clone() }];
        if number.is_multiple_of(3) {
            let id = format!("{program}-cancellation");
            steps.push(Step::Cancel { id, hold });
        }
        Script {
            program,
            kind: ProgramKind::Bookings,
            steps,
        }
    }

    fn turn(
        &mut self,
        user_text: String,
        answer_tokens: std::ops::RangeInclusive<u64>,
        tool: Option<(&str, SpanUs)>,
    ) -> Step {
        Step::Turn {
            user_text,
            answer_tokens: Tokens(self.rng.random_range(answer_tokens)),
            tool: tool.and_then(|(name, span)| Some((name.parse().ok()?, span))),
        }
    }

    fn span_ms(&mut self, min: u64, max: u64) -> SpanUs {
        SpanUs::from_ms(self.rng.random_range(min..=max))
    }
}
