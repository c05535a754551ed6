//! Messages of the membership protocol.

/// A claim about one member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// The machine.
    #[prost(message, optional, tag = "1")]
    pub vm: Option<Vm>,
    /// Number that only the machine itself raises.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// 0: alive, 1: suspect, 2: dead, 3: left.
    #[prost(uint32, tag = "3")]
    pub standing: u32,
}

/// An entry VM.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vm {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// IP address of the callers' front: 4 or 16 bytes.
    #[prost(bytes = "bytes", tag = "4")]
    pub front_ip: bytes::Bytes,
    /// Port of the callers' front.
    #[prost(uint32, tag = "5")]
    pub front_port: u32,
    /// IP address of the desk; empty: that of the front.
    #[prost(bytes = "bytes", tag = "6")]
    pub desk_ip: bytes::Bytes,
    /// Port of the desk.
    #[prost(uint32, tag = "7")]
    pub desk_port: u32,
    /// IP address for the system's own processes; empty: that of the front.
    #[prost(bytes = "bytes", tag = "8")]
    pub link_ip: bytes::Bytes,
    /// Port for the system's own processes.
    #[prost(uint32, tag = "9")]
    pub link_port: u32,
}

/// How new a domain's summary is.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Head {
    /// Key of the place.
    #[prost(fixed32, tag = "1")]
    pub place: u32,
    /// Number of the roster.
    #[prost(uint64, tag = "2")]
    pub roster: u64,
    /// Number of the load.
    #[prost(uint64, tag = "3")]
    pub load: u64,
}

/// The live entry VMs of a domain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Roster {
    /// Key of the place.
    #[prost(fixed32, tag = "1")]
    pub place: u32,
    /// Number that grows with each change.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// The entry VMs.
    #[prost(message, repeated, tag = "3")]
    pub vms: Vec<Vm>,
}

/// Demand of clients of one home and one priority.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HomeDemand {
    /// Key of the home; absent: the domain that reports.
    #[prost(fixed32, optional, tag = "1")]
    pub home: Option<u32>,
    /// Priority.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// Requests a second.
    #[prost(float, tag = "3")]
    pub rate_per_s: f32,
}

/// Load of one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceLoad {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests a second that the backend servers can run.
    #[prost(float, tag = "2")]
    pub capacity_per_s: f32,
    /// Requests that arrive.
    #[prost(message, repeated, tag = "3")]
    pub demand: Vec<HomeDemand>,
}

/// What a member and those below it in the tree report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Members counted.
    #[prost(uint32, tag = "1")]
    pub members: u32,
    /// Lowest version of the configuration among them.
    #[prost(uint64, tag = "2")]
    pub config_version_min: u64,
    /// Some of those that are behind.
    #[prost(string, repeated, tag = "3")]
    pub behind: Vec<String>,
    /// Load of each service.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<ServiceLoad>,
}

/// Load of a domain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DomainLoad {
    /// Key of the place.
    #[prost(fixed32, tag = "1")]
    pub place: u32,
    /// Number that grows with each report.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// The reports added up.
    #[prost(message, optional, tag = "3")]
    pub report: Option<Report>,
}

/// What rides on every probe and answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Gossip {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub me: Option<Record>,
    /// Claims about members.
    #[prost(message, repeated, tag = "2")]
    pub news: Vec<Record>,
    /// Hash over the sender's live members.
    #[prost(fixed64, tag = "3")]
    pub table_hash: u64,
    /// How new the sender's summaries are.
    #[prost(message, repeated, tag = "4")]
    pub heads: Vec<Head>,
    /// Newer rosters.
    #[prost(message, repeated, tag = "5")]
    pub rosters: Vec<Roster>,
    /// Newer loads.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<DomainLoad>,
}

/// Asks a helper to probe another member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Relay {
    /// IP address of the member to probe.
    #[prost(bytes = "bytes", tag = "1")]
    pub ip: bytes::Bytes,
    /// Its port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// The asking side.
    #[prost(message, optional, tag = "3")]
    pub gossip: Option<Gossip>,
}

/// Load of the sender and of those that report to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reported {
    /// The sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The load.
    #[prost(message, optional, tag = "2")]
    pub report: Option<Report>,
}

/// A message to another member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The message.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<Body>,
}

/// Every message there is.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks for an answer.
    #[prost(message, tag = "1")]
    Ping(Gossip),
    /// Answers a probe.
    #[prost(message, tag = "2")]
    Ack(Gossip),
    /// Brings what the other side lacks.
    #[prost(message, tag = "3")]
    Push(Gossip),
    /// Asks a helper to probe.
    #[prost(message, tag = "4")]
    Relay(Relay),
    /// Passes load up the tree.
    #[prost(message, tag = "5")]
    Reported(Reported),
}
