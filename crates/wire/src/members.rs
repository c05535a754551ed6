//! Messages of the gossip protocol that spreads membership and load of the entry VMs.
//!
//! Crate `peers` implements the protocol. A place key is the hash that
//! `peers::members::PlaceKey` computes of a failure domain.

/// State of one member in one of its incarnations.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// The member.
    #[prost(message, optional, tag = "1")]
    pub vm: Option<Vm>,
    /// Incarnation, which only the member itself increments, to refute a suspicion.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// State: 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "3")]
    pub state: u32,
}

/// Name, place and addresses of an entry VM.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vm {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Name of its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Name of its failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// IP address for client requests: 4 or 16 bytes.
    #[prost(bytes = "bytes", tag = "4")]
    pub front_ip: bytes::Bytes,
    /// Port for client requests.
    #[prost(uint32, tag = "5")]
    pub front_port: u32,
    /// IP address of the HTTP API for lookups, announcements and operators; if empty, `front_ip`.
    #[prost(bytes = "bytes", tag = "6")]
    pub desk_ip: bytes::Bytes,
    /// Port of the HTTP API.
    #[prost(uint32, tag = "7")]
    pub desk_port: u32,
    /// IP address for connections of the system's other processes; if empty, `front_ip`.
    #[prost(bytes = "bytes", tag = "8")]
    pub link_ip: bytes::Bytes,
    /// Port for connections of the system's other processes.
    #[prost(uint32, tag = "9")]
    pub link_port: u32,
}

/// Versions of the parts of a failure domain's summary, to find out which of two
/// processes has the newer summary.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SummaryVersion {
    /// Place key of the failure domain.
    #[prost(fixed32, tag = "1")]
    pub place: u32,
    /// [`Roster::seq`] of the domain's list of live entry VMs.
    #[prost(uint64, tag = "2")]
    pub roster: u64,
    /// [`DomainLoad::seq`] of the domain's load.
    #[prost(uint64, tag = "3")]
    pub load: u64,
}

/// List of the live entry VMs of a failure domain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Roster {
    /// Place key of the failure domain.
    #[prost(fixed32, tag = "1")]
    pub place: u32,
    /// Sequence number, which increases with each change of the list.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// Live entry VMs. The first ones are the domain's delegates, which exchange summaries with
    /// other domains.
    #[prost(message, repeated, tag = "3")]
    pub vms: Vec<Vm>,
}

/// Request rate of clients with the same home and priority.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HomeDemand {
    /// Place key of the clients' home failure domain; if absent, the reporting domain.
    #[prost(fixed32, optional, tag = "1")]
    pub home: Option<u32>,
    /// Priority of the requests.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// Requests per second.
    #[prost(float, tag = "3")]
    pub rate_per_s: f32,
}

/// Capacity and demand of one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceLoad {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests per second that the backend servers can run.
    #[prost(float, tag = "2")]
    pub capacity_per_s: f32,
    /// Arriving requests by home and priority.
    #[prost(message, repeated, tag = "3")]
    pub demand: Vec<HomeDemand>,
}

/// Summary of a member and of the members below it in the reporting tree.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Number of members in the summary.
    #[prost(uint32, tag = "1")]
    pub members: u32,
    /// Lowest configuration version among these members.
    #[prost(uint64, tag = "2")]
    pub config_version_min: u64,
    /// Names of some members whose configuration is outdated.
    #[prost(string, repeated, tag = "3")]
    pub behind: Vec<String>,
    /// Capacity and demand by service.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<ServiceLoad>,
}

/// Load of a failure domain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DomainLoad {
    /// Place key of the failure domain.
    #[prost(fixed32, tag = "1")]
    pub place: u32,
    /// Sequence number, which increases with each report.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// Sum of the reports of the domain's members.
    #[prost(message, optional, tag = "3")]
    pub report: Option<Report>,
}

/// Membership updates, attached to every ping, ping request, ack and push.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Gossip {
    /// State of the sender.
    #[prost(message, optional, tag = "1")]
    pub me: Option<Record>,
    /// States of members: recently changed ones, or all of them in some acks.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
    /// Hash of the members that the sender considers alive, to detect differing tables.
    #[prost(fixed64, tag = "3")]
    pub table_hash: u64,
    /// Versions of the failure domain summaries that the sender has; in an ack only of those
    /// that it requests.
    #[prost(message, repeated, tag = "4")]
    pub versions: Vec<SummaryVersion>,
    /// Lists of live entry VMs that are newer than the receiver's.
    #[prost(message, repeated, tag = "5")]
    pub rosters: Vec<Roster>,
    /// Loads that are newer than the receiver's.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<DomainLoad>,
}

/// Requests an indirect ping: the receiver pings another member for the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PingReq {
    /// IP address of the member to ping.
    #[prost(bytes = "bytes", tag = "1")]
    pub ip: bytes::Bytes,
    /// Port of the member to ping.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Membership updates of the sender.
    #[prost(message, optional, tag = "3")]
    pub gossip: Option<Gossip>,
}

/// Load report of the sender and of the members that report to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReport {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Sum of the loads of the sender and of these members.
    #[prost(message, optional, tag = "2")]
    pub report: Option<Report>,
}

/// Message to another member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Content of the message.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<Body>,
}

/// Content of a [`Message`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Pings the receiver, which must respond with [`Body::Ack`].
    #[prost(message, tag = "1")]
    Ping(Gossip),
    /// Response to a ping.
    #[prost(message, tag = "2")]
    Ack(Gossip),
    /// Sends updates that the receiver lacks.
    #[prost(message, tag = "3")]
    Push(Gossip),
    /// Requests an indirect ping of another member.
    #[prost(message, tag = "4")]
    PingReq(PingReq),
    /// Sends a load report up the reporting tree.
    #[prost(message, tag = "5")]
    Report(LoadReport),
}
