//! Routes a request to a queue.

use catkin_platform::config::{Config, Route};

/// The route of a request, and the rest of its path after the route's prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteMatch<'a> {
    pub route: &'a Route,
    pub rest: &'a str,
}

/// Finds the route of the host whose prefix is the longest that the path starts with.
pub(super) fn find_route<'a>(
    config: &'a Config,
    host: &str,
    path: &'a str,
) -> Option<RouteMatch<'a>> {
    let host = host.split(':').next().unwrap_or_default();
    let fits = |r: &&Route| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix);
    let route = config.routes.iter().filter(fits).max_by_key(|r| r.prefix.len())?;
    Some(RouteMatch { route, rest: &path[route.prefix.len()..] })
}
