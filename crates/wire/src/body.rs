//! The messages.

use world::{Error, Kind};

/// Frame of every message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Number of the call; the reply carries the same. 0: no reply is wanted.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Version of the configuration that the sender has.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 24, 25, 26, 27, 28, 30, 31, 32, 33, 34, 35"
    )]
    pub body: Option<Body>,
}

/// Every message there is.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message of the side that accepted the connection.
    #[prost(message, tag = "10")]
    Challenge(Challenge),
    /// First message of the side that connected.
    #[prost(message, tag = "11")]
    Hello(Hello),
    /// Ends the opening: both sides have proved themselves.
    #[prost(message, tag = "12")]
    Welcome(Welcome),
    /// Heartbeat.
    #[prost(message, tag = "13")]
    Ping(Ping),
    /// Answer to a heartbeat.
    #[prost(message, tag = "14")]
    Pong(Pong),
    /// The call was refused.
    #[prost(message, tag = "15")]
    Refusal(Refusal),
    /// Asks for the configuration.
    #[prost(message, tag = "16")]
    ConfigAsk(ConfigAsk),
    /// Gives the configuration.
    #[prost(message, tag = "17")]
    ConfigGive(ConfigGive),
    /// A message between replicas of one group, in the group's own encoding.
    #[prost(message, tag = "18")]
    Group(Group),
    /// A message about membership.
    #[prost(message, tag = "19")]
    Members(Members),
    /// Asks the ledger.
    #[prost(message, tag = "20")]
    LedgerAsk(LedgerAsk),
    /// Answer of the ledger.
    #[prost(message, tag = "21")]
    LedgerGive(LedgerGive),
    /// Asks the leader of the configuration to accept a change.
    #[prost(message, tag = "24")]
    ChangeAsk(ChangeAsk),
    /// The change was accepted.
    #[prost(message, tag = "25")]
    ChangeGive(ChangeGive),
    /// Asks an entry VM for credits.
    #[prost(message, tag = "26")]
    CreditAsk(CreditAsk),
    /// Gives credits.
    #[prost(message, tag = "27")]
    CreditGive(CreditGive),
    /// Tells other entry VMs what one has seen.
    #[prost(message, tag = "28")]
    Notice(Notice),
    /// Asks for what changed in catalog and roster.
    #[prost(message, tag = "30")]
    FeedAsk(Feed),
    /// Gives what changed in catalog and roster.
    #[prost(message, tag = "31")]
    FeedGive(Feed),
    /// Asks the leader of the catalog to accept a command.
    #[prost(message, tag = "32")]
    CommandAsk(Command),
    /// The command was accepted.
    #[prost(message, tag = "33")]
    CommandGive(Applied),
    /// Asks the leader how far the catalog is committed.
    #[prost(message, tag = "34")]
    IndexAsk(IndexAsk),
    /// A point that everything acknowledged before the question lies below.
    #[prost(message, tag = "35")]
    IndexGive(Applied),
}

/// Opens a connection: a number that the other side binds its proof to.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Challenge {
    /// Random number of the accepting side.
    #[prost(fixed64, tag = "1")]
    pub nonce: u64,
}

/// Names the connecting side and proves that it has the secret.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Name of the connecting machine.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Proof bound to the accepting side's nonce.
    #[prost(bytes = "bytes", tag = "2")]
    pub proof: bytes::Bytes,
    /// Random number of the connecting side.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
}

/// Names the accepting side and proves that it has the secret.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    /// Name of the accepting machine.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Proof bound to the connecting side's nonce.
    #[prost(bytes = "bytes", tag = "2")]
    pub proof: bytes::Bytes,
}

/// Heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {}

/// A question or an answer of the feed, in the hub's encoding.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Feed {
    /// The message.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: bytes::Bytes,
}

/// A command of the catalog, in the catalog's encoding.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// The command.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: bytes::Bytes,
}

/// How far the log is applied.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Applied {
    /// Index in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
}

/// Asks the leader how far the catalog is committed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct IndexAsk {}

/// Answer to a heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {}

/// The call was refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refusal {
    /// Code of the error kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// What happened, for people.
    #[prost(string, tag = "2")]
    pub detail: String,
}

/// Asks for the configuration when it is above `have_version`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigAsk {
    /// Version that the asking side has.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
    /// Whether only the leader, confirmed by a majority, may answer.
    #[prost(bool, tag = "2")]
    pub confirmed: bool,
}

/// Asks the leader of the configuration to accept a change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeAsk {
    /// The change as JSON.
    #[prost(bytes = "bytes", tag = "1")]
    pub change_json: bytes::Bytes,
}

/// The change was accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeGive {
    /// Version that the change made.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Gives the configuration; empty when the asking side is up to date.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigGive {
    /// Version given.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The configuration as JSON, empty when nothing is new.
    #[prost(bytes = "bytes", tag = "2")]
    pub config_json: bytes::Bytes,
}

/// A message between replicas of one group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Group {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The message in the group's own encoding.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: bytes::Bytes,
}

/// A message about membership.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Members {
    /// The message in the encoding of the membership table.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: bytes::Bytes,
}

/// Asks the ledger.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerAsk {
    /// Name of the group that keeps the ledger.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The command in the ledger's own encoding.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// Answer of the ledger.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerGive {
    /// The outcome in the ledger's own encoding.
    #[prost(bytes = "bytes", tag = "1")]
    pub outcome: bytes::Bytes,
}

/// Asks an entry VM for credits: leave to hand it work for its backend servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditAsk {
    /// Service that the work is for.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Credits wanted at most.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
    /// Region of the asking VM.
    #[prost(string, tag = "3")]
    pub region: String,
}

/// Gives credits that follow each other by number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditGive {
    /// Number that differs with each start of the issuer.
    #[prost(fixed64, tag = "1")]
    pub epoch: u64,
    /// Number of the first credit.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// How many; 0: none now.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Time for which they hold, milliseconds, from before they were asked for.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
    /// Bytes that each allows over the link between the regions.
    #[prost(uint64, tag = "5")]
    pub bytes: u64,
    /// Slots of the service that the issuer has, free or taken.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
}

/// What one entry VM tells the others now and then; it wants no reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Notice {
    /// Demand of customers that it sees.
    #[prost(message, repeated, tag = "1")]
    pub demands: Vec<Demand>,
    /// Requests that crashed backend servers.
    #[prost(message, repeated, tag = "2")]
    pub marks: Vec<PoisonMark>,
    /// Digest of the entry VMs of its failure domain that it sees live, once it
    /// holds no slot by an older sight; 0 until then.
    #[prost(fixed64, tag = "3")]
    pub live_digest: u64,
}

/// Demand of one customer for one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Requests a second, admitted or not.
    #[prost(double, tag = "3")]
    pub rate_per_s: f64,
}

/// What is held against a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoisonMark {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Whether it is refused, not only run alone.
    #[prost(bool, tag = "2")]
    pub convicted: bool,
    /// Number of the crash that it is marked for.
    #[prost(fixed64, tag = "3")]
    pub crash_id: u64,
    /// Time that the mark still holds, milliseconds.
    #[prost(uint64, tag = "4")]
    pub left_ms: u64,
    /// Whether nothing else ran when the server crashed.
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
        let kind = Kind::from_code(&refusal.kind).unwrap_or(Kind::Internal);
        Self::new(kind, refusal.detail)
    }
}
