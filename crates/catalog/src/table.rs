//! Routing table of an entry VM, built from the catalog and consulted for each request.

use std::collections::HashMap;
use std::sync::Arc;

use world::{DomainName, HostName, RequestLimits, Route, ServiceName, ServiceTerms};

use crate::item::Body;
use crate::state::Catalog;

/// Routes by host, longest path prefix first, with the terms of services.
#[derive(Clone, Debug, Default)]
pub struct Table {
    routes_by_host: HashMap<HostName, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<ServiceTerms>>,
    limits: Option<RequestLimits>,
    evacuated: Vec<DomainName>,
    has_items: bool,
}

impl Table {
    /// Builds the table from the items in effect. `domains` are the failure domains to
    /// check for evacuation.
    #[must_use]
    pub fn new(catalog: &Catalog, domains: impl IntoIterator<Item = DomainName>) -> Self {
        let mut table = Self {
            has_items: !catalog.is_empty(),
            ..Self::default()
        };
        for item in catalog.items() {
            match &item.body {
                Body::Route(route) => {
                    let routes = table.routes_by_host.entry(route.host.clone()).or_default();
                    routes.push(Arc::clone(route));
                }
                Body::Service(terms) => {
                    table.services.insert(terms.name.clone(), Arc::clone(terms));
                }
                Body::Limits(limits) => table.limits = Some(*limits),
            }
        }
        for routes in table.routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let evacuated = domains.into_iter().filter(|d| catalog.is_evacuated(d));
        table.evacuated = evacuated.collect();
        table
    }

    /// Whether the catalog held any item.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.has_items
    }

    /// Returns the route of a request: the one of its host with the longest prefix of its
    /// path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Terms of a service.
    #[must_use]
    pub fn terms(&self, service: &ServiceName) -> Option<&Arc<ServiceTerms>> {
        self.services.get(service)
    }

    /// Terms of all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceTerms>> {
        self.services.values()
    }

    /// Limits on clients; `None` when the catalog has none.
    #[must_use]
    pub fn limits(&self) -> Option<RequestLimits> {
        self.limits
    }

    /// Evacuated failure domains, which get no work.
    #[must_use]
    pub fn evacuated(&self) -> &[DomainName] {
        &self.evacuated
    }
}
