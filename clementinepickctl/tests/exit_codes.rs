//! Compares the exit codes with their table in `docs/OPERATIONS.md`.

use std::fs;
use std::path::Path;

use clementinepickctl::exit::ExitCode;

#[test]
fn documented_exit_codes_match_the_code() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("the page");
    let (_, table) = page
        .split_once("| exit code | what it means |")
        .expect("a table");
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    let documented: Vec<String> = rows.map(str::to_owned).collect();
    let codes = ExitCode::ALL.iter();
    let in_code: Vec<String> = codes
        .map(|code| format!("| {} | {} |", code.number(), code.meaning()))
        .collect();
    assert_eq!(documented, in_code);
}
