//! The weight store: it starts only so many transfers in a time, and each takes a while.

use clementinepick::ids::{ModelName, VersionName};
use clementinepick::units::{SpanUs, TimeUs};

/// How a weight store behaves.
#[derive(Debug, Clone)]
pub struct WeightSettings {
    /// The least time between the starts of two transfers.
    pub interval_us: SpanUs,
    /// How long a transfer takes.
    pub transfer_us: SpanUs,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            interval_us: SpanUs::from_s(2),
            transfer_us: SpanUs::from_s(5),
        }
    }
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct WeightStore {
    settings: WeightSettings,
    next_us: TimeUs,
    fetches: Vec<(TimeUs, ModelName, VersionName)>,
}

impl WeightStore {
    /// A store that has started no transfer yet.
    #[must_use]
    pub fn new(settings: WeightSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Starts a transfer and says how long it takes.
    ///
    /// # Errors
    ///
    /// Over the rate: the time after which to ask again.
    pub fn fetch(
        &mut self,
        now: TimeUs,
        model: &ModelName,
        version: &VersionName,
    ) -> Result<SpanUs, SpanUs> {
        if now < self.next_us {
            return Err(self.next_us.since(now));
        }
        self.next_us = now.after(self.settings.interval_us);
        self.fetches.push((now, model.clone(), version.clone()));
        Ok(self.settings.transfer_us)
    }

    /// The transfers that were started, in order.
    #[must_use]
    pub fn fetches(&self) -> &[(TimeUs, ModelName, VersionName)] {
        &self.fetches
    }
}
