//! Errors of the client.

use vanillacleat_core::api::ProblemBody;

/// Reasons why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The system refused the call.
    #[error("refused: code={} ran={} detail={}", .0.code, .0.ran, .0.detail)]
    Refused(ProblemBody),
    /// No entry answered in time. Whether a submitted job ran is not known; the same ticket can be submitted again.
    #[error("no entry answered: {0}")]
    Unreachable(String),
}

impl ClientError {
    /// Returns the stable code of a refusal.
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::Refused(problem) => Some(&problem.code),
            Self::Unreachable(_) => None,
        }
    }
}
