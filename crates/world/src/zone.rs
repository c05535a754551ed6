//! Zones: regions, their failure domains, and the network links between regions.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::kind::{Error, ErrorKind};
use crate::link::Link;
use crate::name::{DomainName, RegionName};

/// Location of a machine: a failure domain in a region.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the region.
    pub region: RegionName,
    /// Name of the failure domain, unique within the region.
    pub domain: DomainName,
}

impl Place {
    /// Creates a place from the names of a region and of a failure domain in it.
    #[must_use]
    pub fn new(region: RegionName, domain: DomainName) -> Self {
        Self { region, domain }
    }
}

/// A set of machines that can fail together or lose their network together.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Name; must be unique within the region, which isn't checked.
    pub name: DomainName,
}

/// A region: failure domains with low network delay between them.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name, unique in the site.
    pub name: RegionName,
    /// Failure domains of the region.
    pub domains: Vec<FailureDomain>,
}

/// All regions of a site and the network links between them.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zones {
    /// Regions of the site.
    pub regions: Vec<Region>,
    /// Network links between regions.
    #[serde(default)]
    pub links: Vec<Link>,
}

impl Zones {
    /// Whether the failure domain exists in its region.
    #[must_use]
    pub fn has(&self, place: &Place) -> bool {
        self.places().any(|p| p == *place)
    }

    /// Iterates over all failure domains, ordered by region.
    pub fn places(&self) -> impl Iterator<Item = Place> + '_ {
        self.regions.iter().flat_map(|r| {
            r.domains
                .iter()
                .map(|d| Place::new(r.name.clone(), d.name.clone()))
        })
    }

    /// Checks that region names are unique, that every region has a failure domain
    /// and that links connect known regions.
    ///
    /// # Errors
    /// [`ErrorKind::BadSettings`] with all mistakes joined by "; ".
    pub fn check(&self) -> Result<(), Error> {
        let mut seen = BTreeSet::new();
        let mut faults = Vec::new();
        for region in &self.regions {
            if !seen.insert(region.name.clone()) {
                faults.push(format!("region {} stands twice", region.name));
            }
            if region.domains.is_empty() {
                faults.push(format!("region {} has no failure domain", region.name));
            }
        }
        for link in &self.links {
            for end in [&link.from, &link.to] {
                if !seen.contains(end) {
                    faults.push(format!("link ends in unknown region {end}"));
                }
            }
        }
        if faults.is_empty() {
            return Ok(());
        }
        Err(Error::new(ErrorKind::BadSettings, faults.join("; ")))
    }
}
