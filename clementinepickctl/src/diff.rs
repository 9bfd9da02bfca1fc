//! The lines that differ between two documents.

use std::fmt::Write;

/// One line of a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Line<'a> {
    Same(&'a str),
    Old(&'a str),
    New(&'a str),
}

/// The changed lines from `old` to `new`, each behind `-` or `+`, under their section's title;
/// empty when the documents are equal line by line.
#[must_use]
pub fn diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let mut text = String::new();
    let mut title = None;
    for line in compare(&old, &new) {
        let (Line::Same(content) | Line::Old(content) | Line::New(content)) = line;
        let is_title = content.trim_start().starts_with('[');
        match line {
            Line::Same(content) if is_title => title = Some(content),
            Line::Same(_) => {}
            Line::Old(content) => {
                print_title(&mut text, title.take().filter(|_| !is_title));
                let _ = writeln!(text, "-{content}");
            }
            Line::New(content) => {
                print_title(&mut text, title.take().filter(|_| !is_title));
                let _ = writeln!(text, "+{content}");
            }
        }
    }
    text
}

fn print_title(text: &mut String, title: Option<&str>) {
    if let Some(title) = title {
        let _ = writeln!(text, " {title}");
    }
}

/// Compares by the longest common subsequence of lines; documents have a few hundred at most.
fn compare<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<Line<'a>> {
    let mut common = vec![vec![0_u32; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            common[i][j] = if old[i] == new[j] {
                common[i + 1][j + 1] + 1
            } else {
                common[i + 1][j].max(common[i][j + 1])
            };
        }
    }
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::new();
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            lines.push(Line::Same(old[i]));
            (i, j) = (i + 1, j + 1);
        } else if i < old.len() && (j == new.len() || common[i + 1][j] >= common[i][j + 1]) {
            lines.push(Line::Old(old[i]));
            i += 1;
        } else {
            lines.push(Line::New(new[j]));
            j += 1;
        }
    }
    lines
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_changed_key_is_shown_under_its_section() {
        let old = "[class a]\nrank = 1\nweight = 2\n[class b]\nrank = 1\n";
        let new = "[class a]\nrank = 1\nweight = 2\n[class b]\nrank = 3\n";
        assert_eq!(diff(old, new), " [class b]\n-rank = 1\n+rank = 3\n");
        assert_eq!(diff(old, old), "");
    }
}
