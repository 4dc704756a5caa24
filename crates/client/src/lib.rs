//! The client of callers and operators. It submits a job as often as it takes, through any entry, under one ticket.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod caller_client;
mod errors;

pub use caller_client::{CallerClient, ClientOptions};
pub use errors::ClientError;
