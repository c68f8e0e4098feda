//! Why a call gave no answer.

/// The reason, and with it whether the call may have had an effect.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The other daemon was not reached.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// Nobody takes calls at the address.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call may have arrived.
    #[display("answer lost: {_0}")]
    Lost(#[error(not(source))] String),
}

impl Error {
    /// Whether the other machine answered that nobody takes calls there.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}
