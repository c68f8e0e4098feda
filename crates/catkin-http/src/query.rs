//! Query parameters.

use hyper::Uri;

/// The value of a query parameter.
#[must_use]
pub fn value(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(k, _)| *k == name).map(|(_, v)| v.to_owned()).next()
}
