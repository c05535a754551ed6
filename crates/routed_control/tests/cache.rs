//! The cache file: loaded servers count as cold, findings come back as they were, and a
//! damaged file is an error.

use balancer::{Fingerprint, Mark};
use discovery::{EntryRow, Finding, ServerRow};
use routed_control::cache::{Cache, CachedRows};
use world::{DomainName, MachineName, Place, RegionName, ServerName, ServiceName};

fn row() -> ServerRow {
    let region = RegionName::new("north").unwrap();
    ServerRow {
        name: ServerName::new("s1").unwrap(),
        service: ServiceName::new("slots").unwrap(),
        addr: ([10, 0, 0, 1], 80).into(),
        place: Place::new(region, DomainName::new("north-a").unwrap()),
        slots: 4,
        draining: false,
        cold_ms: 0,
        born_ms: 7,
        sequence: 40,
    }
}

fn rows() -> CachedRows {
    let mark = Mark {
        fingerprint: Fingerprint(666),
        convicted: true,
        crash_id: 9,
        sole: true,
        left_ms: 60_000,
    };
    let entry = EntryRow {
        name: MachineName::new("e1").unwrap(),
        front: ([10, 0, 0, 9], 80).into(),
        place: row().place,
        leaving: false,
        busy_percent: 10,
        born_ms: 3,
        sequence: 70,
    };
    CachedRows {
        servers: vec![row()],
        findings: vec![Finding::Crash(mark)],
        entries: vec![entry],
    }
}

#[test]
fn servers_come_back_cold_and_any_announcement_is_newer() {
    let dir = tempfile::tempdir().unwrap();
    let cache = Cache::new(dir.path());
    cache.save(&rows()).unwrap();
    let loaded = cache.load().unwrap();
    let server = &loaded.servers[0];
    assert_eq!((server.born_ms, server.sequence), (7, 0));
    assert!(server.cold_ms >= 1_000);
    assert_eq!(loaded.findings, rows().findings);
    let entry = &loaded.entries[0];
    assert_eq!((entry.born_ms, entry.sequence), (3, 0));
}

#[test]
fn a_truncated_or_missing_file_is_an_error() {
    let dir = tempfile::tempdir().unwrap();
    let cache = Cache::new(dir.path());
    assert!(cache.load().is_err());
    cache.save(&rows()).unwrap();
    let file = dir.path().join("servers.cache");
    let bytes = std::fs::read(&file).unwrap();
    for len in 0..bytes.len() {
        std::fs::write(&file, &bytes[..len]).unwrap();
        assert!(cache.load().is_err(), "{len} bytes");
    }
}

/// A file of the version before entry VMs ends with the findings.
#[test]
fn a_file_without_entry_vms_gives_servers_and_findings() {
    let dir = tempfile::tempdir().unwrap();
    let CachedRows {
        servers, findings, ..
    } = rows();
    let rows = postcard::to_stdvec(&(servers, findings)).unwrap();
    let sum = crc32fast::hash(&rows).to_le_bytes();
    std::fs::write(dir.path().join("servers.cache"), [&sum[..], &rows].concat()).unwrap();
    let loaded = Cache::new(dir.path()).load().unwrap();
    let counts = (
        loaded.servers.len(),
        loaded.findings.len(),
        loaded.entries.len(),
    );
    assert_eq!(counts, (1, 1, 0));
}

/// A file of the version before findings ends with the servers.
#[test]
fn a_file_without_findings_gives_the_servers() {
    let dir = tempfile::tempdir().unwrap();
    let servers = postcard::to_stdvec(&[row()][..]).unwrap();
    let sum = crc32fast::hash(&servers).to_le_bytes();
    let bytes = [&sum[..], &servers].concat();
    std::fs::write(dir.path().join("servers.cache"), bytes).unwrap();
    let loaded = Cache::new(dir.path()).load().unwrap();
    assert_eq!((loaded.servers.len(), loaded.findings.len()), (1, 0));
}
