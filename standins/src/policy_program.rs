//! The programs of a run: which turn each is at, its transcript, and its sub-agents.

use std::collections::BTreeSet;
use std::rc::Rc;

use clementinepick::ids::{ClassName, ProgramId, ToolName, VmId};
use clementinepick::prompt::{ChainHash, Prompt, Segment};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

use crate::policy_workload::{AfterTurn, Plan, Turn, Work, parse_name};

/// One program while it runs.
#[derive(Debug, Clone)]
pub struct Program {
    /// Its name.
    pub id: ProgramId,
    /// Its class.
    pub class: ClassName,
    /// When it issues its first call.
    pub arrives_us: TimeUs,
    /// What it does.
    pub work: Work,
    /// The program whose sub-agent it is.
    pub parent: Option<usize>,
    /// The prompt of its present call.
    pub prompt: Option<Rc<[Segment]>>,
    /// When it issued its present call.
    pub issued_us: TimeUs,
    /// How often it was given its present call back.
    pub return_count: u32,
    /// The backend servers that its present call was sent to.
    pub tried: BTreeSet<VmId>,
    /// The backend server of its last turn.
    pub last_vm: Option<usize>,
    /// The backend servers that may hold its prefix.
    pub vms_with_prefix: BTreeSet<usize>,
    /// The time that it waited for its person.
    pub think_time_us: SpanUs,
    /// Whether it has ended.
    pub has_ended: bool,
    root: usize,
    attained: Tokens,
    segments: Vec<Segment>,
    next: usize,
    open: bool,
    children_left: usize,
    children: usize,
}

impl Program {
    /// The prompt and the answer of the present call of an engine.
    #[must_use]
    pub fn current_call(&self) -> (Rc<[Segment]>, Segment) {
        let prompt = self.prompt.clone().unwrap_or_default();
        let chain = prompt
            .last()
            .map_or(ChainHash::default(), |segment| segment.chain);
        let output = Segment {
            chain: chain.extend(b"answer"),
            length_tokens: self.turn().map_or(Tokens(0), |turn| turn.output_tokens),
        };
        (prompt, output)
    }

    /// The prompt of the present call, as the entry sees it.
    #[must_use]
    pub fn to_prompt(&self) -> Option<Prompt> {
        self.prompt.as_ref().map(|segments| Prompt {
            segments: segments.to_vec(),
        })
    }

    /// The tool that it will call after its present turn.
    #[must_use]
    pub fn next_tool(&self) -> Option<ToolName> {
        match &self.turn()?.after {
            AfterTurn::Tool { tool, .. } => Some(tool.clone()),
            AfterTurn::WaitForUser { .. }
            | AfterTurn::Fork(_)
            | AfterTurn::End
            | AfterTurn::Abandoned => None,
        }
    }

    fn turn(&self) -> Option<&Turn> {
        match &self.work {
            Work::Turns { turns, .. } => turns.get(self.next),
            Work::Plain { .. } => None,
        }
    }
}

/// All programs of a run.
#[derive(Debug)]
pub struct Programs {
    /// The programs; sub-agents follow as they come.
    pub list: Vec<Program>,
    /// Those that have not ended.
    pub live_count: usize,
}

impl Programs {
    /// The programs of the plans.
    #[must_use]
    pub fn new(plans: Vec<Plan>) -> Self {
        let list: Vec<Program> = plans
            .into_iter()
            .enumerate()
            .map(|(at, plan)| {
                let segments = match &plan.work {
                    Work::Turns { system_tokens, .. } => vec![Segment {
                        chain: ChainHash::default().extend(plan.class.as_str().as_bytes()),
                        length_tokens: *system_tokens,
                    }],
                    Work::Plain { .. } => Vec::new(),
                };
                program(plan, at, None, segments)
            })
            .collect();
        Self {
            live_count: list.len(),
            list,
        }
    }

    /// The program that is not a sub-agent, at the top of a program's parents.
    #[must_use]
    pub fn root(&self, at: usize) -> usize {
        self.list[at].root
    }

    /// What a program has been served so far, with its sub-agents.
    #[must_use]
    pub fn attained(&self, at: usize) -> Tokens {
        self.list[self.list[at].root].attained
    }

    /// A program issues its next call, or one that it was given back.
    pub fn begin_call(&mut self, now: TimeUs, at: usize) {
        let program = &mut self.list[at];
        if program.open {
            return;
        }
        program.open = true;
        program.issued_us = now;
        program.return_count = 0;
        let Some(turn) = program.turn() else { return };
        let chain = program
            .segments
            .last()
            .map_or(ChainHash::default(), |s| s.chain);
        let input = Segment {
            chain: chain
                .extend(program.id.as_str().as_bytes())
                .extend(&program.next.to_le_bytes()),
            length_tokens: turn.input_tokens,
        };
        program.segments.push(input);
        program.prompt = Some(program.segments.as_slice().into());
    }

    /// A program's call was answered; returns the prompt's length.
    pub fn record_response(&mut self, at: usize, host: usize, cached: Tokens) -> Tokens {
        let program = &mut self.list[at];
        program.last_vm = Some(host);
        program.vms_with_prefix.insert(host);
        program.open = false;
        if program.turn().is_none() {
            return Tokens(0);
        }
        let (prompt, output) = program.current_call();
        program.segments.push(output);
        let length: Tokens = prompt.iter().map(|s| s.length_tokens).sum();
        let served = length.saturating_sub(cached) + output.length_tokens;
        let root = program.root;
        self.list[root].attained += served;
        length
    }

    /// What a program does after its answer; it moves on to the next turn.
    pub fn advance_turn(&mut self, _now: TimeUs, at: usize) -> AfterTurn {
        let program = &mut self.list[at];
        let after = program
            .turn()
            .map_or(AfterTurn::End, |turn| turn.after.clone());
        program.next += 1;
        after
    }

    /// Starts sub-agents that share a program's prompt; returns them.
    pub fn start_sub_agents(
        &mut self,
        now: TimeUs,
        at: usize,
        agents: Vec<Vec<Turn>>,
    ) -> Vec<usize> {
        let mut started = Vec::new();
        for turns in agents {
            let child = self.list.len();
            let parent = &mut self.list[at];
            parent.children += 1;
            parent.children_left += 1;
            let plan = Plan {
                program: parse_name(&format!("{}.{}", parent.id, parent.children)),
                class: parent.class.clone(),
                arrives_us: now,
                work: Work::Turns {
                    system_tokens: Tokens(0),
                    turns,
                },
            };
            let root = parent.root;
            let mut fresh = program(plan, root, Some(at), parent.segments.clone());
            fresh.last_vm = parent.last_vm;
            self.list.push(fresh);
            self.live_count += 1;
            started.push(child);
        }
        started
    }

    /// A sub-agent has ended; says whether its parent goes on.
    pub fn on_child_ended(&mut self, parent: usize) -> bool {
        let parent = &mut self.list[parent];
        parent.children_left = parent.children_left.saturating_sub(1);
        parent.children_left == 0 && !parent.has_ended
    }

    /// A program has ended.
    pub fn end(&mut self, at: usize) -> Program {
        let program = &mut self.list[at];
        if !program.has_ended {
            self.live_count -= 1;
        }
        program.has_ended = true;
        // The transcript is of no use any more; a long run would hold them all.
        program.prompt = None;
        let ended = program.clone();
        program.segments = Vec::new();
        ended
    }
}

fn program(plan: Plan, root: usize, parent: Option<usize>, segments: Vec<Segment>) -> Program {
    Program {
        id: plan.program,
        class: plan.class,
        arrives_us: plan.arrives_us,
        work: plan.work,
        parent,
        prompt: None,
        issued_us: plan.arrives_us,
        return_count: 0,
        tried: BTreeSet::new(),
        last_vm: None,
        vms_with_prefix: BTreeSet::new(),
        think_time_us: SpanUs(0),
        has_ended: false,
        root,
        attained: Tokens(0),
        segments,
        next: 0,
        open: false,
        children_left: 0,
        children: 0,
    }
}
