//! Items of the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use world::{Error, Kind, Limits, Result, Route, RouteName, ServiceName, ServiceTerms};

/// Longest time that a route may keep a caller waiting, milliseconds.
pub const TIMEOUT_MAX_MS: u64 = 600_000;

/// Names an item.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ItemKey {
    /// A route.
    Route(RouteName),
    /// A service.
    Service(ServiceName),
    /// The limits on callers.
    Limits,
}

/// What an item says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// A route.
    Route(Arc<Route>),
    /// Terms of a service.
    Service(Arc<ServiceTerms>),
    /// Bounds on callers.
    Limits(Limits),
}

/// An item as an operator sent it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Version; the highest one of an item is in force.
    pub version: u64,
    /// What it says.
    pub body: Body,
    /// The text that the operator sent, given back on reading.
    pub source: Arc<str>,
}

impl Item {
    /// Name of the item.
    #[must_use]
    pub fn key(&self) -> ItemKey {
        match &self.body {
            Body::Route(route) => ItemKey::Route(route.name.clone()),
            Body::Service(terms) => ItemKey::Service(terms.name.clone()),
            Body::Limits(_) => ItemKey::Limits,
        }
    }

    /// Checks what can be checked without the other items.
    ///
    /// # Errors
    /// [`Kind::BadLists`] with what is wrong.
    pub fn check(&self) -> Result<()> {
        let Body::Route(route) = &self.body else {
            return Ok(());
        };
        let bad = |text: &str| {
            let name = &route.name;
            Err(Error::new(Kind::BadLists, format!("route {name}: {text}")))
        };
        if route.timeout_ms == 0 {
            return bad("the timeout is 0");
        }
        if route.timeout_ms > TIMEOUT_MAX_MS {
            return bad("the timeout is over ten minutes");
        }
        if route.attempts == 0 {
            return bad("no attempts are allowed");
        }
        if !route.prefix.starts_with('/') {
            return bad("the path prefix does not begin with a slash");
        }
        if route.parts.iter().all(|part| part.weight == 0) {
            return bad("no service gets a share");
        }
        Ok(())
    }
}
