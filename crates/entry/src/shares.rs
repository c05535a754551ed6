//! This VM's shares of the plan limits, by customer and service.

use std::collections::HashMap;

use admission::limit::ObservedDemand;
use admission::{Demand, ShareSettings, Shares};
use tokio::time::Instant;
use world::{CustomerName, MachineName, ServiceName};

/// Demand below which a row is neither kept nor reported, requests a second.
const DEMAND_MIN_PER_S: f64 = 0.001;

/// Shares of every customer that was seen here or reported by another VM.
pub struct PlanShares {
    started_at: Instant,
    vm_count: u32,
    table: HashMap<(CustomerName, ServiceName), Shares>,
}

impl PlanShares {
    /// Shares of a VM that has just started: nobody was seen.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            vm_count: 1,
            table: HashMap::new(),
        }
    }

    /// Takes in this VM's own demand; gives what it may report.
    pub fn report_own(
        &mut self,
        now: Instant,
        seen: Vec<ObservedDemand>,
        vm_count: u32,
    ) -> Vec<ObservedDemand> {
        self.vm_count = vm_count;
        let mut reported = Vec::new();
        for row in seen {
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

    /// Takes in another VM's demand; a row that it leaves out is none.
    pub fn report(&mut self, now: Instant, vm: &MachineName, seen: &[ObservedDemand]) {
        for row in seen {
            let demand = Demand {
                rate_per_s: row.rate_per_s,
            };
            self.row(row).report(now, vm, demand);
        }
        let none = Demand { rate_per_s: 0.0 };
        for ((customer, service), shares) in &mut self.table {
            let told = |row: &ObservedDemand| row.customer == *customer && row.service == *service;
            if !seen.iter().any(told) {
                shares.report(now, vm, none);
            }
        }
    }

    /// This VM's share of each limit now, from 0 to 1.
    pub fn rows(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&CustomerName, &ServiceName, f64)> + '_ {
        let rows = self.table.iter();
        rows.map(move |((customer, service), shares)| (customer, service, shares.share(now)))
    }

    /// A row that is new to a VM which has long heard the others starts as
    /// settled: what they left out of their notices was no demand.
    fn row(&mut self, row: &ObservedDemand) -> &mut Shares {
        let (started_at, vm_count) = (self.started_at, self.vm_count);
        let key = (row.customer.clone(), row.service.clone());
        self.table
            .entry(key)
            .or_insert_with(|| Shares::new(started_at, ShareSettings::default(), vm_count))
    }
}
