//! Errors of the client.

use vanillacleat_core::api::ProblemBody;

/// The reason why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// An entry or agent refused the call.
    #[error("refused: code={} ran={} detail={}", .0.code, .0.ran, .0.detail)]
    Refused(ProblemBody),
    /// No valid answer was received in time. A submitted job may have run or not; it can be resubmitted under the same ticket.
    #[error("no entry answered: {0}")]
    Unreachable(String),
}

impl ClientError {
    /// Returns the stable code of a refusal, or `None` if no valid answer was received.
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::Refused(problem) => Some(&problem.code),
            Self::Unreachable(_) => None,
        }
    }
}
