//! Settings of a control VM of a routed site.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use world::{DomainName, MachineName, Place, RegionName, Result, Secret};

/// Settings of a [`crate::ControlVm`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of this machine; its name among control VMs is derived from it.
    pub ip: IpAddr,
    /// Region and failure domain of this machine.
    pub place: Place,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Port at which every control VM is reached over links.
    pub link_port: u16,
    /// Port on which this machine listens for links; differs from `link_port` when a
    /// proxy or NAT is in front of the machine.
    pub listen_port: u16,
    /// Addresses of some control VMs, to find the others through.
    pub seeds: Vec<IpAddr>,
    /// Number of control VMs that may be lost at a time.
    pub tolerated_losses: usize,
    /// Whether the site starts for the first time, so that the replicas form a new group.
    pub bootstrap: bool,
    /// Directory of the replica's files and of the server cache.
    pub data_dir: PathBuf,
    /// Secret of the deployment, with which links are authenticated.
    pub secret: Secret,
}

impl Settings {
    /// Link address of this machine.
    #[must_use]
    pub fn link_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.link_port)
    }

    /// Address on which this machine listens for links.
    #[must_use]
    pub fn listen_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.listen_port)
    }

    /// Name of this machine.
    ///
    /// # Errors
    /// [`world::ErrorKind::BadRequest`] when the address gives no valid name.
    pub fn name(&self) -> Result<MachineName> {
        name_of(self.ip)
    }
}

/// Derives the name of the control VM at an address.
///
/// # Errors
/// [`world::ErrorKind::BadRequest`] when the address gives no valid name.
pub fn name_of(ip: IpAddr) -> Result<MachineName> {
    MachineName::new(&ip.to_string().replace(':', "_"))
}

/// Returns the address of the control VM with this name; `None` for other names.
#[must_use]
pub fn ip_of(name: &MachineName) -> Option<IpAddr> {
    name.as_str().replace('_', ":").parse().ok()
}
