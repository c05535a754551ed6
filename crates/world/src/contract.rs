//! Contracts: the two lists that operators edit, and the book made from them.
//!
//! The first list holds the customers and the plan each is on. The second
//! holds the plans, what each may use, and the services there are.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;
use crate::kind::{Error, Kind};
use crate::name::{CustomerName, MachineName, PlanName, RegionName, ServiceName};

/// Expected length of a piece of work.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Someone waits for it; it must not wait behind long work.
    Short,
    /// Runs or streams for long.
    Long,
}

impl Class {
    /// The class as text for metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// A customer and the plan it is on.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name, unique in the list.
    pub name: CustomerName,
    /// Plan the customer is on.
    pub plan: PlanName,
    /// SHA-256 digests of the keys that callers show, as hex.
    pub key_sha256: Vec<KeyDigest>,
    /// Region that holds the customer's ledger.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<RegionName>,
}

/// Someone who may change the configuration.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, for logs.
    pub name: MachineName,
    /// SHA-256 digest of the operator's key, as hex.
    pub key_sha256: KeyDigest,
}

/// What a plan may use of one service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Use {
    /// Service.
    pub service: ServiceName,
    /// Requests a second for each customer, over the whole site.
    pub rate_per_s: u32,
    /// Requests above the rate that may come at once.
    pub burst: u32,
    /// Requests of one customer that may run or wait at once at an entry VM.
    pub in_flight: u32,
}

/// A plan: its priority and what it may use.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name, unique in the list.
    pub name: PlanName,
    /// Higher is shed later.
    pub priority: u8,
    /// What it may use.
    pub uses: Vec<Use>,
}

/// A service that backend servers offer.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique in the list.
    pub name: ServiceName,
    /// Declared class of its work.
    pub class: Class,
    /// Whether its operations may run more than once.
    pub idempotent: bool,
    /// Deadline for a request that brings none, milliseconds.
    pub deadline_ms: u64,
}

/// The two lists together.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// First list: customers.
    pub customers: Vec<Customer>,
    /// Second list: plans.
    pub plans: Vec<Plan>,
    /// Second list: services.
    pub services: Vec<Service>,
    /// Second list: operators.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// What one customer may do with one service now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contract {
    /// Customer.
    pub customer: CustomerName,
    /// Priority of its plan.
    pub priority: u8,
    /// What the plan may use of the service.
    pub usage: Arc<Use>,
    /// The service.
    pub service: Arc<Service>,
    /// Region that holds the customer's ledger.
    pub home: Option<RegionName>,
}

/// The lists, indexed for the request path.
#[derive(Clone, Debug, Default)]
pub struct Book {
    keys: HashMap<KeyDigest, Arc<Customer>>,
    plans: HashMap<PlanName, PlanEntry>,
    services: HashMap<ServiceName, Arc<Service>>,
}

#[derive(Clone, Debug)]
struct PlanEntry {
    priority: u8,
    uses: HashMap<ServiceName, Arc<Use>>,
}

impl Book {
    /// Indexes lists that [`Lists::check`] has passed.
    #[must_use]
    pub fn new(lists: &Lists) -> Self {
        let mut keys = HashMap::new();
        for customer in &lists.customers {
            let shared = Arc::new(customer.clone());
            for digest in &customer.key_sha256 {
                keys.insert(digest.clone(), Arc::clone(&shared));
            }
        }
        let plans = lists
            .plans
            .iter()
            .map(|plan| (plan.name.clone(), PlanEntry::new(plan)))
            .collect();
        let services = lists
            .services
            .iter()
            .map(|s| (s.name.clone(), Arc::new(s.clone())))
            .collect();
        Self {
            keys,
            plans,
            services,
        }
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The contract of the customer with this key for this service.
    ///
    /// # Errors
    /// [`Kind::BadKey`], [`Kind::NoSuchService`] or [`Kind::NotInPlan`].
    pub fn contract(&self, digest: &KeyDigest, service: &str) -> Result<Contract, Error> {
        let customer = self
            .keys
            .get(digest)
            .ok_or_else(|| Error::new(Kind::BadKey, "no customer has this key"))?;
        let service = self
            .services
            .get(service)
            .ok_or_else(|| Error::new(Kind::NoSuchService, format!("no service {service:?}")))?;
        let not_in_plan = || {
            let text = format!("plan {} may not use {}", customer.plan, service.name);
            Error::new(Kind::NotInPlan, text)
        };
        let plan = self.plans.get(&customer.plan).ok_or_else(not_in_plan)?;
        let usage = plan.uses.get(&service.name).ok_or_else(not_in_plan)?;
        Ok(Contract {
            customer: customer.name.clone(),
            priority: plan.priority,
            usage: Arc::clone(usage),
            service: Arc::clone(service),
            home: customer.home.clone(),
        })
    }
}

impl PlanEntry {
    fn new(plan: &Plan) -> Self {
        let uses = plan
            .uses
            .iter()
            .map(|u| (u.service.clone(), Arc::new(u.clone())))
            .collect();
        Self {
            priority: plan.priority,
            uses,
        }
    }
}

impl Lists {
    /// Every mistake across the two lists, in the order of the lists.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        twice(
            &mut faults,
            "service",
            self.services.iter().map(|s| &s.name),
        );
        twice(&mut faults, "plan", self.plans.iter().map(|p| &p.name));
        twice(
            &mut faults,
            "customer",
            self.customers.iter().map(|c| &c.name),
        );
        for plan in &self.plans {
            self.plan_faults(plan, &mut faults);
        }
        self.customer_faults(&mut faults);
        for service in self.services.iter().filter(|s| s.deadline_ms == 0) {
            faults.push(format!(
                "service {}: deadline_ms must not be 0",
                service.name
            ));
        }
        faults
    }

    /// Checks the lists against each other.
    ///
    /// # Errors
    /// [`Kind::BadLists`] with every mistake, joined by "; ".
    pub fn check(&self) -> Result<(), Error> {
        let faults = self.faults();
        if faults.is_empty() {
            return Ok(());
        }
        Err(Error::new(Kind::BadLists, faults.join("; ")))
    }

    fn plan_faults(&self, plan: &Plan, faults: &mut Vec<String>) {
        for usage in &plan.uses {
            if !self.services.iter().any(|s| s.name == usage.service) {
                faults.push(format!(
                    "plan {}: uses unknown service {}",
                    plan.name, usage.service
                ));
            }
            if usage.rate_per_s == 0 || usage.in_flight == 0 {
                faults.push(format!(
                    "plan {}, service {}: rate_per_s and in_flight must not be 0",
                    plan.name, usage.service
                ));
            }
        }
    }

    fn customer_faults(&self, faults: &mut Vec<String>) {
        let mut owners = BTreeMap::new();
        for customer in &self.customers {
            if !self.plans.iter().any(|p| p.name == customer.plan) {
                faults.push(format!(
                    "customer {}: on unknown plan {}",
                    customer.name, customer.plan
                ));
            }
            if customer.key_sha256.is_empty() {
                faults.push(format!("customer {}: has no key", customer.name));
            }
            for digest in &customer.key_sha256 {
                if let Some(other) = owners.insert(digest.clone(), &customer.name) {
                    faults.push(format!(
                        "customer {}: shares a key with customer {other}",
                        customer.name
                    ));
                }
            }
        }
    }
}

fn twice<'a, N: Ord + std::fmt::Display + 'a>(
    faults: &mut Vec<String>,
    what: &str,
    names: impl Iterator<Item = &'a N>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            faults.push(format!("{what} {name} stands twice"));
        }
    }
}
