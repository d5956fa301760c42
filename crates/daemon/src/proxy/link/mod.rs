//! Large request bodies on the link of the instance.
//!
//! [`Links`] holds the budgets of both directions; `core::link` decides. [`Paced`] sends a body at the granted rate,
//! [`Arrival`] counts one that arrives. [`watch_link`] sets the rates by what else passes the link.

mod answer;
mod arrival;
mod paced;
mod watch;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use baobabreel_core::id::RouteName;
use baobabreel_core::link::{
    BodyOffer, BodyRate, LARGE_BODY_BYTES, LinkBudget, LinkDecision, LinkUse, Pacer, TransferId,
    body_rate,
};
use http_body::Body;

pub use answer::{BODY_GRANT_PATH, answer_body_query, source};
pub use arrival::{Arrival, Receipt};
pub use paced::{Paced, Sending};
pub use watch::watch_link;

use super::request_body::RequestBody;
use crate::context::Clock;
use crate::sync::lock;

/// Weight of the newest observation of a route in its smoothed value.
const SMOOTHING: f64 = 0.1;

/// Most routes that are observed.
const MAX_ROUTES: usize = 4_096;

/// Smoothed value by route.
type RouteValues = Mutex<HashMap<RouteName, f64>>;

/// Large bodies on the link of this instance, in both directions.
#[derive(Debug)]
pub struct Links {
    clock: Clock,
    budgets: Option<Budgets>,
    /// Seconds from the end of a body to the response, by route.
    run_times: RouteValues,
    /// Bytes of bodies of unknown length, by route.
    lengths: RouteValues,
}

/// Budgets of a link of known rate.
#[derive(Debug)]
struct Budgets {
    inbound: Mutex<LinkBudget>,
    outbound: Mutex<LinkBudget>,
    /// Spreads the bytes of all bodies that leave this instance.
    pacer: Mutex<Pacer>,
    rates: Mutex<BodyRates>,
    /// Bytes of bodies that have arrived.
    received: AtomicU64,
    /// Bytes of bodies that were sent.
    sent: AtomicU64,
}

/// Rates of bodies in both directions.
#[derive(Debug)]
struct BodyRates {
    inbound: BodyRate,
    outbound: BodyRate,
}

/// Use of a link of known rate, in bytes and bytes per second.
#[derive(Debug, Clone, Copy)]
pub struct LinkRates {
    /// Rate of each direction of the link.
    pub link: f64,
    /// Rate that bodies may use inwards.
    pub inbound: f64,
    /// Rate that bodies may use outwards.
    pub outbound: f64,
    /// Bytes that were granted inwards and have not arrived.
    pub backlog: u64,
}

/// Place of a body in the budget of the outgoing direction; released on drop.
#[derive(Debug)]
pub struct Reservation {
    links: Arc<Links>,
    id: TransferId,
    /// Time at which the body can start.
    pub start: Duration,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(budgets) = &self.links.budgets {
            lock(&budgets.outbound).end(self.id);
        }
    }
}

impl Links {
    /// Creates the state of an instance whose link has the given rate, if it is known.
    #[must_use]
    pub fn new(bits_per_sec: Option<u64>, clock: Clock) -> Self {
        let budgets = bits_per_sec.map(|rate| Budgets {
            inbound: Mutex::new(LinkBudget::new(rate)),
            outbound: Mutex::new(LinkBudget::new(rate)),
            pacer: Mutex::new(Pacer::new(body_rate(rate))),
            rates: Mutex::new(BodyRates {
                inbound: BodyRate::new(rate),
                outbound: BodyRate::new(rate),
            }),
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
        });
        Self { clock, budgets, run_times: RouteValues::default(), lengths: RouteValues::default() }
    }

    /// Length that counts for a body, announced or expected for its route; `None` if it needs no grant.
    pub fn large_length(&self, route: &str, body: &RequestBody) -> Option<u64> {
        let expected = || lock(&self.lengths).get(route).map(|bytes| *bytes as u64);
        let length = body.size_hint().exact().or_else(expected)?;
        self.is_large(length).then_some(length)
    }

    /// Whether a body of this length needs a grant.
    #[must_use]
    pub fn is_large(&self, bytes: u64) -> bool {
        self.budgets.is_some() && bytes > LARGE_BODY_BYTES
    }

    /// Bytes of bodies that have arrived, and of those that were sent.
    #[must_use]
    pub fn passed(&self) -> (u64, u64) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        self.budgets.as_ref().map_or((0, 0), |known| (read(&known.received), read(&known.sent)))
    }

    /// Sets the rates of bodies by what passed the link in each direction.
    pub fn observe(&self, inbound: &LinkUse, outbound: &LinkUse) {
        let Some(budgets) = &self.budgets else { return };
        let mut rates = lock(&budgets.rates);
        rates.inbound.observe(inbound);
        rates.outbound.observe(outbound);
        lock(&budgets.inbound).set_rate(rates.inbound.bytes_per_sec());
        lock(&budgets.outbound).set_rate(rates.outbound.bytes_per_sec());
        lock(&budgets.pacer).set_rate(rates.outbound.bytes_per_sec());
    }

    /// Use of the link; `None` if its rate is not known.
    #[must_use]
    pub fn rates(&self) -> Option<LinkRates> {
        let budgets = self.budgets.as_ref()?;
        let backlog = lock(&budgets.inbound).backlog();
        let rates = lock(&budgets.rates);
        Some(LinkRates {
            link: rates.inbound.link_bytes_per_sec(),
            inbound: rates.inbound.bytes_per_sec(),
            outbound: rates.outbound.bytes_per_sec(),
            backlog,
        })
    }

    /// Offers a body to the outgoing direction.
    ///
    /// # Errors
    ///
    /// The time after which there is room.
    pub fn reserve(links: &Arc<Self>, offer: &BodyOffer) -> Result<Option<Reservation>, Duration> {
        let Some(budgets) = &links.budgets else { return Ok(None) };
        match lock(&budgets.outbound).offer(offer, links.clock.now()) {
            LinkDecision::Grant { start } => {
                Ok(Some(Reservation { links: Arc::clone(links), id: offer.id, start }))
            }
            LinkDecision::Wait(wait) | LinkDecision::Refuse { retry_after: wait } => Err(wait),
        }
    }

    /// Counts a body that arrives from another daemon or from a caller, which may share the link; `receipt` is set if it
    /// counts. `grant` is the identifier of its grant, if it has one.
    pub fn receive(
        links: &Arc<Self>,
        grant: Option<TransferId>,
        body: RequestBody,
        receipt: &mut Option<Receipt>,
    ) -> RequestBody {
        let Some(budgets) = &links.budgets else { return body };
        let length = body.size_hint().exact();
        if grant.is_none() && length.is_none_or(|length| length <= LARGE_BODY_BYTES) {
            return body;
        }
        let id = grant.unwrap_or_else(rand::random);
        lock(&budgets.inbound).begin(id, length.unwrap_or_default());
        let arrival = Arrival::new(Arc::clone(links), id);
        *receipt = Some(arrival.receipt());
        RequestBody::Arriving { inner: Box::new(body), arrival }
    }

    /// Records that a response has come to a request whose body had arrived.
    pub fn record_run(&self, route: &str, receipt: &Receipt) {
        if let Some(arrived) = receipt.arrived_at() {
            let run_time = self.clock.now().saturating_sub(arrived);
            observe(&self.run_times, route, run_time.as_secs_f64());
        }
    }

    /// Records the length of a body whose length was not known before.
    fn record_length(&self, route: &str, bytes: u64) {
        observe(&self.lengths, route, bytes as f64);
    }

    /// Smoothed time from the end of a body to the response; zero if it is not known.
    fn run_time(&self, route: &str) -> Duration {
        let secs = lock(&self.run_times).get(route).copied().unwrap_or_default();
        Duration::from_secs_f64(secs)
    }
}

fn observe(values: &RouteValues, route: &str, value: f64) {
    let mut values = lock(values);
    if let Some(known) = values.get_mut(route) {
        *known += SMOOTHING * (value - *known);
        return;
    }
    if values.len() >= MAX_ROUTES {
        values.clear();
    }
    values.insert(route.to_owned(), value);
}
