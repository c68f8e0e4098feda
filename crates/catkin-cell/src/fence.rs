//! Fencing tokens: the order of all calls to one worker.
//!
//! Pure. A worker does nothing for a token that is lower than the highest that it has seen, and a new incarnation has seen
//! none. Nothing in a call names the incarnation that it is meant for, so a call to an earlier incarnation may be carried
//! out by a later one, seconds after it was sent. The owner therefore raises its token for a worker with each restart of
//! it that it learns of: the first answered poll with the new token ends all calls that were sent before.
//!
//! A poll that acknowledges ends names them by numbers, which begin anew in each incarnation. A start that is sent after it
//! therefore has a higher token: the poll can't be carried out after the start by an incarnation that is not known yet.
//!
//! The tokens of a term begin at its epoch. Epochs are multiples of [`TOKENS_PER_TERM`], so that all tokens of a term are
//! higher than those of earlier terms. Earlier versions claimed the next number as their epoch: one that takes over after
//! this version is refused by the workers that have restarted, and gives its term up, until its epoch is high enough.

use catkin_types::{Epoch, FencingToken};

/// The number of tokens that a term has for each worker.
pub const TOKENS_PER_TERM: u64 = 1 << 24;

/// Returns the epoch of the term that follows the one with the epoch `previous`.
#[must_use]
pub fn next_epoch(previous: Epoch) -> Epoch {
    (previous / TOKENS_PER_TERM + 1).saturating_mul(TOKENS_PER_TERM)
}

/// Returns the token for calls to a worker that are to end those with `token`. A term does not leave its last token.
pub(crate) fn next_token(token: FencingToken) -> FencingToken {
    let next = token.saturating_add(1);
    if next.is_multiple_of(TOKENS_PER_TERM) { token } else { next }
}
