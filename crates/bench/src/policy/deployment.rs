//! The two deployments, scaled so that one machine can carry three times their load.
//!
//! With the real slots the peak is 13,000 requests a second, which a machine of 10 cores that is
//! shared with builds does not carry; then it measures the machine. So the slots are fewer.

use std::time::Duration;

use baobabreel_core::config::Kind;
use baobabreel_test_support::backend::BackendSettings;
use baobabreel_test_support::load::{Key, RequestTemplate};
use baobabreel_test_support::mesh::{ChangeBuilder, entry_text};
use serde_json::{Value, json};

use crate::fleet::Place;

/// Factor of the run time of bulk jobs over that of look-ups.
const BULK_FACTOR: u32 = 50;

/// Weight of bulk jobs, relative to those of the mix: enough to fill the slots of their service.
const BULK_WEIGHT: f64 = 1.2;

/// Requests that wait at a backend server before it sheds.
const BACKEND_QUEUE: u32 = 40;

/// Kind of request of a deployment.
#[derive(Debug, Clone, Copy)]
struct Kinds {
    class: &'static str,
    path: &'static str,
    service: &'static str,
    weight: f64,
    /// Run time in units of a tenth of a look-up.
    tenths: u32,
}

/// Deployment of section 1.5 of the design.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    data_centres: [&'static str; 3],
    /// Services with their numbers of backend servers.
    services: [(&'static str, u32); 4],
    /// Slots of each backend server; 10 and 20 in production.
    slots: u32,
    look_up: Duration,
    kinds: &'static [Kinds],
    bulk: Kinds,
}

const fn kind(
    class: &'static str,
    path: &'static str,
    service: &'static str,
    weight: f64,
    tenths: u32,
) -> Kinds {
    Kinds { class, path, service, weight, tenths }
}

/// The auction.
pub const TAS_SOUTH: Deployment = Deployment {
    name: "tas-south",
    data_centres: ["hobart-a", "hobart-b", "kingston-c"],
    services: [("catalogue", 4), ("bidding", 3), ("settlement", 3), ("yard", 3)],
    slots: 5,
    look_up: Duration::from_millis(50),
    kinds: &[
        kind("lookup", "/lots", "catalogue", 40.0, 10),
        kind("check", "/standing", "bidding", 20.0, 5),
        kind("check", "/holds", "settlement", 20.0, 5),
        kind("check", "/slots", "yard", 20.0, 5),
        kind("command", "/bids", "bidding", 12.0, 12),
        kind("command", "/settlements", "settlement", 6.0, 12),
        kind("command", "/releases", "yard", 6.0, 12),
    ],
    bulk: kind("bulk", "/reconciliation", "settlement", BULK_WEIGHT, 10 * BULK_FACTOR),
};

/// The consortium.
pub const UY_SUR: Deployment = Deployment {
    name: "uy-sur",
    data_centres: ["uy-sur-a", "uy-sur-b", "uy-sur-c"],
    services: [("archivo", 4), ("pedidos", 3), ("tarifas", 3), ("envios", 3)],
    slots: 8,
    look_up: Duration::from_millis(60),
    kinds: &[
        kind("lookup", "/proofs", "archivo", 40.0, 10),
        kind("check", "/approved", "archivo", 10.0, 5),
        kind("check", "/prices", "tarifas", 20.0, 5),
        kind("command", "/reprints", "pedidos", 20.0, 12),
        kind("command", "/approvals", "tarifas", 10.0, 12),
        kind("command", "/couriers", "envios", 20.0, 12),
    ],
    bulk: kind("bulk", "/proof-jobs", "archivo", BULK_WEIGHT, 10 * BULK_FACTOR),
};

impl Deployment {
    fn run_time(&self, kind: &Kinds) -> Duration {
        self.look_up * kind.tenths / 10
    }

    /// Requests a second, without bulk jobs, that keep the busiest service's slots all in use.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let total: f64 = self.kinds.iter().map(|kind| kind.weight).sum();
        let limit = |(service, workers): &(&str, u32)| {
            let kinds = self.kinds.iter().filter(|kind| kind.service == *service);
            let secs: f64 =
                kinds.map(|kind| kind.weight / total * self.run_time(kind).as_secs_f64()).sum();
            f64::from(workers * self.slots) / secs
        };
        self.services.iter().map(limit).fold(f64::INFINITY, f64::min)
    }

    /// Daemons with their backend servers, spread over the data centres.
    #[must_use]
    pub fn places(&self, policy: &str) -> Vec<Place> {
        let mut places = Vec::new();
        for (service, workers) in self.services {
            for number in 0..workers {
                let name = format!("{service}-{number}");
                let at = places.len() % self.data_centres.len();
                let backend = BackendSettings::new(&name, service)
                    .slots(self.slots)
                    .shed_above_slots_by(BACKEND_QUEUE);
                places.push(Place {
                    backend,
                    name,
                    data_centre: self.data_centres[at].to_owned(),
                    settings: vec![
                        "\"log_filter\": \"off\"".to_owned(),
                        format!("\"policy\": \"{policy}\""),
                    ],
                });
            }
        }
        places
    }

    /// Indices of a quarter of the backend servers: the first of each service.
    #[must_use]
    pub fn quarter(&self) -> Vec<usize> {
        let mut first = 0;
        let mut indices = Vec::new();
        for (_, workers) in self.services {
            indices.push(first);
            first += workers as usize;
        }
        indices
    }

    /// Log entry with all services and routes; `retries` are further tries of a request.
    #[must_use]
    pub fn first_change(&self, retries: u32) -> String {
        let mut change = ChangeBuilder::new("first");
        for (service, _) in self.services {
            change = change.service(service);
        }
        for kind in self.kinds.iter().chain([&self.bulk]) {
            let (first, second) = route_bodies(kind, retries);
            let refs = [kind.service];
            let forms: Vec<(u32, Value, &[&str])> = vec![(1, first, &refs), (2, second, &refs)];
            change = change.upsert(Kind::Route, kind.path.trim_start_matches('/'), forms);
        }
        entry_text(change.build())
    }

    /// Templates of the mix, with bulk jobs if wanted.
    #[must_use]
    pub fn templates(&self, bulk: bool) -> Vec<RequestTemplate> {
        let bulk = bulk.then_some(&self.bulk);
        let template = |kind: &Kinds| {
            let micros = self.run_time(kind).as_micros().to_string();
            let template = match kind.class {
                "command" => RequestTemplate::command(kind.class, kind.path, Key::UuidV7),
                _ => RequestTemplate::lookup(kind.class, kind.path),
            };
            let template = template.weight(kind.weight).header("x-work-us", micros);
            template.response_bytes(256)
        };
        self.kinds.iter().chain(bulk).map(template).collect()
    }
}

fn route_bodies(kind: &Kinds, retries: u32) -> (Value, Value) {
    let first = json!({
        "path_prefix": kind.path,
        "service": kind.service,
        "idempotent": kind.class != "command",
        "timeout_ms": 5_000,
    });
    let second = json!({
        "path_prefix": kind.path,
        "service": kind.service,
        "class": kind.class,
        "timeout_ms": 5_000,
        "retries": retries,
    });
    (first, second)
}
