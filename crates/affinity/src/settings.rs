//! Settings of a [`crate::AffinityBalancer`].

use std::collections::BTreeMap;

use world::{DomainName, MachineName, Place, RegionName};

/// Settings of a [`crate::AffinityBalancer`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry VM.
    pub name: MachineName,
    /// Region and failure domain of this entry VM.
    pub place: Place,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Retries and backup attempts by all entry VMs, as a share of the requests.
    pub retry_ratio: f64,
    /// Burst of retries and backup attempts that all entry VMs together may send
    /// beyond that share.
    pub retry_slack: f64,
    /// Requests per second that all entry VMs together may send to a cold
    /// server, as a factor of the service's `cold_per_s`.
    pub cold_factor: f64,
    /// Requests per second allowed to a cold server beyond that.
    pub cold_slack: f64,
}
