//! Settings of a control VM of a routed site.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use world::{DomainName, MachineName, Place, RegionName, Result, Secret};

/// Settings of a [`crate::Hub`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of this machine; its name among control VMs is made from it.
    pub ip: IpAddr,
    /// Where it stands.
    pub place: Place,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Port on every control VM for the system's own processes.
    pub link_port: u16,
    /// Port on which this machine itself listens for them: another one where a
    /// relay stands in front of it.
    pub listen_port: u16,
    /// Some control VMs, known from the start.
    pub seeds: Vec<IpAddr>,
    /// Whether the site starts for the first time.
    pub bootstrap: bool,
    /// Folder on the disk.
    pub data_dir: PathBuf,
    /// Secret of the deployment.
    pub secret: Secret,
}

impl Settings {
    /// Address of this machine for the system's own processes.
    #[must_use]
    pub fn link(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.link_port)
    }

    /// Address on which this machine listens for the system's own processes.
    #[must_use]
    pub fn listen(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.listen_port)
    }

    /// Name of this machine.
    ///
    /// # Errors
    /// [`world::Kind::BadRequest`] when the address makes no name.
    pub fn name(&self) -> Result<MachineName> {
        name_of(self.ip)
    }
}

/// Name of the control VM at an address.
///
/// # Errors
/// [`world::Kind::BadRequest`] when the address makes no name.
pub fn name_of(ip: IpAddr) -> Result<MachineName> {
    MachineName::new(&ip.to_string().replace(':', "_"))
}

/// Address of the control VM with this name.
#[must_use]
pub fn ip_of(name: &MachineName) -> Option<IpAddr> {
    name.as_str().replace('_', ":").parse().ok()
}
