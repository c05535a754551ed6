//! Zones: regions and the failure domains in them.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::kind::{Error, Kind};
use crate::link::Link;
use crate::name::{DomainName, RegionName};

/// Where a machine stands.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Region.
    pub region: RegionName,
    /// Failure domain, unique within the region.
    pub domain: DomainName,
}

impl Place {
    /// A place by its two names.
    #[must_use]
    pub fn new(region: RegionName, domain: DomainName) -> Self {
        Self { region, domain }
    }
}

/// A set of machines that can fail, or be cut off, together.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Name, unique within the region.
    pub name: DomainName,
}

/// A region: failure domains with short ways between them.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name, unique in the site.
    pub name: RegionName,
    /// Its failure domains.
    pub domains: Vec<FailureDomain>,
}

/// The map of a site: every region and the links between them.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zones {
    /// Regions.
    pub regions: Vec<Region>,
    /// Links between regions.
    #[serde(default)]
    pub links: Vec<Link>,
}

impl Zones {
    /// Whether the map has this place.
    #[must_use]
    pub fn has(&self, place: &Place) -> bool {
        self.places().any(|p| p == *place)
    }

    /// Every place, region by region.
    pub fn places(&self) -> impl Iterator<Item = Place> + '_ {
        self.regions.iter().flat_map(|r| {
            r.domains
                .iter()
                .map(|d| Place::new(r.name.clone(), d.name.clone()))
        })
    }

    /// Checks that names are unique and links end in known regions.
    ///
    /// # Errors
    /// [`Kind::BadSettings`] naming the first mistake of each sort, joined.
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
        Err(Error::new(Kind::BadSettings, faults.join("; ")))
    }
}
