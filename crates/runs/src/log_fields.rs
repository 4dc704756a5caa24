//! Values of log fields that several lines share.

use std::fmt::Display;
use std::time::Duration;

/// Maximum number of items that a field names, which bounds the length of a line.
const LISTED_MAX: usize = 16;

/// Returns the first [`LISTED_MAX`] items, separated by commas, or `none`.
pub(crate) fn format_list<T: Display>(items: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<String> = items.into_iter().take(LISTED_MAX).map(|item| item.to_string()).collect();
    if texts.is_empty() {
        "none".to_owned()
    } else {
        texts.join(",")
    }
}

/// Returns an age in milliseconds, or `none`.
pub(crate) fn format_age(age: Option<Duration>) -> String {
    age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
}
