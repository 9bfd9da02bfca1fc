//! Slices of budgets as several processes read and write one partition.

use clementinepick::budget_ledger::{
    BudgetRecord, BudgetView, HOME_LEASE_MS, HomeRecord, ProgramSlices, SliceDecision, SliceRecord,
    expired_keys, first_grant, home_key,
};
use clementinepick::units::Tokens;
use proptest::prelude::*;

/// A partition with the condition that appends are made under.
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

/// One process: its view, its slices, its next key, and its number as a home.
#[derive(Default)]
struct Process {
    view: BudgetView,
    slices: ProgramSlices,
    sequence: u64,
    home: Option<(u64, u32)>,
    standing_home: Option<u64>,
}

/// The budget and the most of one turn.
#[derive(Clone, Copy)]
struct Program {
    budget: Tokens,
    most: Tokens,
}

impl Process {
    fn key(&mut self, name: usize) -> String {
        self.sequence += 1;
        format!("p/{name}/{}", self.sequence)
    }

    /// Runs a turn that hands out `spent`; true when it was admitted.
    fn turn(
        &mut self,
        name: usize,
        partition: &mut Partition,
        program: Program,
        spent: Tokens,
    ) -> bool {
        let admitted = self.admit(name, partition, program);
        if admitted {
            self.slices.finish(program.most, spent);
        }
        admitted
    }

    fn admit(&mut self, name: usize, partition: &mut Partition, program: Program) -> bool {
        let Program { budget, most } = program;
        self.take_standing(budget, most);
        while !self.slices.try_start(most) {
            let SliceDecision::Reserve { tokens } = self.view.decide("p", budget, most) else {
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

    fn take_standing(&mut self, budget: Tokens, most: Tokens) {
        let Some((number, halvings)) = self.home else {
            return;
        };
        if self.standing_home != Some(number) && self.view.has_standing_slice("p", number) {
            let tokens = first_grant(budget, halvings, most);
            self.standing_home = Some(number);
            self.slices.standing = tokens;
            self.slices.granted.0 += tokens.0;
        }
    }

    /// Becomes a home, whether another one lives or not.
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

    /// Ends being a home: records what was used of the standing slice.
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

/// What one process does next.
#[derive(Debug, Clone)]
enum Step {
    Turn { percent: u64 },
    LendToNext { percent: u64 },
    Lose,
    BecomeHome,
    Release,
    FailToRelease,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u64..=100).prop_map(|percent| Step::Turn { percent }),
        2 => (0_u64..=100).prop_map(|percent| Step::LendToNext { percent }),
        1 => Just(Step::Lose),
        2 => Just(Step::BecomeHome),
        1 => Just(Step::Release),
        1 => Just(Step::FailToRelease),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Processes take turns, lend the maximum of a turn and get back what it did not need, become
    /// homes of the partition at the same time and one after the other, also again, end that properly
    /// or without its record, or are lost with all they hold. Together they never hand out more than the budget and one turn.
    #[test]
    fn processes_never_exceed_a_budget(
        budget in 1_u64..5_000,
        most in 1_u64..800,
        steps in prop::collection::vec((0_usize..4, step()), 1..200),
    ) {
        let mut partition = Partition::default();
        let mut processes: Vec<Process> = (0..4).map(|_| Process::default()).collect();
        let program = Program { budget: Tokens(budget), most: Tokens(most) };
        let mut handed_out = 0;
        for (number, (name, step)) in steps.into_iter().enumerate() {
            let process = &mut processes[name];
            match step {
                Step::Turn { percent } => {
                    let spent = most * percent / 100;
                    if process.turn(name, &mut partition, program, Tokens(spent)) {
                        handed_out += spent;
                    }
                }
                Step::LendToNext { percent } => {
                    let spent = most * percent / 100;
                    if process.admit(name, &mut partition, program) {
                        process.slices.hand_over(program.most);
                        handed_out += spent;
                        process.slices.take_back(Tokens(most - spent));
                    }
                }
                Step::Lose => {
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
        prop_assert!(handed_out <= budget + most, "{handed_out} of {budget} + {most}");
    }
}

#[test]
fn a_program_alone_gets_nearly_all_of_its_budget() {
    let mut partition = Partition::default();
    let mut process = Process::default();
    let mut turns = 0;
    let program = Program {
        budget: Tokens(4_000),
        most: Tokens(500),
    };
    while process.turn(0, &mut partition, program, Tokens(500)) {
        turns += 1;
    }
    assert_eq!(turns, 8);
}

#[test]
fn a_record_that_is_read_twice_counts_once() {
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
fn what_a_turn_did_not_hand_out_is_free_again() {
    let mut slices = ProgramSlices {
        granted: Tokens(100),
        ..ProgramSlices::default()
    };
    assert!(slices.try_start(Tokens(80)));
    assert!(!slices.try_start(Tokens(80)), "80 are set aside");
    slices.finish(Tokens(80), Tokens(15));
    assert!(slices.try_start(Tokens(80)));
}

/// A program runs for hours on one early slice and a process that says now and then that it runs.
/// Its old slice must stay, or its budget would be there anew; when it has ended, all goes.
#[test]
fn slices_are_dropped_together_and_only_after_the_end() {
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

/// A process lends what it does not need, and keeps what its running turns may still hand out.
#[test]
fn only_what_no_turn_needs_is_lent() {
    let mut slices = ProgramSlices {
        granted: Tokens(1_000),
        ..ProgramSlices::default()
    };
    assert!(slices.try_start(Tokens(300)));
    assert_eq!(
        slices.lend(Tokens(100)),
        Tokens(350),
        "half of the 700 that are free"
    );
    assert_eq!(slices.lend(Tokens(200)), Tokens(200));
    assert_eq!(slices.lend(Tokens(200)), Tokens(150), "all that is left");
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

/// A home is lost, and another one comes after it. The first one's record counts on until its lease
/// has ended and the programs that it began can't be under way without a record: a program that got
/// tokens from it would get them again. The latest home's record stays.
#[test]
fn a_lost_home_counts_until_its_programs_have_ended() {
    let records = [home(1, 0), home(8, 50_000)];
    let first_safe_ms = 50_000 + HOME_LEASE_MS + 3 * 60_000 + 10_000;
    assert!(expired_keys(&records, first_safe_ms).is_empty());
    assert_eq!(expired_keys(&records, first_safe_ms + 1), ["home/1"]);
    assert_eq!(expired_keys(&records, u64::MAX), ["home/1"]);
}

/// A program that a home began is recorded by another process. That record counts the standing
/// slices of all homes before it, and a home that comes later has none of this program.
#[test]
fn standing_slices_count_by_the_order_of_the_records() {
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
        "its record counts on"
    );
    assert_eq!(view.reserved("q", budget), Tokens(100));
}

/// A home began a program and ends properly; another one comes after it. What the first gave out
/// is recorded with its end, so that the program can't have it again.
#[test]
fn a_home_that_ends_leaves_a_record_of_what_it_gave() {
    let program = Program {
        budget: Tokens(4_000),
        most: Tokens(500),
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

/// A process was the home of a partition and could not record its end; it becomes the home again. Its
/// first standing slices count on beside the second ones: the programs of both have got some of them.
#[test]
fn a_home_that_comes_back_counts_twice() {
    let program = Program {
        budget: Tokens(4_000),
        most: Tokens(500),
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
