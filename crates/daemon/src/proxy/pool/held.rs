//! Connections of a pool that are held until a response has ended, and that are taken back from clients that lag
//! when all connections are in use.

use std::sync::Arc;

use baobabreel_core::lag::{HolderId, choose_lagging};
use http::{Request, Response};
use hyper::body::Incoming;

use super::pooled::{ConnectionPool, SendError};
use crate::context::Clock;
use crate::proxy::body::ProxyBody;
use crate::proxy::place::Place;
use crate::sync::lock;

/// Place among the connections of a pool; it has a connection once a response has begun.
#[derive(Debug)]
pub struct HeldConnection {
    pool: Arc<ConnectionPool>,
    id: HolderId,
    place: Arc<Place>,
}

impl HeldConnection {
    /// Place without a connection.
    pub(super) fn new(pool: Arc<ConnectionPool>, clock: Clock) -> Self {
        let place = Place::new(clock);
        let mut holders = lock(&pool.holders);
        let id = holders.next_id;
        holders.next_id += 1;
        holders.places.insert(id, Arc::clone(&place));
        drop(holders);
        Self { pool, id, place }
    }

    /// How far the client of the request lags.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Sends a request and returns the head of the response, whose connection is kept.
    ///
    /// # Errors
    ///
    /// See [`ConnectionPool::send`]; [`SendError::TakenBack`] if the client did not send its body while others waited
    /// for a connection.
    pub async fn send(&self, req: Request<ProxyBody>) -> Result<Response<Incoming>, SendError> {
        let req = req.map(|body| self.place.watch(body));
        tokio::select! {
            biased;
            sent = self.pool.send(req) => {
                let (res, connection) = sent?;
                self.place.keep(connection);
                Ok(res)
            }
            () = self.place.taken_back() => Err(SendError::TakenBack),
        }
    }

    /// Returns the connection to its pool, after the response has ended.
    pub fn release(self) {
        if let Some(connection) = self.place.take_connection() {
            connection.release();
        }
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        lock(&self.pool.holders).places.remove(&self.id);
        drop(self.place.take_connection());
    }
}

impl ConnectionPool {
    /// Takes back the connection of the client that lags most; false if none lags.
    pub(super) fn take_back_lagging(&self) -> bool {
        let holders = lock(&self.holders);
        let lags = holders.places.iter().map(|(id, place)| (*id, place.lag()));
        let chosen = choose_lagging(self.limit, 1, lags);
        let places: Vec<_> = chosen.iter().filter_map(|id| holders.places.get(id)).collect();
        places.iter().for_each(|place| place.take_back());
        !places.is_empty()
    }
}
