//! Contracts of customers: the two lists that operators edit, and their index.
//!
//! The customer list holds the customers and the plan of each. The plan list holds
//! the plans, what each plan may use, the services and the operators. [`ContractBook`]
//! indexes both for lookups on the request path.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;
use crate::kind::{Error, ErrorKind};
use crate::name::{CustomerName, MachineName, PlanName, RegionName, ServiceName};

/// Expected duration of a request's work.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short work whose result someone waits for; it must not queue behind long work.
    Short,
    /// Work that runs or streams for a long time.
    Long,
}

impl Class {
    /// Returns the class as text for metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// A customer, its plan and its keys.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name, unique in the list.
    pub name: CustomerName,
    /// The customer's plan.
    pub plan: PlanName,
    /// SHA-256 digests, in hex, of the keys by which clients identify as this customer.
    pub key_sha256: Vec<KeyDigest>,
    /// Region that stores the customer's ledger: the record of its operations by idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<RegionName>,
}

/// A person or program that may change the configuration.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, used in logs.
    pub name: MachineName,
    /// SHA-256 digest of the operator's key, in hex.
    pub key_sha256: KeyDigest,
}

/// Limits of a plan for one service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Use")]
#[schemars(rename = "Use")]
pub struct ServiceQuota {
    /// Name of the service.
    pub service: ServiceName,
    /// Requests per second of each customer, summed over the whole site.
    pub rate_per_s: u32,
    /// Requests that may arrive at once above the rate.
    pub burst: u32,
    /// Requests of one customer that may run or wait at the same time at one entry VM.
    pub in_flight: u32,
}

/// A plan: its priority and the services it may use.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name, unique in the list.
    pub name: PlanName,
    /// Priority; higher values are more important: under overload, requests with lower values
    /// are rejected first.
    pub priority: u8,
    /// Services that the plan may use, with limits.
    pub uses: Vec<ServiceQuota>,
}

/// A service that backend servers provide.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique in the list.
    pub name: ServiceName,
    /// Expected duration of its requests.
    pub class: Class,
    /// Whether running an operation of the service more than once is harmless.
    pub idempotent: bool,
    /// Deadline in milliseconds for a request that specifies none.
    pub deadline_ms: u64,
}

/// The contents of both lists.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// Customers, from the customer list.
    pub customers: Vec<Customer>,
    /// Plans, from the plan list.
    pub plans: Vec<Plan>,
    /// Services, from the plan list.
    pub services: Vec<Service>,
    /// Operators, from the plan list.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// Terms on which one customer may use one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contract {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Priority of the customer's plan.
    pub priority: u8,
    /// Limits of the plan for the service.
    pub usage: Arc<ServiceQuota>,
    /// Service that the contract is for.
    pub service: Arc<Service>,
    /// Region that stores the customer's ledger, if the list names it.
    pub home: Option<RegionName>,
}

/// Index of the lists by customer key, plan and service.
#[derive(Clone, Debug, Default)]
pub struct ContractBook {
    customers_by_key: HashMap<KeyDigest, Arc<Customer>>,
    plans: HashMap<PlanName, IndexedPlan>,
    services: HashMap<ServiceName, Arc<Service>>,
}

/// A plan with its limits indexed by service.
#[derive(Clone, Debug)]
struct IndexedPlan {
    priority: u8,
    uses: HashMap<ServiceName, Arc<ServiceQuota>>,
}

impl ContractBook {
    /// Indexes `lists`, which must have passed [`Lists::check`].
    #[must_use]
    pub fn new(lists: &Lists) -> Self {
        let mut customers_by_key = HashMap::new();
        for customer in &lists.customers {
            let shared = Arc::new(customer.clone());
            for digest in &customer.key_sha256 {
                customers_by_key.insert(digest.clone(), Arc::clone(&shared));
            }
        }
        let plans = lists
            .plans
            .iter()
            .map(|plan| (plan.name.clone(), IndexedPlan::new(plan)))
            .collect();
        let services = lists
            .services
            .iter()
            .map(|s| (s.name.clone(), Arc::new(s.clone())))
            .collect();
        Self {
            customers_by_key,
            plans,
            services,
        }
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the contract for `service` of the customer that owns the key.
    ///
    /// # Errors
    /// [`ErrorKind::BadKey`] if no customer has the key, [`ErrorKind::NoSuchService`] if the
    /// service doesn't exist, [`ErrorKind::NotInPlan`] if the plan may not use it.
    pub fn contract(&self, digest: &KeyDigest, service: &str) -> Result<Contract, Error> {
        let customer = self
            .customers_by_key
            .get(digest)
            .ok_or_else(|| Error::new(ErrorKind::BadKey, "no customer has this key"))?;
        let service = self.services.get(service).ok_or_else(|| {
            Error::new(ErrorKind::NoSuchService, format!("no service {service:?}"))
        })?;
        let not_in_plan = || {
            let text = format!("plan {} may not use {}", customer.plan, service.name);
            Error::new(ErrorKind::NotInPlan, text)
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

impl IndexedPlan {
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
    /// Returns a description of every mistake within and between the two lists:
    /// duplicate names, then plans, customers and services.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        report_duplicates(
            &mut faults,
            "service",
            self.services.iter().map(|s| &s.name),
        );
        report_duplicates(&mut faults, "plan", self.plans.iter().map(|p| &p.name));
        report_duplicates(
            &mut faults,
            "customer",
            self.customers.iter().map(|c| &c.name),
        );
        for plan in &self.plans {
            self.check_plan(plan, &mut faults);
        }
        self.check_customers(&mut faults);
        for service in self.services.iter().filter(|s| s.deadline_ms == 0) {
            faults.push(format!(
                "service {}: deadline_ms must not be 0",
                service.name
            ));
        }
        faults
    }

    /// Checks that both lists are free of mistakes and consistent with each other.
    ///
    /// # Errors
    /// [`ErrorKind::BadLists`] with all mistakes joined by "; ".
    pub fn check(&self) -> Result<(), Error> {
        let faults = self.faults();
        if faults.is_empty() {
            return Ok(());
        }
        Err(Error::new(ErrorKind::BadLists, faults.join("; ")))
    }

    fn check_plan(&self, plan: &Plan, faults: &mut Vec<String>) {
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

    fn check_customers(&self, faults: &mut Vec<String>) {
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

/// Adds a mistake for every repetition of a name.
fn report_duplicates<'a, N: Ord + std::fmt::Display + 'a>(
    faults: &mut Vec<String>,
    item_kind: &str,
    names: impl Iterator<Item = &'a N>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            faults.push(format!("{item_kind} {name} stands twice"));
        }
    }
}
