//! Generation of the platform's store, as the platform adapter and other daemons have seen it.

use baobabreel_core::relay::{Generation, GenerationStatus, NewestGeneration};
use tokio::sync::watch;

/// Newest known generation of the platform's store; clones share it.
#[derive(Debug, Clone, Default)]
pub struct StoreGeneration {
    newest: watch::Sender<NewestGeneration>,
}

impl StoreGeneration {
    /// The newest generation known; `None` until one is.
    #[must_use]
    pub fn get(&self) -> Option<Generation> {
        self.newest.borrow().get()
    }

    /// The newest generation if other daemons have to be told.
    #[must_use]
    pub fn news(&self) -> Option<Generation> {
        self.newest.borrow().news()
    }

    /// Waits until the newest generation known differs from `known`.
    pub async fn changed_from(&self, known: Option<Generation>) {
        let mut newest = self.newest.subscribe();
        if newest.wait_for(|newest| newest.get() != known).await.is_err() {
            // The sender lives as long as `self`.
            std::future::pending::<()>().await;
        }
    }

    /// Records the generation of an answer of the store, or one that another daemon knows.
    pub fn observe(&self, generation: Generation) -> GenerationStatus {
        let mut status = GenerationStatus::Current;
        self.newest.send_if_modified(|newest| {
            let before = *newest;
            status = newest.observe(generation);
            *newest != before
        });
        if status == GenerationStatus::Restored {
            tracing::warn!(generation, "the store came back from an older copy");
        }
        status
    }
}
