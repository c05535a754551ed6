//! Encoding of membership messages as protobuf (`wire::members`).

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use prost::Message as _;
use wire::members as wire;
use world::{EntryVm, Error, ErrorKind, MachineName, Place};

use crate::members::domains::{DomainLoad, Roster, SummaryVersion, Update};
use crate::members::message::{Gossip, Message};
use crate::members::record::{MemberState, PlaceKey, Record};
use crate::members::report::{HomeDemand, Report, ServiceLoad};

/// The number of a member's state on the wire is its index here.
const STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Dead,
    MemberState::Left,
];

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Bytes {
    let body = match message {
        Message::Ping(gossip) => wire::Body::Ping(encode_gossip(gossip)),
        Message::Ack(gossip) => wire::Body::Ack(encode_gossip(gossip)),
        Message::Push(gossip) => wire::Body::Push(encode_gossip(gossip)),
        Message::PingReq { target, gossip } => wire::Body::PingReq(wire::PingReq {
            ip: encode_ip(target.ip()),
            port: u32::from(target.port()),
            gossip: Some(encode_gossip(gossip)),
        }),
        Message::Report { from, report } => wire::Body::Report(wire::LoadReport {
            from: from.to_string(),
            report: Some(encode_report(report)),
        }),
    };
    wire::Message { body: Some(body) }.encode_to_vec().into()
}

/// Decodes a message.
///
/// # Errors
/// [`ErrorKind::BadRequest`] when the bytes are not a valid membership message.
pub fn decode(bytes: Bytes) -> Result<Message, Error> {
    let message = wire::Message::decode(bytes).map_err(|e| bad(e.to_string()))?;
    Ok(match message.body.ok_or_else(|| bad("empty message"))? {
        wire::Body::Ping(gossip) => Message::Ping(decode_gossip(gossip)?),
        wire::Body::Ack(gossip) => Message::Ack(decode_gossip(gossip)?),
        wire::Body::Push(gossip) => Message::Push(decode_gossip(gossip)?),
        wire::Body::PingReq(ping_req) => Message::PingReq {
            target: SocketAddr::new(decode_ip(&ping_req.ip)?, decode_port(ping_req.port)?),
            gossip: decode_gossip(ping_req.gossip.unwrap_or_default())?,
        },
        wire::Body::Report(report) => Message::Report {
            from: MachineName::new(&report.from)?,
            report: decode_report(&report.report.unwrap_or_default())?,
        },
    })
}

fn bad(detail: impl Into<String>) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}

fn encode_gossip(gossip: &Gossip) -> wire::Gossip {
    let mut out = wire::Gossip {
        me: Some(encode_record(&gossip.me)),
        records: gossip.records.iter().map(encode_record).collect(),
        table_hash: gossip.table_hash,
        versions: gossip.versions.iter().map(encode_version).collect(),
        rosters: Vec::new(),
        loads: Vec::new(),
    };
    for update in &gossip.updates {
        match update {
            Update::Roster(roster) => out.rosters.push(wire::Roster {
                place: roster.place.0,
                seq: roster.seq,
                vms: roster.vms.iter().map(|vm| encode_vm(vm)).collect(),
            }),
            Update::Load(load) => out.loads.push(wire::DomainLoad {
                place: load.place.0,
                seq: load.seq,
                report: Some(encode_report(&load.report)),
            }),
        }
    }
    out
}

fn decode_gossip(gossip: wire::Gossip) -> Result<Gossip, Error> {
    let mut updates = Vec::new();
    for roster in gossip.rosters {
        let vms: Result<Vec<_>, Error> = roster.vms.iter().map(decode_vm).collect();
        updates.push(Update::Roster(Arc::new(Roster {
            place: PlaceKey(roster.place),
            seq: roster.seq,
            vms: vms?,
        })));
    }
    for load in gossip.loads {
        updates.push(Update::Load(Arc::new(DomainLoad {
            place: PlaceKey(load.place),
            seq: load.seq,
            report: decode_report(&load.report.unwrap_or_default())?,
        })));
    }
    let records: Result<Vec<_>, Error> = gossip.records.into_iter().map(decode_record).collect();
    Ok(Gossip {
        me: decode_record(gossip.me.ok_or_else(|| bad("no sender"))?)?,
        records: records?,
        table_hash: gossip.table_hash,
        versions: gossip.versions.iter().map(decode_version).collect(),
        updates,
    })
}

fn encode_record(record: &Record) -> wire::Record {
    let number = STATES.iter().zip(0..).find(|(s, _)| **s == record.state);
    wire::Record {
        vm: Some(encode_vm(&record.vm)),
        incarnation: record.incarnation,
        state: number.map_or(0, |(_, number)| number),
    }
}

fn decode_record(record: wire::Record) -> Result<Record, Error> {
    let index = usize::try_from(record.state).unwrap_or(usize::MAX);
    let state = STATES.get(index).ok_or_else(|| bad("unknown standing"))?;
    Ok(Record {
        vm: decode_vm(&record.vm.ok_or_else(|| bad("record without a machine"))?)?,
        incarnation: record.incarnation,
        state: *state,
    })
}

fn encode_vm(vm: &EntryVm) -> wire::Vm {
    let front = vm.front_addr.ip();
    // An address equal to the front address is left out to save bytes.
    let unless_front = |ip: IpAddr| {
        if ip == front {
            Bytes::new()
        } else {
            encode_ip(ip)
        }
    };
    wire::Vm {
        name: vm.name.to_string(),
        region: vm.place.region.to_string(),
        domain: vm.place.domain.to_string(),
        front_ip: encode_ip(front),
        front_port: u32::from(vm.front_addr.port()),
        desk_ip: unless_front(vm.desk_addr.ip()),
        desk_port: u32::from(vm.desk_addr.port()),
        link_ip: unless_front(vm.link_addr.ip()),
        link_port: u32::from(vm.link_addr.port()),
    }
}

fn decode_vm(vm: &wire::Vm) -> Result<Arc<EntryVm>, Error> {
    let front = decode_ip(&vm.front_ip)?;
    let or_front = |bytes: &Bytes| {
        if bytes.is_empty() {
            Ok(front)
        } else {
            decode_ip(bytes)
        }
    };
    Ok(Arc::new(EntryVm {
        name: MachineName::new(&vm.name)?,
        place: Place::new(vm.region.parse()?, vm.domain.parse()?),
        front_addr: SocketAddr::new(front, decode_port(vm.front_port)?),
        desk_addr: SocketAddr::new(or_front(&vm.desk_ip)?, decode_port(vm.desk_port)?),
        link_addr: SocketAddr::new(or_front(&vm.link_ip)?, decode_port(vm.link_port)?),
    }))
}

fn encode_ip(ip: IpAddr) -> Bytes {
    match ip {
        IpAddr::V4(v4) => Bytes::copy_from_slice(&v4.octets()),
        IpAddr::V6(v6) => Bytes::copy_from_slice(&v6.octets()),
    }
}

fn decode_ip(bytes: &Bytes) -> Result<IpAddr, Error> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes.as_ref()) {
        return Ok(octets.into());
    }
    let octets = <[u8; 16]>::try_from(bytes.as_ref());
    octets.map(IpAddr::from).map_err(|_| bad("bad IP address"))
}

fn decode_port(port: u32) -> Result<u16, Error> {
    u16::try_from(port).map_err(|_| bad("bad port"))
}

fn encode_version(version: &SummaryVersion) -> wire::SummaryVersion {
    wire::SummaryVersion {
        place: version.place.0,
        roster: version.roster,
        load: version.load,
    }
}

fn decode_version(version: &wire::SummaryVersion) -> SummaryVersion {
    SummaryVersion {
        place: PlaceKey(version.place),
        roster: version.roster,
        load: version.load,
    }
}

fn encode_report(report: &Report) -> wire::Report {
    wire::Report {
        members: report.members,
        config_version_min: report.config_version_min,
        behind: report.behind.iter().map(ToString::to_string).collect(),
        services: report.services.iter().map(encode_service).collect(),
    }
}

fn decode_report(report: &wire::Report) -> Result<Report, Error> {
    let behind: Result<Vec<_>, Error> = report.behind.iter().map(|n| MachineName::new(n)).collect();
    let services: Result<Vec<_>, Error> = report.services.iter().map(decode_service).collect();
    Ok(Report {
        members: report.members,
        config_version_min: report.config_version_min,
        behind: behind?,
        services: services?,
    })
}

fn encode_service(load: &ServiceLoad) -> wire::ServiceLoad {
    let demand = load.demand.iter().map(|d| wire::HomeDemand {
        home: d.home.map(|home| home.0),
        priority: u32::from(d.priority),
        rate_per_s: encode_rate(d.rate_per_s),
    });
    wire::ServiceLoad {
        service: load.service.to_string(),
        capacity_per_s: encode_rate(load.capacity_per_s),
        demand: demand.collect(),
    }
}

fn decode_service(load: &wire::ServiceLoad) -> Result<ServiceLoad, Error> {
    let demand: Result<Vec<_>, Error> = load.demand.iter().map(decode_demand).collect();
    Ok(ServiceLoad {
        service: load.service.parse()?,
        capacity_per_s: decode_rate(load.capacity_per_s)?,
        demand: demand?,
    })
}

fn decode_demand(demand: &wire::HomeDemand) -> Result<HomeDemand, Error> {
    Ok(HomeDemand {
        home: demand.home.map(PlaceKey),
        priority: u8::try_from(demand.priority).map_err(|_| bad("bad priority"))?,
        rate_per_s: decode_rate(demand.rate_per_s)?,
    })
}

/// Encodes a rate as `f32`; its seven digits are enough.
#[allow(clippy::cast_possible_truncation, reason = "seven digits are enough")]
fn encode_rate(rate_per_s: f64) -> f32 {
    rate_per_s as f32
}

fn decode_rate(rate_per_s: f32) -> Result<f64, Error> {
    let rate_per_s = f64::from(rate_per_s);
    if rate_per_s.is_finite() && rate_per_s >= 0.0 {
        return Ok(rate_per_s);
    }
    Err(bad("bad rate"))
}
