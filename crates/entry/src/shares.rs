//! This VM's share of each plan limit, by customer and service.

use std::collections::HashMap;

use admission::limit::ObservedDemand;
use admission::{Demand, ShareSettings, Shares};
use tokio::time::Instant;
use world::{CustomerName, MachineName, ServiceName};

/// Demand of a customer for a service below which it is not reported, requests per second.
const DEMAND_MIN_PER_S: f64 = 0.001;

/// Shares of every customer and service with demand here or at another VM.
pub struct PlanShares {
    started_at: Instant,
    vm_count: u32,
    table: HashMap<(CustomerName, ServiceName), Shares>,
}

impl PlanShares {
    /// Creates an empty table at a VM's start.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            vm_count: 1,
            table: HashMap::new(),
        }
    }

    /// Records this VM's own demand; returns the demand to report to other VMs.
    pub fn record_own(
        &mut self,
        now: Instant,
        observed: Vec<ObservedDemand>,
        vm_count: u32,
    ) -> Vec<ObservedDemand> {
        self.vm_count = vm_count;
        let mut reported = Vec::new();
        for row in observed {
            let known = self.row(&row);
            let demand = known.report_own(
                now,
                Demand {
                    rate_per_s: row.rate_per_s,
                },
            );
            if demand.rate_per_s >= DEMAND_MIN_PER_S {
                reported.push(ObservedDemand {
                    rate_per_s: demand.rate_per_s,
                    ..row
                });
            }
        }
        for shares in self.table.values_mut() {
            shares.expire(now);
        }
        reported
    }

    /// Records another VM's demand; a customer and service that it omits have no demand.
    pub fn record_peer(&mut self, now: Instant, vm: &MachineName, observed: &[ObservedDemand]) {
        for row in observed {
            let demand = Demand {
                rate_per_s: row.rate_per_s,
            };
            self.row(row).report(now, vm, demand);
        }
        let none = Demand { rate_per_s: 0.0 };
        for ((customer, service), shares) in &mut self.table {
            let is_same_row =
                |row: &ObservedDemand| row.customer == *customer && row.service == *service;
            if !observed.iter().any(is_same_row) {
                shares.report(now, vm, none);
            }
        }
    }

    /// This VM's current share of each limit, from 0 to 1.
    pub fn rows(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&CustomerName, &ServiceName, f64)> + '_ {
        let rows = self.table.iter();
        rows.map(move |((customer, service), shares)| (customer, service, shares.share(now)))
    }

    /// Returns the shares of a customer and service, and adds them if needed. New shares
    /// count from the VM's start, so that once the settle time ([`ShareSettings`]) has
    /// passed since then they need no further wait: VMs that omitted this customer and
    /// service had no demand.
    fn row(&mut self, row: &ObservedDemand) -> &mut Shares {
        let (started_at, vm_count) = (self.started_at, self.vm_count);
        let key = (row.customer.clone(), row.service.clone());
        self.table
            .entry(key)
            .or_insert_with(|| Shares::new(started_at, ShareSettings::default(), vm_count))
    }
}
