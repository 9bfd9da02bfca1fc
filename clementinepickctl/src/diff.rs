//! Computes the lines that differ between two documents.

use std::fmt::Write;

/// One line of a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Line<'a> {
    Same(&'a str),
    Old(&'a str),
    New(&'a str),
}

/// Returns the lines that changed from `old` to `new`, prefixed with `-` or `+`, below the title of
/// their section. The result is empty if all lines are equal.
#[must_use]
pub fn diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let mut text = String::new();
    let mut title = None;
    for line in align_lines(&old, &new) {
        let (Line::Same(content) | Line::Old(content) | Line::New(content)) = line;
        let is_title = content.trim_start().starts_with('[');
        match line {
            Line::Same(content) if is_title => title = Some(content),
            Line::Same(_) => {}
            Line::Old(content) => {
                write_title(&mut text, title.take().filter(|_| !is_title));
                let _ = writeln!(text, "-{content}");
            }
            Line::New(content) => {
                write_title(&mut text, title.take().filter(|_| !is_title));
                let _ = writeln!(text, "+{content}");
            }
        }
    }
    text
}

fn write_title(text: &mut String, title: Option<&str>) {
    if let Some(title) = title {
        let _ = writeln!(text, " {title}");
    }
}

/// Compares by the longest common subsequence, in quadratic time and space; documents have at most
/// a few hundred lines.
fn align_lines<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<Line<'a>> {
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
    fn changed_keys_are_listed_under_their_section() {
        let old = "[class a]\nrank = 1\nweight = 2\n[class b]\nrank = 1\n";
        let new = "[class a]\nrank = 1\nweight = 2\n[class b]\nrank = 3\n";
        assert_eq!(diff(old, new), " [class b]\n-rank = 1\n+rank = 3\n");
        assert_eq!(diff(old, old), "");
    }
}
