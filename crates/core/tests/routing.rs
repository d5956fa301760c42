//! Tests the matching of requests to routes.

use std::time::Duration;

use baobabreel_core::config::{
    CallerLimits, Class, CompiledConfig, Document, DocumentRoute, WeightedService,
};
use baobabreel_core::routing::{RequestLine, find_route};
use quickcheck::{Gen, QuickCheck};

const HOSTS: [&str; 2] = ["hulo84.example", "jepu9.example"];
const SEGMENTS: [&str; 4] = ["a", "ab", "b", "a-b"];

/// Path that begins and ends with a slash and whose up to 3 segments are derived from `code`.
fn path(mut code: u16) -> String {
    let mut path = "/".to_owned();
    for _ in 0..code % 4 {
        code /= 4;
        path.push_str(SEGMENTS[usize::from(code % 4)]);
        path.push('/');
    }
    path
}

/// Document with a route for each pair of a host index and a path code.
fn document(routes: &[(bool, u16)]) -> Document {
    let route = |(i, (host, prefix)): (usize, &(bool, u16))| DocumentRoute {
        name: format!("r-{i}"),
        host: HOSTS[usize::from(*host)].to_owned(),
        path_prefix: path(*prefix),
        services: vec![WeightedService { service: "yard".to_owned(), weight: 1 }],
        class: Class::Lookup,
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: None,
        max_attempts: 1,
        anonymous: false,
    };
    Document {
        version: 1,
        routes: routes.iter().enumerate().map(route).collect(),
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: None,
    }
}

/// Guards against a route index that misses the longest prefix of the path or returns a route of another host.
#[test]
fn longest_prefix_of_the_host_is_found() {
    fn property(routes: Vec<(bool, u16)>, host: bool, request: u16, rest: u8) -> bool {
        let document = document(&routes);
        let config = CompiledConfig::try_from(&document).expect("no key is shared");
        let path = path(request) + if rest.is_multiple_of(2) { "" } else { "x1" };
        let host = HOSTS[usize::from(host)];
        let request_line = RequestLine { host: Some(host), method: "GET", path: &path };
        let found = find_route(&config, request_line).map(|route| route.spec.path_prefix.len());
        let matching = document
            .routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.path_prefix));
        found == matching.map(|route| route.path_prefix.len()).max()
    }
    let seeded = QuickCheck::new().rng(Gen::from_size_and_seed(60, 7));
    let mut check = seeded.tests(2_000);
    check.quickcheck(property as fn(Vec<(bool, u16)>, bool, u16, u8) -> bool);
}
