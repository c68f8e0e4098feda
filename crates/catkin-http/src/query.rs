//! Query parameters of URIs.

use hyper::Uri;

/// Returns the first value of a query parameter as it stands in the URI, without percent-decoding.
#[must_use]
pub fn value(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(k, _)| *k == name).map(|(_, v)| v.to_owned()).next()
}
