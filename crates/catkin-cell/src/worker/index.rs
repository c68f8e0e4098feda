//! Numbers of workers within a term, and sets of them.

/// The index that the owner assigns to a worker for the duration of its term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display,
)]
pub struct WorkerIndex(pub(crate) u32);

impl WorkerIndex {
    /// Returns the index as a number, which counts the workers of the term from 0.
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkerSet {
    words: Vec<u64>,
}

impl WorkerSet {
    pub(crate) fn insert(&mut self, idx: WorkerIndex) {
        let word = idx.index() / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (idx.index() % 64);
    }

    pub(crate) fn remove(&mut self, idx: WorkerIndex) {
        if let Some(word) = self.words.get_mut(idx.index() / 64) {
            *word &= !(1 << (idx.index() % 64));
        }
    }

    pub(crate) fn contains(&self, idx: WorkerIndex) -> bool {
        self.words.get(idx.index() / 64).is_some_and(|w| w & (1 << (idx.index() % 64)) != 0)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = WorkerIndex> + '_ {
        (0u32..).zip(&self.words).flat_map(|(i, w)| {
            (0..64).filter(move |b| w & (1 << b) != 0).map(move |b| WorkerIndex(i * 64 + b))
        })
    }
}
