//! The two lists that operators edit.
//!
//! The first file holds `customers`. The second holds `services`, `plans` and
//! `operators`.

use world::{Customer, Lists, Operator, Plan, Service, Use};

use crate::fault::{Fault, Faults};
use crate::fields::Fields;
use crate::source::read;

const NAME: &str = "a name of letters, digits, '-', '_' and '.'";
const DIGESTS: &str = "a list of SHA-256 digests as 64 hex digits";

/// Reads the first list.
///
/// # Errors
/// Every mistake in the file.
pub fn parse_customers(file: &str, text: &str) -> Result<Vec<Customer>, Faults> {
    read(file, text, |top| Some(top.list("customers", customer)))
}

/// Reads the second list; its `customers` are empty.
///
/// # Errors
/// Every mistake in the file.
pub fn parse_plans(file: &str, text: &str) -> Result<Lists, Faults> {
    read(file, text, |top| {
        Some(Lists {
            customers: Vec::new(),
            services: top.list("services", service),
            plans: top.list("plans", plan),
            operators: top.list("operators", operator),
        })
    })
}

/// Reads both lists and checks them against each other.
///
/// # Errors
/// Every mistake, one entry for each file that has any; mistakes between the
/// lists are given under both files' names.
pub fn parse_lists(first: (&str, &str), second: (&str, &str)) -> Result<Lists, Vec<Faults>> {
    let customers = parse_customers(first.0, first.1);
    let plans = parse_plans(second.0, second.1);
    let (customers, mut lists) = match (customers, plans) {
        (Ok(customers), Ok(lists)) => (customers, lists),
        (customers, plans) => return Err(customers.err().into_iter().chain(plans.err()).collect()),
    };
    lists.customers = customers;
    let faults: Vec<Fault> = lists.faults().iter().map(|text| between(text)).collect();
    if faults.is_empty() {
        return Ok(lists);
    }
    Err(vec![Faults {
        file: format!("{}, {}", first.0, second.0),
        faults,
    }])
}

fn between(text: &str) -> Fault {
    Fault {
        line: 0,
        column: 0,
        field: String::new(),
        text: format!(" {text}"),
    }
}

fn customer(fields: &mut Fields<'_>) -> Option<Customer> {
    let name = fields.need("name", NAME);
    let plan = fields.need("plan", "a plan's name");
    let key_sha256 = fields.need("key_sha256", DIGESTS);
    let home = fields.may("home", "a region's name");
    Some(Customer {
        name: name?,
        plan: plan?,
        key_sha256: key_sha256?,
        home,
    })
}

fn service(fields: &mut Fields<'_>) -> Option<Service> {
    let name = fields.need("name", NAME);
    let class = fields.need("class", "\"short\" or \"long\"");
    let idempotent = fields.need("idempotent", "true or false");
    let deadline_ms = fields.need("deadline_ms", "milliseconds, a whole number");
    Some(Service {
        name: name?,
        class: class?,
        idempotent: idempotent?,
        deadline_ms: deadline_ms?,
    })
}

fn plan(fields: &mut Fields<'_>) -> Option<Plan> {
    let name = fields.need("name", NAME);
    let priority = fields.need("priority", "a whole number from 0 to 255");
    let uses = fields.list("uses", usage);
    Some(Plan {
        name: name?,
        priority: priority?,
        uses,
    })
}

fn usage(fields: &mut Fields<'_>) -> Option<Use> {
    let service = fields.need("service", "a service's name");
    let rate_per_s = fields.need("rate_per_s", "requests a second, a whole number");
    let burst = fields.need("burst", "requests, a whole number");
    let in_flight = fields.need("in_flight", "requests, a whole number");
    Some(Use {
        service: service?,
        rate_per_s: rate_per_s?,
        burst: burst?,
        in_flight: in_flight?,
    })
}

fn operator(fields: &mut Fields<'_>) -> Option<Operator> {
    let name = fields.need("name", NAME);
    let key_sha256 = fields.need("key_sha256", "a SHA-256 digest as 64 hex digits");
    Some(Operator {
        name: name?,
        key_sha256: key_sha256?,
    })
}
