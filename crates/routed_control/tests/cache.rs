//! The server cache: loaded servers count as cold, and a damaged file is an error.

use discovery::ServerRow;
use routed_control::cache::Cache;
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

#[test]
fn servers_come_back_cold_and_any_announcement_is_newer() {
    let dir = tempfile::tempdir().unwrap();
    let cache = Cache::new(dir.path());
    cache.save(&[row()]).unwrap();
    let loaded = cache.load().unwrap();
    assert_eq!((loaded[0].born_ms, loaded[0].sequence), (7, 0));
    assert!(loaded[0].cold_ms >= 1_000);
}

#[test]
fn a_truncated_or_missing_file_is_an_error() {
    let dir = tempfile::tempdir().unwrap();
    let cache = Cache::new(dir.path());
    assert!(cache.load().is_err());
    cache.save(&[row()]).unwrap();
    let file = dir.path().join("servers.cache");
    let bytes = std::fs::read(&file).unwrap();
    for len in 0..bytes.len() {
        std::fs::write(&file, &bytes[..len]).unwrap();
        assert!(cache.load().is_err(), "{len} bytes");
    }
}
