//! The HTTP client for callers and operators.
//!
//! Until a job is answered, permanently refused or timed out, the client resubmits it under the same ticket, each time
//! through the next entry.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod caller_client;
mod errors;

pub use caller_client::{CallerClient, ClientOptions};
pub use errors::ClientError;
