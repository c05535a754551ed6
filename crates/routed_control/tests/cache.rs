//! The cache file: loaded servers count as cold, findings come back as they were, and a
//! damaged file is an error.

use balancer::{Fingerprint, Mark};
use discovery::{Finding, ServerRow};
use routed_control::cache::{Cache, CachedRows};
use world::{DomainName, Place, RegionName, ServerName, ServiceName};

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
    CachedRows {
        servers: vec![row()],
        findings: vec![Finding::Crash(mark)],
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
