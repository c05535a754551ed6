//! Tests of `FileDisk`: restarts, interrupted writes and damage.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use quorum::{
    Disk, DiskId, Entry, FileDisk, HardState, Members, Payload, Record, Snapshot, Stored,
};
use rstest::rstest;
use world::ErrorKind;

fn entry(index: u64, term: u64) -> Entry {
    let command: Arc<[u8]> = index.to_le_bytes().to_vec().into();
    let payload = Payload::Command(command);
    Entry {
        index,
        term,
        payload,
    }
}

fn batches() -> Vec<Vec<Record>> {
    let state = HardState {
        group: Some(DiskId(7)),
        term: 2,
        vote: None,
    };
    vec![
        vec![Record::State(state), Record::Append(entry(1, 1))],
        vec![Record::Append(entry(2, 1)), Record::Append(entry(3, 1))],
        vec![Record::Truncate(3), Record::Append(entry(3, 2))],
    ]
}

fn write(folder: &Path) -> DiskId {
    let mut disk = FileDisk::new(folder).expect("folder");
    let stored = disk.load().expect("new");
    for batch in batches() {
        disk.store(&batch).expect("stored");
    }
    stored.disk
}

fn load(folder: &Path) -> world::Result<Stored> {
    FileDisk::new(folder)?.load()
}

/// Content of a disk after the first `count` batches.
fn expected(disk: DiskId, count: usize) -> Stored {
    let mut stored = Stored::new(disk);
    for record in batches().into_iter().take(count).flatten() {
        stored.replay(record);
    }
    stored
}

/// Offsets at which the frames of the file end.
fn frame_ends(bytes: &[u8]) -> Vec<usize> {
    let mut ends = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let length = u32::from_le_bytes(bytes[at + 4..at + 8].try_into().expect("four bytes"));
        at += 12 + length as usize;
        ends.push(at);
    }
    ends
}

#[test]
fn records_outlive_a_restart() {
    let folder = tempfile::tempdir().expect("folder");
    let disk = write(folder.path());
    let stored = load(folder.path()).expect("loads");
    assert_eq!(stored, expected(disk, 3));
    let terms: Vec<u64> = stored.entries.iter().map(|e| e.term).collect();
    assert_eq!(terms, [1, 1, 2]);
}

#[test]
fn a_new_folder_has_a_new_identity() {
    let (one, two) = (
        tempfile::tempdir().expect("a"),
        tempfile::tempdir().expect("b"),
    );
    assert_ne!(write(one.path()), write(two.path()));
}

#[test]
fn two_processes_do_not_share_a_folder() {
    let folder = tempfile::tempdir().expect("folder");
    let _first = FileDisk::new(folder.path()).expect("folder");
    let second = FileDisk::new(folder.path()).expect_err("locked");
    assert_eq!(second.kind, ErrorKind::Damaged);
}

/// A crash during a write can leave the file truncated at any byte. The complete
/// batches before that must be kept, and the incomplete one dropped.
#[test]
fn a_torn_tail_is_cut() {
    let folder = tempfile::tempdir().expect("folder");
    let disk = write(folder.path());
    let path = folder.path().join("log");
    let whole = fs::read(&path).expect("log");
    let ends = frame_ends(&whole);
    for length in ends[0]..whole.len() {
        fs::write(&path, &whole[..length]).expect("write");
        let stored = load(folder.path()).expect("loads");
        let count = ends.iter().filter(|end| **end <= length).count() - 1;
        assert_eq!(stored, expected(disk, count), "cut at {length}");
    }
}

/// A batch written after a restart must follow the complete batches, not the
/// remains of the interrupted one.
#[test]
fn writing_goes_on_after_a_torn_tail() {
    let folder = tempfile::tempdir().expect("folder");
    let disk = write(folder.path());
    let path = folder.path().join("log");
    let whole = fs::read(&path).expect("log");
    fs::write(&path, &whole[..whole.len() - 3]).expect("write");
    let mut file = FileDisk::new(folder.path()).expect("folder");
    file.load().expect("loads");
    file.store(&batches()[2]).expect("stored");
    drop(file);
    assert_eq!(load(folder.path()).expect("loads"), expected(disk, 3));
}

/// A flipped byte anywhere before the last batch must be reported as damage, with
/// the offset of its frame, and not be dropped as an interrupted write.
#[rstest]
#[case::identity(0)]
#[case::first_batch(1)]
#[case::second_batch(2)]
fn damage_in_the_middle_is_reported(#[case] frame: usize) {
    let folder = tempfile::tempdir().expect("folder");
    write(folder.path());
    let path = folder.path().join("log");
    let whole = fs::read(&path).expect("log");
    let mut starts = vec![0];
    starts.extend(frame_ends(&whole));
    for at in starts[frame]..starts[frame + 1] {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        fs::write(&path, &bytes).expect("write");
        let error = load(folder.path()).expect_err("damaged");
        assert_eq!(error.kind, ErrorKind::Damaged);
        let offset = format!("at byte {}", starts[frame]);
        assert!(error.detail.contains(&offset), "{}", error.detail);
    }
}

#[test]
fn a_snapshot_replaces_the_file() {
    let folder = tempfile::tempdir().expect("folder");
    let disk = write(folder.path());
    let snapshot = Arc::new(Snapshot {
        index: 3,
        term: 2,
        members: Members::default(),
        state: vec![9; 100].into(),
    });
    let state = HardState::default();
    let records = [
        Record::Snapshot(Arc::clone(&snapshot)),
        Record::State(state),
        Record::Append(entry(4, 2)),
    ];
    {
        let mut file = FileDisk::new(folder.path()).expect("folder");
        file.load().expect("loads");
        file.store(&records).expect("stored");
        file.store(&[Record::Append(entry(5, 2))]).expect("stored");
    }
    // A crash during the write of a later snapshot leaves an incomplete new file.
    fs::write(folder.path().join("log.new"), b"WXQ1").expect("write");
    let stored = load(folder.path()).expect("loads");
    let entries = vec![entry(4, 2), entry(5, 2)];
    let snapshot = Some(snapshot);
    assert_eq!(
        stored,
        Stored {
            disk,
            state,
            snapshot,
            entries
        }
    );
}

/// Guards against a disk that accepts no write any more after one has failed, and
/// against records of the failed write being half there.
#[test]
fn writing_goes_on_after_a_failed_write() {
    let folder = tempfile::tempdir().expect("folder");
    let disk = write(folder.path());
    let mut file = FileDisk::new(folder.path()).expect("folder");
    file.load().expect("loads");
    let torn = [b"WXQ1".as_slice(), &[9; 20]].concat();
    let log = folder.path().join("log");
    let blocked = folder.path().join("log.new");
    fs::create_dir(&blocked).expect("folder");
    let snapshot = Record::Snapshot(Arc::new(Snapshot {
        index: 3,
        term: 2,
        members: Members::default(),
        state: vec![9; 100].into(),
    }));
    file.store(&[snapshot]).expect_err("no new file");
    let written = [fs::read(&log).expect("log"), torn].concat();
    fs::write(&log, written).expect("write");
    file.store(&[Record::Append(entry(4, 2))])
        .expect_err("not read back");
    file.recover().expect_err("no new file");
    fs::remove_dir(&blocked).expect("removed");
    assert_eq!(file.recover().expect("read back"), expected(disk, 3));
    file.store(&[Record::Append(entry(4, 2))]).expect("stored");
    drop(file);
    let mut with_entry = expected(disk, 3);
    with_entry.entries.push(entry(4, 2));
    assert_eq!(load(folder.path()).expect("loads"), with_entry);
}
