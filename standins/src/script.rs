//! What the callers' programs do: scripts drawn from the mixes of the users' workloads.

use clementinepick::ids::ToolName;
use clementinepick::units::{SpanUs, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// Characters of the instructions that all programs of a kind begin with.
const INSTRUCTION_CHARS: usize = 1_200;

/// A kind of program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgramKind {
    /// A guest's conversation of several turns; some end in a seat hold.
    Concierge,
    /// A plan with tool pauses and sub-agents.
    Itinerary,
    /// Holds, availability checks and cancellations of a lodge.
    Bookings,
}

impl ProgramKind {
    /// The class of the program's own calls, which is its row in a table.
    #[must_use]
    pub const fn class(self) -> &'static str {
        match self {
            Self::Concierge => "concierge",
            Self::Itinerary => "drafts",
            Self::Bookings => "holds",
        }
    }

    /// The instructions that the turns of such a program begin with.
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
        /// What the user or a tool says.
        says: String,
        /// How long the answer will be.
        wanted: Tokens,
        /// The tool that is called after it, and how long that takes.
        tool: Option<(ToolName, SpanUs)>,
    },
    /// A seat hold, which must run once.
    Hold {
        /// The hold's id.
        id: String,
    },
    /// A cancellation of a hold, which must run once.
    Cancel {
        /// The cancellation's id.
        id: String,
        /// The hold.
        hold: String,
    },
    /// An availability check.
    Check {
        /// The telescope slot.
        slot: String,
    },
    /// Sub-agents that run beside each other; the next step waits for them all.
    SubAgents(Vec<Script>),
}

/// A program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// Its name.
    pub program: String,
    /// Its kind.
    pub kind: ProgramKind,
    /// Its steps.
    pub steps: Vec<Step>,
}

impl Script {
    /// The ids of the holds and cancellations in it, which must run once each.
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

/// Draws programs, the same ones for the same seed.
#[derive(Debug)]
pub struct ScriptGenerator {
    run: String,
    rng: ChaCha12Rng,
    drawn: u64,
}

impl ScriptGenerator {
    /// A mix whose programs' names begin with `run`.
    #[must_use]
    pub fn new(run: &str, seed: u64) -> Self {
        Self {
            run: run.to_owned(),
            rng: ChaCha12Rng::seed_from_u64(seed),
            drawn: 0,
        }
    }

    /// The next program.
    pub fn next_script(&mut self) -> Script {
        let number = self.drawn;
        self.drawn += 1;
        // Of twenty programs nine are conversations, four are plans and seven are bookings.
        match number * 7 % 20 {
            0..9 => self.concierge(number),
            9..13 => self.itinerary(number),
            _ => self.bookings(number),
        }
    }

    fn concierge(&mut self, number: u64) -> Script {
        let program = format!("{}-concierge-{number}", self.run);
        let turns = self.rng.random_range(2..=5);
        let mut steps = Vec::new();
        for turn in 0..turns {
            let says = format!("Guest {number} asks question {turn} about the stars tonight.");
            let typing = self.span_ms(20, 120);
            steps.push(self.turn(says, 20..=60, Some(("guest", typing))));
        }
        if number.is_multiple_of(2) {
            let id = format!("{program}-hold");
            steps.push(Step::Hold { id });
            let says = format!("Guest {number} wants the hold confirmed.");
            steps.push(self.turn(says, 10..=30, None));
        }
        Script {
            program,
            kind: ProgramKind::Concierge,
            steps,
        }
    }

    fn itinerary(&mut self, number: u64) -> Script {
        let program = format!("{}-itinerary-{number}", self.run);
        let says = format!("Operator {number} wants a plan for three nights.");
        let search = self.span_ms(50, 300);
        let mut steps = vec![self.turn(says, 40..=90, Some(("site-search", search)))];
        let agents = (0..self.rng.random_range(2..=3))
            .map(|agent| self.sub_agent(&program, agent))
            .collect();
        steps.push(Step::SubAgents(agents));
        let forecast = self.span_ms(50, 200);
        let says = "The sub-agents have answered.".to_owned();
        steps.push(self.turn(says, 30..=60, Some(("weather", forecast))));
        let says = "The forecast is clear.".to_owned();
        steps.push(self.turn(says, 80..=160, None));
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
        let program = format!("{}-bookings-{number}", self.run);
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
        says: String,
        wanted: std::ops::RangeInclusive<u64>,
        tool: Option<(&str, SpanUs)>,
    ) -> Step {
        Step::Turn {
            says,
            wanted: Tokens(self.rng.random_range(wanted)),
            tool: tool.and_then(|(name, span)| Some((name.parse().ok()?, span))),
        }
    }

    fn span_ms(&mut self, least: u64, most: u64) -> SpanUs {
        SpanUs::from_ms(self.rng.random_range(least..=most))
    }
}
