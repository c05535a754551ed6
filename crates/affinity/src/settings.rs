//! Settings of a [`crate::Spread`].

use std::collections::BTreeMap;

use world::{DomainName, MachineName, Place, RegionName};

/// Settings of a [`crate::Spread`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry VM.
    pub name: MachineName,
    /// Where it stands.
    pub place: Place,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Second sends over all entry VMs, as a share of the requests.
    pub retry_ratio: f64,
    /// Second sends over all entry VMs beyond that share, in a window.
    pub retry_slack: f64,
    /// Requests a second to a cold server over all entry VMs, relative to
    /// what it bears.
    pub cold_factor: f64,
    /// Requests a second to a cold server beyond that.
    pub cold_slack: f64,
}
