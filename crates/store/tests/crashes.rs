//! Crashes at every write, damaged bytes, full disks and locked files. The disk is simulated: it records its
//! operations, so that its state after any number of them can be reconstructed.

use std::io;
use std::sync::{Arc, Mutex};

use doorgrade_store::{FrontStore, Records, ServiceStore, StoreError};
use doorgrade_versions::VersionId;
use doorgrade_versions::seal::Seal;
use doorgrade_versions::service::Version;
use redb::StorageBackend;

const SEAL: Seal = Seal { key: 1, mac: [5; 32] };

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

/// A disk in memory that records each change, and rejects writes while it is full.
#[derive(Clone, Debug, Default)]
struct Disk {
    bytes: Arc<Mutex<Vec<u8>>>,
    ops: Arc<Mutex<Vec<Op>>>,
    full: Arc<Mutex<bool>>,
}

impl Disk {
    fn with_bytes(bytes: Vec<u8>) -> Disk {
        Disk { bytes: Arc::new(Mutex::new(bytes)), ..Disk::default() }
    }

    fn check_space(&self) -> io::Result<()> {
        if *self.full.lock().unwrap() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.bytes.lock().unwrap().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let bytes = self.bytes.lock().unwrap();
        let from = offset as usize;
        let chunk = bytes.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(chunk);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.check_space()?;
        self.bytes.lock().unwrap().resize(len as usize, 0);
        self.ops.lock().unwrap().push(Op::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.ops.lock().unwrap().push(Op::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check_space()?;
        let from = offset as usize;
        self.bytes.lock().unwrap()[from..from + data.len()].copy_from_slice(data);
        self.ops.lock().unwrap().push(Op::Write(offset, data.to_vec()));
        Ok(())
    }
}

/// The bytes on the disk after a crash that follows `count` operations. `lost`: 0 if no write is lost, 1 if each write
/// since the last sync is lost with a probability of a half, 2 if the last write is torn in the middle.
fn bytes_after_crash(start: &[u8], ops: &[Op], count: usize, lost: u8, rng: &mut fastrand::Rng) -> Vec<u8> {
    let mut bytes = start.to_vec();
    let synced = ops[..count].iter().rposition(|op| matches!(op, Op::Sync)).map_or(0, |at| at + 1);
    for (at, op) in ops[..count].iter().enumerate() {
        match op {
            Op::Length(len) => bytes.resize(*len as usize, 0),
            Op::Write(offset, data) => {
                let dropped = at >= synced && lost == 1 && rng.bool();
                let torn = at + 1 == count && lost == 2;
                let length = if dropped {
                    0
                } else if torn {
                    data.len() / 2
                } else {
                    data.len()
                };
                let from = *offset as usize;
                if bytes.len() >= from + length {
                    bytes[from..from + length].copy_from_slice(&data[..length]);
                }
            }
            Op::Sync => {}
        }
    }
    bytes
}

fn content(text: &str) -> Arc<[u8]> {
    format!("{text}\n").repeat(300).into_bytes().into()
}

#[test]
fn a_front_that_crashes_at_any_write_finds_a_complete_good_version() {
    let disk = Disk::default();
    let store = FrontStore::new(Records::with_backend(disk.clone()).unwrap());
    let (one, two) = (content("one"), content("two"));
    let (id_one, id_two) = (VersionId::of(1, 1, &one), VersionId::of(1, 2, &two));
    store.put_last_good(id_one, SEAL, &one).unwrap();
    let start = disk.bytes.lock().unwrap().clone();
    disk.ops.lock().unwrap().clear();
    store.stage(id_two, 0).unwrap();
    store.put_last_good(id_two, SEAL, &two).unwrap();
    let ops = disk.ops.lock().unwrap().clone();
    let (mut points, mut rng, mut seen) = (0, fastrand::Rng::with_seed(3), [0; 3]);
    for count in 0..=ops.len() {
        for lost in 0..3 {
            for _ in 0..if lost == 1 { 8 } else { 1 } {
                points += 1;
                let bytes = bytes_after_crash(&start, &ops, count, lost, &mut rng);
                let records =
                    Records::with_backend(Disk::with_bytes(bytes)).expect("the store opens after any crash");
                let (found, errors) = FrontStore::new(records).load();
                assert_eq!(errors, []);
                let (id, _, stored) = found.last_good.expect("a good version");
                let state = match (id, found.staged) {
                    (id, None) if id == id_one => 0,
                    (id, Some((staged, 0))) if id == id_one && staged == id_two => 1,
                    (id, None) if id == id_two => 2,
                    other => panic!("after {count} of {}: {other:?}", ops.len()),
                };
                assert_eq!(stored, if state == 2 { two.clone() } else { one.clone() });
                seen[state] += 1;
            }
        }
    }
    assert!(points > 50 && seen.iter().all(|&n| n > 0), "{points} points, {seen:?}");
}

#[test]
fn flipped_bits_are_detected_and_no_damaged_version_is_returned() {
    let disk = Disk::default();
    let store = FrontStore::new(Records::with_backend(disk.clone()).unwrap());
    let one = content("one");
    let id = VersionId::of(1, 1, &one);
    store.put_last_good(id, SEAL, &one).unwrap();
    drop(store);
    let intact = disk.bytes.lock().unwrap().clone();
    let mut rng = fastrand::Rng::with_seed(9);
    let nonzero: Vec<usize> = (0..intact.len()).filter(|&at| intact[at] != 0).collect();
    let (mut detected, mut harmless) = (0, 0);
    // redb may panic on a damaged file. The store catches that, and the messages are suppressed here.
    std::panic::set_hook(Box::new(|_| {}));
    for round in 0..400 {
        let mut bytes = intact.clone();
        if round % 8 == 7 {
            bytes.truncate(rng.usize(0..intact.len()));
        } else {
            bytes[nonzero[rng.usize(0..nonzero.len())]] ^= 1 << rng.u8(0..8);
        }
        match Records::with_backend(Disk::with_bytes(bytes)) {
            Err(_) => detected += 1,
            Ok(records) => match FrontStore::new(records).load() {
                (found, _) if found.last_good.is_none() => detected += 1,
                (found, _) => {
                    assert_eq!(
                        found.last_good,
                        Some((id, SEAL, one.clone())),
                        "the version that is returned is the one that was stored"
                    );
                    harmless += 1;
                }
            },
        }
    }
    let _ = std::panic::take_hook();
    assert!(detected > 40, "{detected} damages detected, {harmless} without effect");
}

#[test]
fn a_full_disk_fails_the_write_and_keeps_what_was_stored() {
    let disk = Disk::default();
    let store = FrontStore::new(Records::with_backend(disk.clone()).unwrap());
    let (one, two): (Arc<[u8]>, Arc<[u8]>) = (content("one"), vec![7; 4 << 20].into());
    let (id_one, id_two) = (VersionId::of(1, 1, &one), VersionId::of(1, 2, &two));
    store.put_last_good(id_one, SEAL, &one).unwrap();
    *disk.full.lock().unwrap() = true;
    assert!(matches!(store.put_last_good(id_two, SEAL, &two), Err(StoreError::Failed(_))));
    drop(store);
    *disk.full.lock().unwrap() = false;
    let reopened =
        FrontStore::new(Records::with_backend(Disk::with_bytes(disk.bytes.lock().unwrap().clone())).unwrap());
    assert_eq!(reopened.load().0.last_good, Some((id_one, SEAL, one)));
    reopened.put_last_good(id_two, SEAL, &two).unwrap();
    assert_eq!(reopened.load().0.last_good, Some((id_two, SEAL, two)));
}

/// After a failed write or sync, redb rejects all operations until the database is reopened.
#[test]
fn a_store_whose_disk_failed_for_a_while_can_be_written_and_read_again() {
    let disk = Disk::default();
    let backend = disk.clone();
    let store = FrontStore::new(Records::with_reopening_backend(move || Ok(backend.clone())).unwrap());
    let (one, two) = (content("one"), content("two"));
    let (id_one, id_two) = (VersionId::of(1, 1, &one), VersionId::of(1, 2, &two));
    store.put_last_good(id_one, SEAL, &one).unwrap();
    for round in 0..3 {
        *disk.full.lock().unwrap() = true;
        assert!(matches!(store.put_last_good(id_two, SEAL, &two), Err(StoreError::Failed(_))), "{round}");
        assert!(
            matches!(store.put_last_good(id_two, SEAL, &two), Err(StoreError::Failed(_))),
            "{round}: second write"
        );
        *disk.full.lock().unwrap() = false;
        assert_eq!(store.load().0.last_good, Some((id_one, SEAL, one.clone())), "{round}");
    }
    store.put_last_good(id_two, SEAL, &two).unwrap();
    assert_eq!(store.load().0.last_good, Some((id_two, SEAL, two)));
}

#[test]
fn a_file_that_is_not_a_store_is_moved_aside_and_reported() {
    let folder = std::env::temp_dir().join(format!("doorgrade-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("front.redb");
    std::fs::write(&path, b"this was never a store, and is long enough to be looked at".repeat(100)).unwrap();
    let (records, error) = Records::open(&path).unwrap();
    let Some(StoreError::SetAside(aside, _)) = error else { panic!("{error:?}") };
    assert!(aside.exists());
    let store = FrontStore::new(records);
    let one = content("one");
    store.put_last_good(VersionId::of(1, 1, &one), SEAL, &one).unwrap();
    drop(store);
    let (records, error) = Records::open(&path).unwrap();
    assert!(error.is_none() && FrontStore::new(records).load().0.last_good.is_some());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_service_loads_its_history_without_that_of_earlier_epochs() {
    let disk = Disk::default();
    let store = ServiceStore::new(Records::with_backend(disk.clone()).unwrap());
    assert_eq!(store.load().0.epoch, 0, "the store is empty");
    let version = |epoch, number| {
        let text = content(&format!("{epoch} {number}"));
        Version { id: VersionId::of(epoch, number, &text), content: text, note: "n".into(), published_at: 5 }
    };
    for number in 1..4 {
        store.put_version(&version(7, number)).unwrap();
    }
    store.put_state(7, Some(2), &None).unwrap();
    let (found, errors) = store.load();
    assert_eq!((found.epoch, found.base, found.versions.len(), errors), (7, Some(2), 3, vec![]));
    assert_eq!(found.versions[1], version(7, 2));
    store.put_version(&version(8, 1)).unwrap();
    store.put_state(8, None, &None).unwrap();
    let (found, _) = store.load();
    assert_eq!((found.epoch, found.versions), (8, vec![version(8, 1)]));
}

#[test]
fn a_store_that_is_already_open_is_not_touched() {
    let path = std::env::temp_dir().join(format!("doorgrade-{}-in-use.redb", std::process::id()));
    let (first, _) = Records::open(&path).unwrap();
    first.write(&[("a", vec![1])], &[]).unwrap();
    // It is not damaged, so it must not be moved aside.
    assert!(matches!(Records::open(&path), Err(StoreError::InUse)));
    assert_eq!(first.read("a").unwrap(), Some(vec![1]));
    drop(first);
    let (reopened, error) = Records::open(&path).unwrap();
    assert_eq!((reopened.read("a").unwrap(), error), (Some(vec![1]), None));
    drop(reopened);
    std::fs::remove_file(&path).unwrap();
}
