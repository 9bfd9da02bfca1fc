//! Tests budget slices with several processes that read and write one partition.

use clementinepick::budget_ledger::{
    BudgetRecord, BudgetView, HOME_LEASE_MS, HomeRecord, ProgramSlices, SliceDecision, SliceRecord,
    expired_keys, first_grant, home_key, standing_slice,
};
use clementinepick::units::Tokens;
use proptest::prelude::*;

/// A log partition with conditional appends.
#[derive(Default)]
struct Partition {
    records: Vec<(String, Option<BudgetRecord>)>,
}

impl Partition {
    fn append(&mut self, at: u64, records: Vec<(String, Option<BudgetRecord>)>) -> bool {
        let holds = at == self.records.len() as u64;
        if holds {
            self.records.extend(records);
        }
        holds
    }

    fn read_on(&self, view: &mut BudgetView) {
        let from = usize::try_from(view.end).expect("a small offset");
        for (key, record) in &self.records[from..] {
            match record {
                Some(record) => view.apply(key, record),
                None => view.drop_key(key),
            }
        }
        view.end = self.records.len() as u64;
    }
}

/// One process: its view, its slices, its last key, and its number and halvings as a home.
#[derive(Default)]
struct Process {
    view: BudgetView,
    slices: ProgramSlices,
    sequence: u64,
    home: Option<(u64, u32)>,
    standing_home: Option<u64>,
}

/// A program's budget, and the maximum of one turn.
#[derive(Clone, Copy)]
struct Program {
    budget: Tokens,
    max_turn: Tokens,
}

impl Process {
    fn key(&mut self, name: usize) -> String {
        self.sequence += 1;
        format!("p/{name}/{}", self.sequence)
    }

    /// Runs a turn that delivers `spent`; returns whether it was admitted.
    fn turn(
        &mut self,
        name: usize,
        partition: &mut Partition,
        program: Program,
        spent: Tokens,
    ) -> bool {
        let admitted = self.admit(name, partition, program);
        if admitted {
            self.slices.finish(program.max_turn, spent);
        }
        admitted
    }

    fn admit(&mut self, name: usize, partition: &mut Partition, program: Program) -> bool {
        let Program { budget, max_turn } = program;
        self.take_standing(budget, max_turn);
        while !self.slices.try_start(max_turn) {
            let SliceDecision::Reserve { tokens } = self.view.decide("p", budget, max_turn) else {
                return false;
            };
            let key = self.key(name);
            let record = self.view.slice("p", budget, tokens);
            let records = vec![(key, Some(BudgetRecord::Slice(record)))];
            if partition.append(self.view.end, records) {
                self.slices.granted.0 += tokens.0;
            }
            partition.read_on(&mut self.view);
        }
        true
    }

    fn take_standing(&mut self, budget: Tokens, max_turn: Tokens) {
        let Some((number, halvings)) = self.home else {
            return;
        };
        if self.standing_home != Some(number) && self.view.has_standing_slice("p", number) {
            let tokens = first_grant(budget, halvings, max_turn);
            self.standing_home = Some(number);
            self.slices
                .grant_standing(tokens, standing_slice(budget, halvings));
        }
    }

    /// Becomes a home, even if another one is live.
    fn become_home(&mut self, name: usize, partition: &mut Partition) {
        if self.home.is_some() {
            return;
        }
        partition.read_on(&mut self.view);
        let address = "10.0.0.1:80".parse().expect("an address");
        let record = self.view.next_home(address, &name.to_string());
        self.home = Some((record.number, record.halvings));
        let records = vec![(record.key(), Some(BudgetRecord::Home(record)))];
        assert!(partition.append(self.view.end, records));
        partition.read_on(&mut self.view);
    }

    /// Stops being a home, and records the used part of the standing slice.
    fn release(&mut self, name: usize, partition: &mut Partition, budget: Tokens) {
        let Some((number, _)) = self.home.take() else {
            return;
        };
        let used = self.slices.release_standing();
        partition.read_on(&mut self.view);
        let home_key = home_key(&name.to_string(), number);
        let mut after = self.view.clone();
        after.drop_key(&home_key);
        let mut records = Vec::new();
        if used > Tokens(0) && !self.view.has_program("p") {
            let record = after.slice("p", budget, used);
            records.push((self.key(name), Some(BudgetRecord::Slice(record))));
        }
        records.push((home_key, None));
        assert!(partition.append(self.view.end, records));
        partition.read_on(&mut self.view);
    }
}

impl Process {
    /// Returns all unused tokens that records count, and stops being a home.
    fn shut_down(&mut self, name: usize, partition: &mut Partition, budget: Tokens) {
        let standing_home = self.standing_home;
        let is_counted = standing_home.is_none_or(|home| self.view.has_standing_slice("p", home));
        let mut unused = Tokens(0);
        if self.view.has_program("p") && is_counted {
            unused = self.slices.release_unused();
        }
        self.release(name, partition, budget);
        if unused > Tokens(0) {
            partition.read_on(&mut self.view);
            let record = SliceRecord {
                returned: unused,
                ..self.view.slice("p", budget, Tokens(0))
            };
            let records = vec![(self.key(name), Some(BudgetRecord::Slice(record)))];
            assert!(partition.append(self.view.end, records));
        }
    }
}

/// A step of one process.
#[derive(Debug, Clone)]
enum Step {
    ShutDown,
    Turn { percent: u64 },
    LendToNext { percent: u64 },
    Crash,
    BecomeHome,
    Release,
    FailToRelease,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u64..=100).prop_map(|percent| Step::Turn { percent }),
        2 => (0_u64..=100).prop_map(|percent| Step::LendToNext { percent }),
        1 => Just(Step::Crash),
        2 => Just(Step::ShutDown),
        2 => Just(Step::BecomeHome),
        1 => Just(Step::Release),
        1 => Just(Step::FailToRelease),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Processes run turns, transfer turns and take back their unused tokens, become homes
    /// concurrently or repeatedly, stop with or without a record, shut down and return what they
    /// hold, or are lost. Together they never deliver more than the budget and one turn.
    #[test]
    fn processes_never_exceed_a_budget(
        budget in 1_u64..5_000,
        max_turn in 1_u64..800,
        steps in prop::collection::vec((0_usize..4, step()), 1..200),
    ) {
        let mut partition = Partition::default();
        let mut processes: Vec<Process> = (0..4).map(|_| Process::default()).collect();
        let program = Program { budget: Tokens(budget), max_turn: Tokens(max_turn) };
        let mut delivered = 0;
        for (number, (name, step)) in steps.into_iter().enumerate() {
            let process = &mut processes[name];
            match step {
                Step::Turn { percent } => {
                    let spent = max_turn * percent / 100;
                    if process.turn(name, &mut partition, program, Tokens(spent)) {
                        delivered += spent;
                    }
                }
                Step::LendToNext { percent } => {
                    let spent = max_turn * percent / 100;
                    if process.admit(name, &mut partition, program) {
                        process.slices.hand_over(program.max_turn);
                        delivered += spent;
                        process.slices.take_back(Tokens(max_turn - spent));
                    }
                }
                Step::ShutDown => {
                    process.shut_down(name, &mut partition, program.budget);
                    *process = Process { sequence: number as u64 * 1_000, ..Process::default() };
                }
                Step::Crash => {
                    *process = Process { sequence: number as u64 * 1_000, ..Process::default() };
                }
                Step::BecomeHome => process.become_home(name, &mut partition),
                Step::FailToRelease => {
                    process.home = None;
                    process.slices.release_standing();
                }
                Step::Release => process.release(name, &mut partition, program.budget),
            }
        }
        prop_assert!(delivered <= budget + max_turn, "{delivered} of {budget} + {max_turn}");
    }
}

#[test]
fn a_single_process_can_spend_the_whole_budget() {
    let mut partition = Partition::default();
    let mut process = Process::default();
    let mut turns = 0;
    let program = Program {
        budget: Tokens(4_000),
        max_turn: Tokens(500),
    };
    while process.turn(0, &mut partition, program, Tokens(500)) {
        turns += 1;
    }
    assert_eq!(turns, 8);
}

#[test]
fn a_record_read_twice_counts_once() {
    let mut view = BudgetView::empty();
    let record = BudgetRecord::Slice(SliceRecord {
        program: "p".to_owned(),
        tokens: Tokens(100),
        ..SliceRecord::default()
    });
    view.apply("p/a", &record);
    view.apply("p/a", &record);
    assert_eq!(view.reserved("p", Tokens(900)), Tokens(100));
    assert_eq!(view.reserved("q", Tokens(900)), Tokens(0));
}

#[test]
fn unused_tokens_of_a_turn_are_free_again() {
    let mut slices = ProgramSlices {
        granted: Tokens(100),
        ..ProgramSlices::default()
    };
    assert!(slices.try_start(Tokens(80)));
    assert!(!slices.try_start(Tokens(80)), "80 are reserved");
    slices.finish(Tokens(80), Tokens(15));
    assert!(slices.try_start(Tokens(80)));
}

/// A program runs for hours on one early slice, and only writes records to show that it is running.
/// If the old slice expired, its budget would be available again.
#[test]
fn slices_expire_together_after_the_end_of_their_program() {
    let slice = |program: &str, at_s: u64, tokens: u64| {
        BudgetRecord::Slice(SliceRecord {
            program: program.to_owned(),
            tokens: Tokens(tokens),
            recorded_unix_ms: at_s * 1_000,
            retain_ms: 60_000,
            ..SliceRecord::default()
        })
    };
    let records = [
        ("long/a".to_owned(), slice("long", 0, 400)),
        ("long/b".to_owned(), slice("long", 7_200, 0)),
        ("short/a".to_owned(), slice("short", 0, 400)),
    ];
    assert!(expired_keys(&records, 100_000).is_empty());
    assert_eq!(expired_keys(&records, 7_300_000), ["short/a"]);
    let after_the_end = expired_keys(&records, 7_400_000);
    assert_eq!(after_the_end, ["long/a", "long/b", "short/a"]);
}

/// A process lends only tokens that its running turns can't need.
#[test]
fn only_free_tokens_are_lent() {
    let mut slices = ProgramSlices {
        granted: Tokens(1_000),
        ..ProgramSlices::default()
    };
    assert!(slices.try_start(Tokens(300)));
    assert_eq!(
        slices.lend(Tokens(100)),
        Tokens(350),
        "half of the 700 free tokens"
    );
    assert_eq!(slices.lend(Tokens(200)), Tokens(200));
    assert_eq!(
        slices.lend(Tokens(200)),
        Tokens(150),
        "all remaining tokens"
    );
    assert_eq!(slices.lend(Tokens(100)), Tokens(0));
    slices.finish(Tokens(300), Tokens(300));
    assert_eq!(slices.granted, slices.spent);
}

fn home(number: u64, at_ms: u64) -> (String, BudgetRecord) {
    let record = HomeRecord {
        address: "10.0.0.1:80".parse().expect("an address"),
        writer: number.to_string(),
        number,
        halvings: 2,
        recorded_unix_ms: at_ms,
        retain_ms: 60_000,
    };
    (format!("home/{number}"), BudgetRecord::Home(record))
}

/// A lost home's record counts until the home's lease has ended and none of its programs can still
/// be running without a record: otherwise a program could get the same tokens again.
#[test]
fn a_lost_home_counts_until_its_programs_have_ended() {
    let records = [home(1, 0), home(8, 50_000)];
    let first_safe_ms = 50_000 + HOME_LEASE_MS + 3 * 60_000 + 10_000;
    assert!(expired_keys(&records, first_safe_ms).is_empty());
    assert_eq!(expired_keys(&records, first_safe_ms + 1), ["home/1"]);
    assert_eq!(expired_keys(&records, u64::MAX), ["home/1"]);
}

/// The first record of a program counts the standing slices of all homes before it; a later home
/// has no standing slice of the program.
#[test]
fn standing_slices_count_in_record_order() {
    let budget = Tokens(800);
    let mut view = BudgetView::empty();
    let address = "10.0.0.1:80".parse().expect("an address");
    let first = view.next_home(address, "one");
    view.apply("home/one", &BudgetRecord::Home(first.clone()));
    view.end = 1;
    assert_eq!(view.reserved("p", budget), Tokens(200));
    let slice = view.slice("p", budget, Tokens(100));
    view.apply("p/x/1", &BudgetRecord::Slice(slice));
    view.end = 2;
    let second = view.next_home(address, "two");
    view.apply("home/two", &BudgetRecord::Home(second.clone()));
    assert!(view.has_standing_slice("p", first.number));
    assert!(!view.has_standing_slice("p", second.number));
    assert_eq!(view.reserved("p", budget), Tokens(300));
    assert_eq!(
        view.reserved("q", budget),
        Tokens(300),
        "a quarter and an eighth"
    );
    view.drop_key("home/one");
    assert_eq!(
        view.reserved("p", budget),
        Tokens(300),
        "its record still counts"
    );
    assert_eq!(view.reserved("q", budget), Tokens(100));
}

/// A home that is released records what it granted, so that the program can't get it again from the
/// next home.
#[test]
fn a_released_home_records_what_it_granted() {
    let program = Program {
        budget: Tokens(4_000),
        max_turn: Tokens(500),
    };
    let mut partition = Partition::default();
    let mut processes = [Process::default(), Process::default()];
    let mut turns = 0;
    for (name, process) in processes.iter_mut().enumerate() {
        process.become_home(name, &mut partition);
        while turns < 2 || name == 1 {
            if !process.turn(name, &mut partition, program, Tokens(500)) {
                break;
            }
            turns += 1;
        }
        process.release(name, &mut partition, program.budget);
    }
    assert_eq!(turns, 8);
}

/// A process becomes a home again without having recorded its release. Its first standing slices
/// still count in addition to the second ones, since programs may have spent both.
#[test]
fn a_returning_home_counts_twice() {
    let program = Program {
        budget: Tokens(4_000),
        max_turn: Tokens(500),
    };
    let mut partition = Partition::default();
    let mut process = Process::default();
    process.become_home(0, &mut partition);
    let mut turns = 0;
    while turns < 2 {
        assert!(process.turn(0, &mut partition, program, Tokens(500)));
        turns += 1;
    }
    process.home = None;
    process.slices.release_standing();
    process.become_home(0, &mut partition);
    while process.turn(0, &mut partition, program, Tokens(500)) {
        turns += 1;
    }
    assert_eq!(turns, 8);
}

/// Guards against planned restarts that use up a budget.
#[test]
fn processes_that_shut_down_return_what_they_have_not_used() {
    let program = Program {
        budget: Tokens(4_000),
        max_turn: Tokens(500),
    };
    let mut partition = Partition::default();
    let mut turns = 0;
    loop {
        let mut process = Process {
            sequence: turns * 1_000,
            ..Process::default()
        };
        process.become_home(0, &mut partition);
        if !process.turn(0, &mut partition, program, Tokens(250)) {
            break;
        }
        turns += 1;
        process.shut_down(0, &mut partition, program.budget);
    }
    assert_eq!(turns, 16);
}

/// Guards against a return of tokens that were never reserved, which the program would get twice.
#[test]
fn what_a_first_home_grants_beyond_its_standing_slice_is_not_returned() {
    let program = Program {
        budget: Tokens(1_000),
        max_turn: Tokens(500),
    };
    let mut partition = Partition::default();
    let (mut home, mut other) = (Process::default(), Process::default());
    home.become_home(0, &mut partition);
    assert!(home.turn(0, &mut partition, program, Tokens(100)));
    other.view = home.view.clone();
    assert!(other.turn(1, &mut partition, program, Tokens(500)));
    partition.read_on(&mut home.view);
    home.shut_down(0, &mut partition, program.budget);
    partition.read_on(&mut other.view);
    let reserved = other.view.reserved("p", program.budget);
    assert_eq!(reserved, Tokens(500 + 100));
}
