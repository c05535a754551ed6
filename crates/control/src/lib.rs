//! Control role of a VM: keeps the configuration and the ledger in groups of
//! replicas, one replica on each control VM, and serves them to operators over
//! HTTP and to other VMs over links.

pub mod api;
pub mod config_state_machine;
pub mod group;
pub mod ledger;
pub mod replicated_config;
pub mod replication_transport;
pub mod serve;
pub mod start;

pub use config_state_machine::ConfigStateMachine;
pub use group::{Group, ReplicationTransport};
pub use replicated_config::ReplicatedConfig;
pub use start::{Control, start};
