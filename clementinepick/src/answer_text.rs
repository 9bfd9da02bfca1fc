//! The text of an answer as it grows, with its length in characters.
//!
//! Each part of an answer asks for that length. Counting it anew each time takes a time that grows
//! with the square of the answer, and for that time the process does nothing else.

use std::ops::Deref;

/// Text that only grows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AnswerText {
    text: String,
    characters: u64,
}

impl AnswerText {
    /// The count of characters.
    pub(crate) const fn characters(&self) -> u64 {
        self.characters
    }

    /// Adds text to the end.
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
