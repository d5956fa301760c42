//! Index that finds the candidate routes for a request path.

use std::collections::HashMap;
use std::sync::Arc;

use super::compiled::Route;

/// Positions of the routes by the first path segment of their prefixes, so that a request is
/// compared with only a few routes.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct RouteIndex {
    by_segment: HashMap<String, Vec<usize>>,
    /// Routes whose prefix has an empty first segment. They are compared with every path, because
    /// the prefix `/` matches all of them.
    without_segment: Vec<usize>,
}

impl RouteIndex {
    /// Builds the index; positions are those in `routes`.
    pub fn new(routes: &[Arc<Route>]) -> Self {
        let mut index = Self::default();
        for (position, route) in routes.iter().enumerate() {
            match first_segment(&route.spec.path_prefix) {
                "" => index.without_segment.push(position),
                segment => index.by_segment.entry(segment.to_owned()).or_default().push(position),
            }
        }
        index
    }

    /// Position of the first route that `matches` among those whose prefix can match `path`.
    pub fn find(&self, path: &str, matches: impl Fn(usize) -> bool) -> Option<usize> {
        let of_segment = self.by_segment.get(first_segment(path));
        let positions = [of_segment, Some(&self.without_segment)].into_iter().flatten();
        let first = |of: &Vec<usize>| of.iter().copied().find(|position| matches(*position));
        positions.filter_map(first).min()
    }
}

/// Text between the leading slash of a path and the next slash.
fn first_segment(path: &str) -> &str {
    let rest = path.strip_prefix('/').unwrap_or(path);
    rest.split('/').next().unwrap_or_default()
}
