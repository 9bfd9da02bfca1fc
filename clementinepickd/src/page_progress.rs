//! Follows a read of the newest records of a partition from page to page.

use std::collections::BTreeSet;

use platform::store::NewestPage;

/// The progress of a read, whatever the order in which the store has the records.
#[derive(Debug, Default)]
pub(crate) struct PageProgress {
    /// The key after which the next page begins; the first page has none.
    after: Option<String>,
    /// The keys after which pages have begun.
    used: BTreeSet<String>,
    state: PageState,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum PageState {
    #[default]
    HasMore,
    Complete,
    /// The last response does not say where the next page begins.
    Stuck,
}

impl PageProgress {
    /// Begins a read after a key, which need not exist.
    pub(crate) fn starting_after(after: Option<String>) -> Self {
        Self {
            after,
            ..Self::default()
        }
    }

    /// Returns the key after which the next page begins.
    pub(crate) fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Returns whether the last page was read.
    pub(crate) fn is_complete(&self) -> bool {
        self.state == PageState::Complete
    }

    /// Returns whether the read has to be restarted.
    pub(crate) fn is_stuck(&self) -> bool {
        self.state == PageState::Stuck
    }

    /// Advances past a response, which is `None` if it is not a page; returns the page, unless the next one would
    /// begin after a key that was used before, or after none.
    ///
    /// Every page but the last one uses up a key, so that a read terminates.
    pub(crate) fn advance(&mut self, page: Option<NewestPage>) -> Option<NewestPage> {
        let next_key = page.as_ref().and_then(|page| page.last_key.clone());
        self.state = match (&page, next_key) {
            (Some(page), _) if !page.has_more => PageState::Complete,
            (Some(_), Some(key)) if self.used.insert(key.clone()) => {
                self.after = Some(key);
                PageState::HasMore
            }
            _ => PageState::Stuck,
        };
        page.filter(|_| !self.is_stuck())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn page(last_key: Option<&str>, has_more: bool) -> NewestPage {
        NewestPage {
            records: Vec::new(),
            unreadable: Vec::new(),
            last_key: last_key.map(str::to_owned),
            has_more,
            end: 0,
        }
    }

    #[test]
    fn pages_in_any_order_lead_to_the_last_one() {
        let mut progress = PageProgress::default();
        for key in ["m", "a", "z", "b"] {
            assert!(progress.advance(Some(page(Some(key), true))).is_some());
            assert_eq!(progress.after(), Some(key));
        }
        assert!(progress.advance(Some(page(None, false))).is_some());
        assert!(progress.is_complete());
    }

    /// Guards against a read without end.
    #[test]
    fn a_page_that_leads_nowhere_new_ends_the_read() {
        for answer in [Some(page(Some("a"), true)), Some(page(None, true)), None] {
            let mut progress = PageProgress::default();
            assert!(progress.advance(Some(page(Some("a"), true))).is_some());
            assert!(progress.advance(Some(page(Some("b"), true))).is_some());
            assert!(progress.advance(answer).is_none());
            assert!(progress.is_stuck() && !progress.is_complete());
        }
    }
}
