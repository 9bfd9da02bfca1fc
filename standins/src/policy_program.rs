//! Tracks the programs of a run: the current turn, the transcript and the sub-agents of each.

use std::collections::BTreeSet;
use std::rc::Rc;

use clementinepick::ids::{ClassName, ProgramId, ToolName, VmId};
use clementinepick::prompt::{ChainHash, Prompt, Segment};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

use crate::policy_workload::{AfterTurn, Plan, Turn, Work, parse_name};

/// The state of one program.
#[derive(Debug, Clone)]
pub struct Program {
    pub id: ProgramId,
    pub class: ClassName,
    /// The time of its first call.
    pub arrives_us: TimeUs,
    pub work: Work,
    /// The program that started it, if it is a sub-agent.
    pub parent: Option<usize>,
    /// The prompt of the current call.
    pub prompt: Option<Rc<[Segment]>>,
    /// The time at which the current call was issued.
    pub issued_us: TimeUs,
    /// The number of times that the current call was returned to the caller without a response.
    pub return_count: u32,
    /// The backend servers that the current call was sent to.
    pub tried: BTreeSet<VmId>,
    /// The VM that ran the last turn.
    pub last_vm: Option<usize>,
    /// The VMs that may cache its prefix.
    pub vms_with_prefix: BTreeSet<usize>,
    /// The total think time of the user.
    pub think_time_us: SpanUs,
    pub has_ended: bool,
    root: usize,
    attained_tokens: Tokens,
    segments: Vec<Segment>,
    turn_index: usize,
    is_call_pending: bool,
    running_children: usize,
    child_count: usize,
}

impl Program {
    /// Returns the prompt and the output of the current call of an engine.
    #[must_use]
    pub fn current_call(&self) -> (Rc<[Segment]>, Segment) {
        let prompt = self.prompt.clone().unwrap_or_default();
        let chain = prompt
            .last()
            .map_or(ChainHash::default(), |segment| segment.chain);
        let output = Segment {
            chain: chain.extend(b"answer"),
            length_tokens: self
                .current_turn()
                .map_or(Tokens(0), |turn| turn.output_tokens),
        };
        (prompt, output)
    }

    /// Returns the prompt of the current call in the form that entries use.
    #[must_use]
    pub fn to_prompt(&self) -> Option<Prompt> {
        self.prompt.as_ref().map(|segments| Prompt {
            segments: segments.to_vec(),
        })
    }

    /// Returns the tool that it will call after the current turn.
    #[must_use]
    pub fn next_tool(&self) -> Option<ToolName> {
        match &self.current_turn()?.after {
            AfterTurn::Tool { tool, .. } => Some(tool.clone()),
            AfterTurn::WaitForUser { .. }
            | AfterTurn::Fork(_)
            | AfterTurn::End
            | AfterTurn::Abandoned => None,
        }
    }

    fn current_turn(&self) -> Option<&Turn> {
        match &self.work {
            Work::Turns { turns, .. } => turns.get(self.turn_index),
            Work::Plain { .. } => None,
        }
    }
}

/// The programs of a run.
#[derive(Debug)]
pub struct Programs {
    /// The programs, followed by the sub-agents in the order of their start.
    pub list: Vec<Program>,
    /// The number of programs that have not ended.
    pub live_count: usize,
}

impl Programs {
    /// Creates the programs of the given plans.
    #[must_use]
    pub fn new(plans: Vec<Plan>) -> Self {
        let list: Vec<Program> = plans
            .into_iter()
            .enumerate()
            .map(|(program_index, plan)| {
                let segments = match &plan.work {
                    Work::Turns { system_tokens, .. } => vec![Segment {
                        chain: ChainHash::default().extend(plan.class.as_str().as_bytes()),
                        length_tokens: *system_tokens,
                    }],
                    Work::Plain { .. } => Vec::new(),
                };
                new_program(plan, program_index, None, segments)
            })
            .collect();
        Self {
            live_count: list.len(),
            list,
        }
    }

    /// Returns the program at the top of the chain of parents, which is no sub-agent.
    #[must_use]
    pub fn root(&self, program_index: usize) -> usize {
        self.list[program_index].root
    }

    /// Returns the tokens that a program and its sub-agents have been served so far.
    #[must_use]
    pub fn attained(&self, program_index: usize) -> Tokens {
        self.list[self.list[program_index].root].attained_tokens
    }

    /// Issues the next call of a program; a call that was returned to the caller stays the same.
    pub fn begin_call(&mut self, now: TimeUs, program_index: usize) {
        let program = &mut self.list[program_index];
        if program.is_call_pending {
            return;
        }
        program.is_call_pending = true;
        program.issued_us = now;
        program.return_count = 0;
        let Some(turn) = program.current_turn() else {
            return;
        };
        let chain = program
            .segments
            .last()
            .map_or(ChainHash::default(), |s| s.chain);
        let input = Segment {
            chain: chain
                .extend(program.id.as_str().as_bytes())
                .extend(&program.turn_index.to_le_bytes()),
            length_tokens: turn.input_tokens,
        };
        program.segments.push(input);
        program.prompt = Some(program.segments.as_slice().into());
    }

    /// Records the response to a program's call, and returns the length of its prompt.
    pub fn record_response(
        &mut self,
        program_index: usize,
        vm_index: usize,
        cached_tokens: Tokens,
    ) -> Tokens {
        let program = &mut self.list[program_index];
        program.last_vm = Some(vm_index);
        program.vms_with_prefix.insert(vm_index);
        program.is_call_pending = false;
        if program.current_turn().is_none() {
            return Tokens(0);
        }
        let (prompt, output) = program.current_call();
        program.segments.push(output);
        let prompt_tokens: Tokens = prompt.iter().map(|s| s.length_tokens).sum();
        let served_tokens = prompt_tokens.saturating_sub(cached_tokens) + output.length_tokens;
        let root = program.root;
        self.list[root].attained_tokens += served_tokens;
        prompt_tokens
    }

    /// Moves a program to its next turn, and returns the action after the previous one.
    pub fn advance_turn(&mut self, _now: TimeUs, program_index: usize) -> AfterTurn {
        let program = &mut self.list[program_index];
        let after = program
            .current_turn()
            .map_or(AfterTurn::End, |turn| turn.after.clone());
        program.turn_index += 1;
        after
    }

    /// Starts sub-agents that share a program's prompt, and returns their indices.
    pub fn start_sub_agents(
        &mut self,
        now: TimeUs,
        program_index: usize,
        agents: Vec<Vec<Turn>>,
    ) -> Vec<usize> {
        let mut child_indices = Vec::new();
        for turns in agents {
            let child_index = self.list.len();
            let parent = &mut self.list[program_index];
            parent.child_count += 1;
            parent.running_children += 1;
            let plan = Plan {
                program: parse_name(&format!("{}.{}", parent.id, parent.child_count)),
                class: parent.class.clone(),
                arrives_us: now,
                work: Work::Turns {
                    system_tokens: Tokens(0),
                    turns,
                },
            };
            let root = parent.root;
            let mut sub_agent =
                new_program(plan, root, Some(program_index), parent.segments.clone());
            sub_agent.last_vm = parent.last_vm;
            self.list.push(sub_agent);
            self.live_count += 1;
            child_indices.push(child_index);
        }
        child_indices
    }

    /// Handles the end of a sub-agent, and returns whether its parent continues.
    pub fn on_child_ended(&mut self, parent: usize) -> bool {
        let parent = &mut self.list[parent];
        parent.running_children = parent.running_children.saturating_sub(1);
        parent.running_children == 0 && !parent.has_ended
    }

    /// Ends a program, and returns its final state.
    pub fn end(&mut self, program_index: usize) -> Program {
        let program = &mut self.list[program_index];
        if !program.has_ended {
            self.live_count -= 1;
        }
        program.has_ended = true;
        // Transcripts of ended programs would fill the memory in long runs.
        program.prompt = None;
        let ended = program.clone();
        program.segments = Vec::new();
        ended
    }
}

fn new_program(plan: Plan, root: usize, parent: Option<usize>, segments: Vec<Segment>) -> Program {
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
        attained_tokens: Tokens(0),
        segments,
        turn_index: 0,
        is_call_pending: false,
        running_children: 0,
        child_count: 0,
    }
}
