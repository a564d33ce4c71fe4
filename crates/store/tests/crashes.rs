//! Every point at which a crash may come: a disk that keeps a record of what it is asked to do stops after each.

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

/// A disk in memory that writes down each change, and has room for so much.
#[derive(Clone, Debug, Default)]
struct Disk {
    bytes: Arc<Mutex<Vec<u8>>>,
    ops: Arc<Mutex<Vec<Op>>>,
    full: Arc<Mutex<bool>>,
}

impl Disk {
    fn with(bytes: Vec<u8>) -> Disk {
        Disk { bytes: Arc::new(Mutex::new(bytes)), ..Disk::default() }
    }

    fn room(&self) -> io::Result<()> {
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
        let piece = bytes.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(piece);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.room()?;
        self.bytes.lock().unwrap().resize(len as usize, 0);
        self.ops.lock().unwrap().push(Op::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.ops.lock().unwrap().push(Op::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.room()?;
        let from = offset as usize;
        self.bytes.lock().unwrap()[from..from + data.len()].copy_from_slice(data);
        self.ops.lock().unwrap().push(Op::Write(offset, data.to_vec()));
        Ok(())
    }
}

/// The disk as it stands if it stops after so many changes; of those since the last sync it has lost some, or half
/// of the last one.
fn after(start: &[u8], ops: &[Op], count: usize, lost: u8, rng: &mut fastrand::Rng) -> Vec<u8> {
    let mut bytes = start.to_vec();
    let synced = ops[..count].iter().rposition(|op| matches!(op, Op::Sync)).map_or(0, |at| at + 1);
    for (at, op) in ops[..count].iter().enumerate() {
        match op {
            Op::Length(len) => bytes.resize(*len as usize, 0),
            Op::Write(offset, data) => {
                let gone = at >= synced && lost == 1 && rng.bool();
                let torn = at + 1 == count && lost == 2;
                let length = if gone {
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
fn a_front_that_stops_at_any_write_finds_a_good_version_whole() {
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
                let bytes = after(&start, &ops, count, lost, &mut rng);
                let records = Records::with_backend(Disk::with(bytes)).expect("it opens after any crash");
                let (found, troubles) = FrontStore::new(records).load();
                assert_eq!(troubles, []);
                let (id, _, kept) = found.last_good.expect("a good version");
                let state = match (id, found.staged) {
                    (id, None) if id == id_one => 0,
                    (id, Some((staged, 0))) if id == id_one && staged == id_two => 1,
                    (id, None) if id == id_two => 2,
                    other => panic!("after {count} of {}: {other:?}", ops.len()),
                };
                assert_eq!(kept, if state == 2 { two.clone() } else { one.clone() });
                seen[state] += 1;
            }
        }
    }
    assert!(points > 50 && seen.iter().all(|&n| n > 0), "{points} points, {seen:?}");
}

#[test]
fn bits_that_flip_are_found_and_nothing_wrong_is_run() {
    let disk = Disk::default();
    let store = FrontStore::new(Records::with_backend(disk.clone()).unwrap());
    let one = content("one");
    let id = VersionId::of(1, 1, &one);
    store.put_last_good(id, SEAL, &one).unwrap();
    drop(store);
    let sound = disk.bytes.lock().unwrap().clone();
    let mut rng = fastrand::Rng::with_seed(9);
    let used: Vec<usize> = (0..sound.len()).filter(|&at| sound[at] != 0).collect();
    let (mut found_out, mut unharmed) = (0, 0);
    // The store's own code may be led astray by a damaged file: that is caught, and need not be read here.
    std::panic::set_hook(Box::new(|_| {}));
    for round in 0..400 {
        let mut bytes = sound.clone();
        if round % 8 == 7 {
            bytes.truncate(rng.usize(0..sound.len()));
        } else {
            bytes[used[rng.usize(0..used.len())]] ^= 1 << rng.u8(0..8);
        }
        match Records::with_backend(Disk::with(bytes)) {
            Err(_) => found_out += 1,
            Ok(records) => match FrontStore::new(records).load() {
                (found, _) if found.last_good.is_none() => found_out += 1,
                (found, _) => {
                    assert_eq!(
                        found.last_good,
                        Some((id, SEAL, one.clone())),
                        "what is run is what was kept"
                    );
                    unharmed += 1;
                }
            },
        }
    }
    let _ = std::panic::take_hook();
    assert!(found_out > 40, "{found_out} found out, {unharmed} flips harmed nothing");
}

#[test]
fn a_full_disk_fails_the_write_and_nothing_else() {
    let disk = Disk::default();
    let store = FrontStore::new(Records::with_backend(disk.clone()).unwrap());
    let (one, two): (Arc<[u8]>, Arc<[u8]>) = (content("one"), vec![7; 4 << 20].into());
    let (id_one, id_two) = (VersionId::of(1, 1, &one), VersionId::of(1, 2, &two));
    store.put_last_good(id_one, SEAL, &one).unwrap();
    *disk.full.lock().unwrap() = true;
    assert!(matches!(store.put_last_good(id_two, SEAL, &two), Err(StoreError::Failed(_))));
    drop(store);
    *disk.full.lock().unwrap() = false;
    let again =
        FrontStore::new(Records::with_backend(Disk::with(disk.bytes.lock().unwrap().clone())).unwrap());
    assert_eq!(again.load().0.last_good, Some((id_one, SEAL, one)));
    again.put_last_good(id_two, SEAL, &two).unwrap();
    assert_eq!(again.load().0.last_good, Some((id_two, SEAL, two)));
}

/// The store's own code takes nothing more after one failed write or sync, until it is opened anew.
#[test]
fn a_store_whose_disk_failed_for_a_while_is_written_and_read_again() {
    let disk = Disk::default();
    let of = disk.clone();
    let store = FrontStore::new(Records::with_reopening_backend(move || Ok(of.clone())).unwrap());
    let (one, two) = (content("one"), content("two"));
    let (id_one, id_two) = (VersionId::of(1, 1, &one), VersionId::of(1, 2, &two));
    store.put_last_good(id_one, SEAL, &one).unwrap();
    for round in 0..3 {
        *disk.full.lock().unwrap() = true;
        assert!(matches!(store.put_last_good(id_two, SEAL, &two), Err(StoreError::Failed(_))), "{round}");
        assert!(
            matches!(store.put_last_good(id_two, SEAL, &two), Err(StoreError::Failed(_))),
            "{round}: tried again"
        );
        *disk.full.lock().unwrap() = false;
        assert_eq!(store.load().0.last_good, Some((id_one, SEAL, one.clone())), "{round}");
    }
    store.put_last_good(id_two, SEAL, &two).unwrap();
    assert_eq!(store.load().0.last_good, Some((id_two, SEAL, two)));
}

#[test]
fn a_file_that_is_no_store_is_set_aside_and_told() {
    let folder = std::env::temp_dir().join(format!("doorgrade-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("front.redb");
    std::fs::write(&path, b"this was never a store, and is long enough to be looked at".repeat(100)).unwrap();
    let (records, trouble) = Records::open(&path).unwrap();
    let Some(StoreError::SetAside(aside, _)) = trouble else { panic!("{trouble:?}") };
    assert!(aside.exists());
    let store = FrontStore::new(records);
    let one = content("one");
    store.put_last_good(VersionId::of(1, 1, &one), SEAL, &one).unwrap();
    drop(store);
    let (records, trouble) = Records::open(&path).unwrap();
    assert!(trouble.is_none() && FrontStore::new(records).load().0.last_good.is_some());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_service_finds_its_history_and_forgets_earlier_epochs() {
    let disk = Disk::default();
    let store = ServiceStore::new(Records::with_backend(disk.clone()).unwrap());
    assert_eq!(store.load().0.epoch, 0, "nothing yet");
    let version = |epoch, number| {
        let text = content(&format!("{epoch} {number}"));
        Version { id: VersionId::of(epoch, number, &text), content: text, note: "n".into(), published_at: 5 }
    };
    for number in 1..4 {
        store.put_version(&version(7, number)).unwrap();
    }
    store.put_state(7, Some(2), &None).unwrap();
    let (found, troubles) = store.load();
    assert_eq!((found.epoch, found.base, found.versions.len(), troubles), (7, Some(2), 3, vec![]));
    assert_eq!(found.versions[1], version(7, 2));
    store.put_version(&version(8, 1)).unwrap();
    store.put_state(8, None, &None).unwrap();
    let (found, _) = store.load();
    assert_eq!((found.epoch, found.versions), (8, vec![version(8, 1)]));
}

#[test]
fn a_store_that_is_open_elsewhere_is_left_alone() {
    let path = std::env::temp_dir().join(format!("doorgrade-{}-in-use.redb", std::process::id()));
    let (first, _) = Records::open(&path).unwrap();
    first.write(&[("a", vec![1])], &[]).unwrap();
    // Not set aside: it is neither damaged nor anybody else's to move.
    assert!(matches!(Records::open(&path), Err(StoreError::InUse)));
    assert_eq!(first.read("a").unwrap(), Some(vec![1]));
    drop(first);
    let (again, trouble) = Records::open(&path).unwrap();
    assert_eq!((again.read("a").unwrap(), trouble), (Some(vec![1]), None));
    drop(again);
    std::fs::remove_file(&path).unwrap();
}
