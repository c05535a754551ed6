//! Parsers of the two lists that operators edit.
//!
//! The customer list has the field `customers`. The plan list has `services`, `plans`
//! and `operators`.

use world::{Customer, Lists, Operator, Plan, Service, ServiceQuota};

use crate::fault::{Fault, Faults};
use crate::fields::Fields;
use crate::parse::parse_file;

const EXPECTED_NAME: &str = "a name of letters, digits, '-', '_' and '.'";
const EXPECTED_DIGESTS: &str = "a list of SHA-256 digests as 64 hex digits";

/// Parses the customer list; `file` is its name in messages.
///
/// # Errors
/// All mistakes in the file.
pub fn parse_customers(file: &str, text: &str) -> Result<Vec<Customer>, Faults> {
    parse_file(file, text, |top| {
        Some(top.object_list("customers", customer))
    })
}

/// Parses the plan list and leaves [`Lists::customers`] empty; `file` is its name in
/// messages.
///
/// # Errors
/// All mistakes in the file.
pub fn parse_plans(file: &str, text: &str) -> Result<Lists, Faults> {
    parse_file(file, text, |top| {
        Some(Lists {
            customers: Vec::new(),
            services: top.object_list("services", service),
            plans: top.object_list("plans", plan),
            operators: top.object_list("operators", operator),
        })
    })
}

/// Parses both lists, each given as file name and text, and checks that they are consistent
/// with each other.
///
/// # Errors
/// One entry for each file with mistakes. If both files are valid but inconsistent, one entry
/// under the names of both files.
pub fn parse_lists(first: (&str, &str), second: (&str, &str)) -> Result<Lists, Vec<Faults>> {
    let customers = parse_customers(first.0, first.1);
    let plans = parse_plans(second.0, second.1);
    let (customers, mut lists) = match (customers, plans) {
        (Ok(customers), Ok(lists)) => (customers, lists),
        (customers, plans) => return Err(customers.err().into_iter().chain(plans.err()).collect()),
    };
    lists.customers = customers;
    let faults: Vec<Fault> = lists
        .faults()
        .iter()
        .map(|text| fault_without_position(text))
        .collect();
    if faults.is_empty() {
        return Ok(lists);
    }
    Err(vec![Faults {
        file: format!("{}, {}", first.0, second.0),
        faults,
    }])
}

/// Creates a fault that concerns both files. The space separates its text from the file names
/// that [`Faults`] prints in front of it.
fn fault_without_position(text: &str) -> Fault {
    Fault {
        line: 0,
        column: 0,
        field: String::new(),
        text: format!(" {text}"),
    }
}

fn customer(fields: &mut Fields<'_>) -> Option<Customer> {
    let name = fields.required("name", EXPECTED_NAME);
    let plan = fields.required("plan", "a plan's name");
    let key_sha256 = fields.required("key_sha256", EXPECTED_DIGESTS);
    let home = fields.optional("home", "a region's name");
    Some(Customer {
        name: name?,
        plan: plan?,
        key_sha256: key_sha256?,
        home,
    })
}

fn service(fields: &mut Fields<'_>) -> Option<Service> {
    let name = fields.required("name", EXPECTED_NAME);
    let class = fields.required("class", "\"short\" or \"long\"");
    let idempotent = fields.required("idempotent", "true or false");
    let deadline_ms = fields.required("deadline_ms", "milliseconds, a whole number");
    Some(Service {
        name: name?,
        class: class?,
        idempotent: idempotent?,
        deadline_ms: deadline_ms?,
    })
}

fn plan(fields: &mut Fields<'_>) -> Option<Plan> {
    let name = fields.required("name", EXPECTED_NAME);
    let priority = fields.required("priority", "a whole number from 0 to 255");
    let uses = fields.object_list("uses", usage);
    Some(Plan {
        name: name?,
        priority: priority?,
        uses,
    })
}

fn usage(fields: &mut Fields<'_>) -> Option<ServiceQuota> {
    let service = fields.required("service", "a service's name");
    let rate_per_s = fields.required("rate_per_s", "requests a second, a whole number");
    let burst = fields.required("burst", "requests, a whole number");
    let in_flight = fields.required("in_flight", "requests, a whole number");
    Some(ServiceQuota {
        service: service?,
        rate_per_s: rate_per_s?,
        burst: burst?,
        in_flight: in_flight?,
    })
}

fn operator(fields: &mut Fields<'_>) -> Option<Operator> {
    let name = fields.required("name", EXPECTED_NAME);
    let key_sha256 = fields.required("key_sha256", "a SHA-256 digest as 64 hex digits");
    Some(Operator {
        name: name?,
        key_sha256: key_sha256?,
    })
}
