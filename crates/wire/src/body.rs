//! The envelope, and every message that it can carry.

use world::{Error, ErrorKind};

/// Envelope of every message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Call id; the response carries the id of its request. 0: one-way message without response.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Version of the sender's configuration.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Message in the envelope.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 24, 25, 26, 27, 28, 30, 31, 32, 33, 34, 35"
    )]
    pub body: Option<Body>,
}

/// Message in an [`Envelope`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First handshake message, sent by the side that accepted the connection.
    #[prost(message, tag = "10")]
    Challenge(Challenge),
    /// Second handshake message, sent by the side that opened the connection.
    #[prost(message, tag = "11")]
    Hello(Hello),
    /// Last handshake message, sent by the accepting side; both sides are then authenticated.
    #[prost(message, tag = "12")]
    Welcome(Welcome),
    /// Heartbeat request.
    #[prost(message, tag = "13")]
    Ping(Ping),
    /// Heartbeat response.
    #[prost(message, tag = "14")]
    Pong(Pong),
    /// Response to a call that failed.
    #[prost(message, tag = "15")]
    Refusal(Refusal),
    /// Requests the configuration.
    #[prost(message, tag = "16")]
    ConfigRequest(ConfigRequest),
    /// Response with the configuration.
    #[prost(message, tag = "17")]
    ConfigResponse(ConfigResponse),
    /// Message between replicas of one replica group.
    #[prost(message, tag = "18")]
    Group(Group),
    /// Message of the membership protocol.
    #[prost(message, tag = "19")]
    Members(Members),
    /// Command or lookup for the ledger.
    #[prost(message, tag = "20")]
    LedgerRequest(LedgerRequest),
    /// Response of the ledger.
    #[prost(message, tag = "21")]
    LedgerResponse(LedgerResponse),
    /// Requests that the leader of the configuration group accept a change.
    #[prost(message, tag = "24")]
    ChangeRequest(ChangeRequest),
    /// Response to an accepted change.
    #[prost(message, tag = "25")]
    ChangeResponse(ChangeResponse),
    /// Requests credits from an entry VM.
    #[prost(message, tag = "26")]
    CreditRequest(CreditRequest),
    /// Response with granted credits.
    #[prost(message, tag = "27")]
    CreditResponse(CreditResponse),
    /// One-way report of an entry VM's demand and poison marks to other entry VMs.
    #[prost(message, tag = "28")]
    StatusNotice(StatusNotice),
    /// Requests changes of the catalog and of the announced servers.
    #[prost(message, tag = "30")]
    FeedRequest(Feed),
    /// Response with changes of the catalog and of the announced servers.
    #[prost(message, tag = "31")]
    FeedResponse(Feed),
    /// Requests that the leader of the catalog group accept a command.
    #[prost(message, tag = "32")]
    CommandRequest(Command),
    /// Response to an accepted command.
    #[prost(message, tag = "33")]
    CommandResponse(LogIndex),
    /// Requests the committed index of the catalog's log from the leader.
    #[prost(message, tag = "34")]
    IndexRequest(IndexRequest),
    /// Response with a log index that covers every command acknowledged before the request.
    #[prost(message, tag = "35")]
    IndexResponse(LogIndex),
}

/// First handshake message: the nonce that the connecting side must use in its proof.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Challenge {
    /// Nonce chosen at random by the accepting side.
    #[prost(fixed64, tag = "1")]
    pub nonce: u64,
}

/// Second handshake message: names the connecting machine and proves that it knows the secret.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Name of the connecting machine.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Proof of the secret, computed with the accepting side's nonce.
    #[prost(bytes = "bytes", tag = "2")]
    pub proof: bytes::Bytes,
    /// Nonce chosen at random by the connecting side.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
}

/// Last handshake message: names the accepting machine and proves that it knows the secret.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    /// Name of the accepting machine.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Proof of the secret, computed with the connecting side's nonce.
    #[prost(bytes = "bytes", tag = "2")]
    pub proof: bytes::Bytes,
}

/// Heartbeat request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {}

/// Feed request or feed response, in the encoding of crate `routed_control`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Feed {
    /// Encoded message.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: bytes::Bytes,
    /// Encoded piece of the catalog, which many readers share; empty when there is none.
    #[prost(bytes = "bytes", tag = "2")]
    pub catalog: bytes::Bytes,
    /// Whether the payload and the piece of the catalog are packed.
    #[prost(bool, tag = "3")]
    pub packed: bool,
}

/// Command for the catalog, in the encoding of crate `catalog`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// Encoded command.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: bytes::Bytes,
}

/// Index in the catalog's log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogIndex {
    /// Log index; 0 in the response to a command.
    #[prost(uint64, tag = "1")]
    pub index: u64,
}

/// Requests the committed index of the catalog's log from the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct IndexRequest {}

/// Heartbeat response.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {}

/// Response to a call that failed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refusal {
    /// Code of the error kind, as in [`world::ErrorResponse::code`].
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Description of what happened.
    #[prost(string, tag = "2")]
    pub detail: String,
}

/// Requests the configuration if it is newer than `have_version`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    /// Version of the requesting side's configuration.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
    /// Whether only the leader may respond, after a majority has confirmed that it leads.
    #[prost(bool, tag = "2")]
    pub confirmed: bool,
}

/// Requests that the leader of the configuration group accept a change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeRequest {
    /// Change in JSON.
    #[prost(bytes = "bytes", tag = "1")]
    pub change_json: bytes::Bytes,
}

/// Response to an accepted change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeResponse {
    /// Version of the configuration that the change created.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Response with the configuration, if it is newer than the requesting side's.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigResponse {
    /// Version of the responding side's configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Configuration in JSON; empty if the requesting side is up to date.
    #[prost(bytes = "bytes", tag = "2")]
    pub config_json: bytes::Bytes,
}

/// Message between replicas of one replica group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Group {
    /// Name of the replica group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Message in the encoding of crate `quorum`.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: bytes::Bytes,
}

/// Message of the membership protocol.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Members {
    /// Encoded [`crate::members::Message`].
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: bytes::Bytes,
}

/// Command or lookup for the ledger.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerRequest {
    /// Name of the replica group that stores the ledger.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Command in the encoding of crate `idempotency`.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// Response of the ledger.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerResponse {
    /// Outcome of the command, in the encoding of crate `idempotency`.
    #[prost(bytes = "bytes", tag = "1")]
    pub outcome: bytes::Bytes,
}

/// Requests credits from an entry VM: permissions to forward requests to it for its backend
/// servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditRequest {
    /// Service that the requests are for.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Maximum number of credits to grant.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
    /// Region of the requesting VM.
    #[prost(string, tag = "3")]
    pub region: String,
}

/// Response with granted credits, which have consecutive numbers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditResponse {
    /// Epoch of the issuer, which differs after each of its starts.
    #[prost(fixed64, tag = "1")]
    pub epoch: u64,
    /// Number of the first credit.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// Number of credits; 0: none are available now.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Validity in milliseconds, counted by the requesting VM's clock from just before it sent the
    /// request.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
    /// Bytes that each credit allows on the network link between the regions.
    #[prost(uint64, tag = "5")]
    pub bytes: u64,
    /// Total number of the issuer's slots for the service, free or in use.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
}

/// Periodic one-way report of an entry VM to the other entry VMs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusNotice {
    /// Demand of customers that the sender observes.
    #[prost(message, repeated, tag = "1")]
    pub demands: Vec<Demand>,
    /// Poison marks of requests that have crashed backend servers.
    #[prost(message, repeated, tag = "2")]
    pub marks: Vec<PoisonMark>,
    /// Digest of the entry VMs of the sender's failure domain that it considers alive. 0 while
    /// the sender still uses slots of backend servers that it owned by an older set of live VMs.
    #[prost(fixed64, tag = "3")]
    pub live_digest: u64,
}

/// Request rate of one customer for one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Requests per second, both admitted and rejected.
    #[prost(double, tag = "3")]
    pub rate_per_s: f64,
}

/// Poison mark of a request that has crashed a backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoisonMark {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Whether the mark is confirmed. A request with a confirmed mark is refused; with a
    /// suspected mark it runs alone on a backend server.
    #[prost(bool, tag = "2")]
    pub convicted: bool,
    /// Id of the crash that caused the mark.
    #[prost(fixed64, tag = "3")]
    pub crash_id: u64,
    /// Time until the mark expires, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub left_ms: u64,
    /// Whether the request was the only one on the backend server when it crashed.
    #[prost(bool, tag = "5")]
    pub sole: bool,
}

impl From<&Error> for Refusal {
    fn from(error: &Error) -> Self {
        Self {
            kind: error.kind.to_string(),
            detail: error.detail.clone(),
        }
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        let kind = ErrorKind::from_code(&refusal.kind).unwrap_or(ErrorKind::Internal);
        Self::new(kind, refusal.detail)
    }
}
