//! Items of the catalog: routes, services and the limits on clients.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use world::{Error, ErrorKind, RequestLimits, Result, Route, RouteName, ServiceName, ServiceTerms};

/// Longest timeout that a route may have, milliseconds.
pub const TIMEOUT_MAX_MS: u64 = 600_000;

/// Key of an item.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ItemKey {
    /// A route, by name.
    Route(RouteName),
    /// A service, by name.
    Service(ServiceName),
    /// The limits on clients, of which there is one item.
    Limits,
}

/// Content of an item.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// A route.
    Route(Arc<Route>),
    /// Capacity and health check of a service.
    Service(Arc<ServiceTerms>),
    /// Limits on clients.
    Limits(RequestLimits),
}

/// A versioned item, as an operator sent it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Version; the highest version of an item is in effect.
    pub version: u64,
    /// Content.
    pub body: Body,
    /// Text that the operator sent; returned when the operator reads the item. Empty on
    /// entry VMs.
    pub source: Arc<str>,
}

impl Item {
    /// Key of the item.
    #[must_use]
    pub fn key(&self) -> ItemKey {
        match &self.body {
            Body::Route(route) => ItemKey::Route(route.name.clone()),
            Body::Service(terms) => ItemKey::Service(terms.name.clone()),
            Body::Limits(_) => ItemKey::Limits,
        }
    }

    /// Copy without the source text, for readers that don't return items to operators.
    #[must_use]
    pub fn without_source(&self) -> Self {
        Self {
            version: self.version,
            body: self.body.clone(),
            source: "".into(),
        }
    }

    /// Validates the item by itself, without the items that it refers to.
    ///
    /// # Errors
    /// [`ErrorKind::BadLists`] with the reason.
    pub fn check(&self) -> Result<()> {
        let Body::Route(route) = &self.body else {
            return Ok(());
        };
        let bad = |text: &str| {
            let name = &route.name;
            Err(Error::new(
                ErrorKind::BadLists,
                format!("route {name}: {text}"),
            ))
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
