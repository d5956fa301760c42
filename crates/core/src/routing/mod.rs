//! Finds the route of a request.

use std::sync::Arc;

use crate::config::{CompiledConfig, Route};

/// Parts of a request that routes are matched against.
#[derive(Debug, Clone, Copy)]
pub struct RequestLine<'a> {
    /// Host without port, in lower case.
    pub host: Option<&'a str>,
    /// Method.
    pub method: &'a str,
    /// Path without query.
    pub path: &'a str,
}

/// Finds the most specific route that matches a request.
#[must_use]
pub fn find_route<'a>(config: &'a CompiledConfig, line: RequestLine<'_>) -> Option<&'a Arc<Route>> {
    config.find_route(line.path, |route| matches_route(route, line))
}

fn matches_route(route: &Route, line: RequestLine<'_>) -> bool {
    let spec = &route.spec;
    has_path_prefix(line.path, &spec.path_prefix)
        && spec.method.as_deref().is_none_or(|method| method == line.method)
        && spec.host.as_deref().is_none_or(|host| Some(host) == line.host)
}

/// Whether `path` starts with `prefix` and the prefix ends at a segment boundary.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}
