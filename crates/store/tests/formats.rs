//! Records of earlier releases are read, and those of later releases are rejected with an error that names them. The
//! samples are bytes that the named release wrote, and must not be changed.

use std::path::PathBuf;

use doorgrade_store::{Records, ServiceStore, StoreError};
use doorgrade_versions::service::{SavedRollout, SavedTrials, StopReason};
use doorgrade_versions::{RejectionReason, VersionId};
use redb::{Database, ReadableDatabase, TableDefinition};

const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
const EPOCH: u64 = 17_000_000_000_000;

/// Written by commit c7e0452, which had no trials: two versions, the second one stopped in its first wave.
const WAVES: [(&str, &str); 3] = [
    (
        "state",
        "80a0d8f7e1ee0301010180a0d8f7e1ee030231c3ddbbe5706a1d9a8c2f97d3da410a98d51628c8c6e3cb4d61600d682bf8bb\
         0102026e31026e32010001020109686965726172636879",
    ),
    (
        "version/00000f761ef61000/0000000000000001",
        "80a0d8f7e1ee0301d5103f61bf2b6fe7936ee82752d683dbaba0f520ac7ada56c96a656c43feffc5176c6f67207b206c65766\
         56c203d2022696e666f22207d0a05666972737490eed8f7e1ee03",
    ),
    (
        "version/00000f761ef61000/0000000000000002",
        "80a0d8f7e1ee030231c3ddbbe5706a1d9a8c2f97d3da410a98d51628c8c6e3cb4d61600d682bf8bb176c6f67207b206c65766\
         56c203d20227761726e22207d0a067365636f6e64a0dcb1efc3dd07",
    ),
];

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

/// Creates a store file from records, each with its format number.
fn store_file(name: &str, records: &[(&str, u8, Vec<u8>)]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("doorgrade-{}-{name}.redb", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let database = Database::create(&path).unwrap();
    let write = database.begin_write().unwrap();
    for (key, format, payload) in records {
        let record = [&[*format][..], blake3::hash(payload).as_bytes(), payload].concat();
        write.open_table(RECORDS).unwrap().insert(key, record.as_slice()).unwrap();
    }
    write.commit().unwrap();
    path
}

fn sample() -> Vec<(&'static str, u8, Vec<u8>)> {
    WAVES.iter().map(|(key, hex)| (*key, 1, bytes(hex))).collect()
}

#[test]
fn a_store_of_a_release_without_trials_is_read_completely() {
    let path = store_file("waves", &sample());
    let (records, error) = Records::open(&path).unwrap();
    assert_eq!(error, None);
    let (found, errors) = ServiceStore::new(records).load();
    assert_eq!(errors, []);
    assert_eq!((found.epoch, found.base), (EPOCH, Some(1)));
    let contents: Vec<&[u8]> = found.versions.iter().map(|v| &*v.content).collect();
    assert_eq!(contents, [&b"log { level = \"info\" }\n"[..], b"log { level = \"warn\" }\n"]);
    let saved = SavedRollout {
        id: VersionId::of(EPOCH, 2, contents[1]),
        wave: 1,
        canaries: ["n1".into(), "n2".into()].into(),
        stopped: Some(StopReason::Rejected {
            count: 1,
            of: 2,
            first: RejectionReason::NeedsRestart("hierarchy".into()),
        }),
    };
    assert_eq!(found.rollout, Some(saved));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn a_record_of_a_later_release_is_rejected_by_key_and_left_unchanged() {
    let mut records = sample();
    records[0].1 = 9;
    let path = store_file("later", &records);
    let store = ServiceStore::new(Records::open(&path).unwrap().0);
    let (found, errors) = store.load();
    assert_eq!(found.epoch, 0);
    assert_eq!(errors, [StoreError::NewerFormat { key: "state".into(), format: 9 }]);
    assert_eq!(
        errors[0].to_string(),
        "the store's record 'state' was written in format 9 by a later release, and this one reads up to 1: start that \
         release, or move the store's file away"
    );
    drop(store);
    let database = Database::open(&path).unwrap();
    let table = database.begin_read().unwrap().open_table(RECORDS).unwrap();
    assert_eq!(table.get("state").unwrap().unwrap().value()[0], 9);
    std::fs::remove_file(path).unwrap();
}

#[test]
fn trials_are_a_separate_record_that_leaves_the_others_unchanged() {
    let path = store_file("trials", &sample());
    let store = ServiceStore::new(Records::open(&path).unwrap().0);
    assert_eq!(store.load().0.trials, None);
    let trials =
        SavedTrials { epoch: EPOCH, reserved: 70, proven: Some(1), head: Some(2), ..SavedTrials::default() };
    store.put_trials(&trials).unwrap();
    let (found, errors) = store.load();
    assert_eq!((found.trials, errors), (Some(trials.clone()), vec![]));
    assert_eq!(found.base, Some(1), "the record that earlier releases read is unchanged");
    store.delete_version(&found.versions[0].id).unwrap();
    assert_eq!(store.load().0.versions.len(), 1);
    // The trials of another epoch refer to other version numbers, and are ignored.
    store.put_trials(&SavedTrials { epoch: EPOCH + 1, ..trials }).unwrap();
    assert_eq!(store.load().0.trials, None);
    drop(store);
    std::fs::remove_file(path).unwrap();
}
