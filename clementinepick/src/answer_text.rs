//! Accumulates the text of an answer and keeps its length in characters.
//!
//! Every part of an answer needs that length. Recounting it each time would take time quadratic in
//! the length of the answer, during which the process does nothing else.

use std::ops::Deref;

/// Append-only text with a known length.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AnswerText {
    text: String,
    characters: u64,
}

impl AnswerText {
    /// Returns the length in characters, not bytes.
    pub(crate) const fn characters(&self) -> u64 {
        self.characters
    }

    pub(crate) fn push_str(&mut self, text: &str) {
        self.characters += text.chars().count() as u64;
        self.text.push_str(text);
    }
}

impl Deref for AnswerText {
    type Target = str;

    fn deref(&self) -> &str {
        &self.text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn characters_are_counted_not_bytes() {
        let mut text = AnswerText::default();
        text.push_str("Höhe ");
        text.push_str("α Centauri");
        assert_eq!(&*text, "Höhe α Centauri");
        assert_eq!(text.characters(), 15);
    }
}
