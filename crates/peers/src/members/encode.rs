//! Between the membership's own types and their encoding.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use prost::Message as _;
use wire::members as wire;
use world::{EntryVm, Error, Kind, MachineName, Place};

use crate::members::domains::{DomainLoad, Head, Roster, Update};
use crate::members::message::{Gossip, Message};
use crate::members::record::{PlaceKey, Record, Standing};
use crate::members::report::{HomeDemand, Report, ServiceLoad};

const STANDINGS: [Standing; 4] = [
    Standing::Alive,
    Standing::Suspect,
    Standing::Dead,
    Standing::Left,
];

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Bytes {
    let body = match message {
        Message::Ping(gossip) => wire::Body::Ping(gossip_out(gossip)),
        Message::Ack(gossip) => wire::Body::Ack(gossip_out(gossip)),
        Message::Push(gossip) => wire::Body::Push(gossip_out(gossip)),
        Message::Relay { target, gossip } => wire::Body::Relay(wire::Relay {
            ip: ip_out(target.ip()),
            port: u32::from(target.port()),
            gossip: Some(gossip_out(gossip)),
        }),
        Message::Report { from, report } => wire::Body::Reported(wire::Reported {
            from: from.to_string(),
            report: Some(report_out(report)),
        }),
    };
    wire::Message { body: Some(body) }.encode_to_vec().into()
}

/// Decodes a message.
///
/// # Errors
/// [`Kind::BadRequest`] when the bytes are no such message.
pub fn decode(bytes: Bytes) -> Result<Message, Error> {
    let message = wire::Message::decode(bytes).map_err(|e| bad(e.to_string()))?;
    Ok(match message.body.ok_or_else(|| bad("empty message"))? {
        wire::Body::Ping(gossip) => Message::Ping(gossip_in(gossip)?),
        wire::Body::Ack(gossip) => Message::Ack(gossip_in(gossip)?),
        wire::Body::Push(gossip) => Message::Push(gossip_in(gossip)?),
        wire::Body::Relay(relay) => Message::Relay {
            target: SocketAddr::new(ip_in(&relay.ip)?, port_in(relay.port)?),
            gossip: gossip_in(relay.gossip.unwrap_or_default())?,
        },
        wire::Body::Reported(reported) => Message::Report {
            from: MachineName::new(&reported.from)?,
            report: report_in(&reported.report.unwrap_or_default())?,
        },
    })
}

fn bad(detail: impl Into<String>) -> Error {
    Error::new(Kind::BadRequest, detail)
}

fn gossip_out(gossip: &Gossip) -> wire::Gossip {
    let mut out = wire::Gossip {
        me: Some(record_out(&gossip.me)),
        news: gossip.news.iter().map(record_out).collect(),
        table_hash: gossip.table_hash,
        heads: gossip.heads.iter().map(head_out).collect(),
        rosters: Vec::new(),
        loads: Vec::new(),
    };
    for update in &gossip.updates {
        match update {
            Update::Roster(roster) => out.rosters.push(wire::Roster {
                place: roster.place.0,
                seq: roster.seq,
                vms: roster.vms.iter().map(|vm| vm_out(vm)).collect(),
            }),
            Update::Load(load) => out.loads.push(wire::DomainLoad {
                place: load.place.0,
                seq: load.seq,
                report: Some(report_out(&load.report)),
            }),
        }
    }
    out
}

fn gossip_in(gossip: wire::Gossip) -> Result<Gossip, Error> {
    let mut updates = Vec::new();
    for roster in gossip.rosters {
        let vms: Result<Vec<_>, Error> = roster.vms.iter().map(vm_in).collect();
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
            report: report_in(&load.report.unwrap_or_default())?,
        })));
    }
    let news: Result<Vec<_>, Error> = gossip.news.into_iter().map(record_in).collect();
    Ok(Gossip {
        me: record_in(gossip.me.ok_or_else(|| bad("no sender"))?)?,
        news: news?,
        table_hash: gossip.table_hash,
        heads: gossip.heads.iter().map(head_in).collect(),
        updates,
    })
}

fn record_out(record: &Record) -> wire::Record {
    let standing = STANDINGS
        .iter()
        .zip(0..)
        .find(|(s, _)| **s == record.standing);
    wire::Record {
        vm: Some(vm_out(&record.vm)),
        incarnation: record.incarnation,
        standing: standing.map_or(0, |(_, number)| number),
    }
}

fn record_in(record: wire::Record) -> Result<Record, Error> {
    let index = usize::try_from(record.standing).unwrap_or(usize::MAX);
    let standing = STANDINGS
        .get(index)
        .ok_or_else(|| bad("unknown standing"))?;
    Ok(Record {
        vm: vm_in(&record.vm.ok_or_else(|| bad("record without a machine"))?)?,
        incarnation: record.incarnation,
        standing: *standing,
    })
}

fn vm_out(vm: &EntryVm) -> wire::Vm {
    let front = vm.front_addr.ip();
    let unless_front = |ip: IpAddr| {
        if ip == front {
            Bytes::new()
        } else {
            ip_out(ip)
        }
    };
    wire::Vm {
        name: vm.name.to_string(),
        region: vm.place.region.to_string(),
        domain: vm.place.domain.to_string(),
        front_ip: ip_out(front),
        front_port: u32::from(vm.front_addr.port()),
        desk_ip: unless_front(vm.desk_addr.ip()),
        desk_port: u32::from(vm.desk_addr.port()),
        link_ip: unless_front(vm.link_addr.ip()),
        link_port: u32::from(vm.link_addr.port()),
    }
}

fn vm_in(vm: &wire::Vm) -> Result<Arc<EntryVm>, Error> {
    let front = ip_in(&vm.front_ip)?;
    let or_front = |bytes: &Bytes| {
        if bytes.is_empty() {
            Ok(front)
        } else {
            ip_in(bytes)
        }
    };
    Ok(Arc::new(EntryVm {
        name: MachineName::new(&vm.name)?,
        place: Place::new(vm.region.parse()?, vm.domain.parse()?),
        front_addr: SocketAddr::new(front, port_in(vm.front_port)?),
        desk_addr: SocketAddr::new(or_front(&vm.desk_ip)?, port_in(vm.desk_port)?),
        link_addr: SocketAddr::new(or_front(&vm.link_ip)?, port_in(vm.link_port)?),
    }))
}

fn ip_out(ip: IpAddr) -> Bytes {
    match ip {
        IpAddr::V4(v4) => Bytes::copy_from_slice(&v4.octets()),
        IpAddr::V6(v6) => Bytes::copy_from_slice(&v6.octets()),
    }
}

fn ip_in(bytes: &Bytes) -> Result<IpAddr, Error> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes.as_ref()) {
        return Ok(octets.into());
    }
    let octets = <[u8; 16]>::try_from(bytes.as_ref());
    octets.map(IpAddr::from).map_err(|_| bad("bad IP address"))
}

fn port_in(port: u32) -> Result<u16, Error> {
    u16::try_from(port).map_err(|_| bad("bad port"))
}

fn head_out(head: &Head) -> wire::Head {
    wire::Head {
        place: head.place.0,
        roster: head.roster,
        load: head.load,
    }
}

fn head_in(head: &wire::Head) -> Head {
    Head {
        place: PlaceKey(head.place),
        roster: head.roster,
        load: head.load,
    }
}

fn report_out(report: &Report) -> wire::Report {
    wire::Report {
        members: report.members,
        config_version_min: report.config_version_min,
        behind: report.behind.iter().map(ToString::to_string).collect(),
        services: report.services.iter().map(service_out).collect(),
    }
}

fn report_in(report: &wire::Report) -> Result<Report, Error> {
    let behind: Result<Vec<_>, Error> = report.behind.iter().map(|n| MachineName::new(n)).collect();
    let services: Result<Vec<_>, Error> = report.services.iter().map(service_in).collect();
    Ok(Report {
        members: report.members,
        config_version_min: report.config_version_min,
        behind: behind?,
        services: services?,
    })
}

fn service_out(load: &ServiceLoad) -> wire::ServiceLoad {
    let demand = load.demand.iter().map(|d| wire::HomeDemand {
        home: d.home.map(|home| home.0),
        priority: u32::from(d.priority),
        rate_per_s: narrow(d.rate_per_s),
    });
    wire::ServiceLoad {
        service: load.service.to_string(),
        capacity_per_s: narrow(load.capacity_per_s),
        demand: demand.collect(),
    }
}

fn service_in(load: &wire::ServiceLoad) -> Result<ServiceLoad, Error> {
    let demand: Result<Vec<_>, Error> = load.demand.iter().map(demand_in).collect();
    Ok(ServiceLoad {
        service: load.service.parse()?,
        capacity_per_s: rate_in(load.capacity_per_s)?,
        demand: demand?,
    })
}

fn demand_in(demand: &wire::HomeDemand) -> Result<HomeDemand, Error> {
    Ok(HomeDemand {
        home: demand.home.map(PlaceKey),
        priority: u8::try_from(demand.priority).map_err(|_| bad("bad priority"))?,
        rate_per_s: rate_in(demand.rate_per_s)?,
    })
}

/// Seven digits of a rate are enough.
#[allow(clippy::cast_possible_truncation, reason = "meant")]
fn narrow(rate_per_s: f64) -> f32 {
    rate_per_s as f32
}

fn rate_in(rate_per_s: f32) -> Result<f64, Error> {
    let rate_per_s = f64::from(rate_per_s);
    if rate_per_s.is_finite() && rate_per_s >= 0.0 {
        return Ok(rate_per_s);
    }
    Err(bad("bad rate"))
}
