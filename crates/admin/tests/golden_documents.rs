//! The JSON form of every document of the admin API does not change: the command line and the core process
//! may have different versions.
//!
//! Each file in `golden/` is a list of examples of one document, with every field and every variant. A field
//! of a type may be renamed if its name in the file stays; the files must not change.

use admin::{
    paths, ConfigurationHistory, ErrorReport, JobReport, ProcessStatus, Queues, SnapshotStart, TransferStart,
    Workers,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

fn assert_golden<T: DeserializeOwned + Serialize>(golden: &str) {
    let documents: Vec<T> = serde_json::from_str(golden).expect("a list of documents of this type");
    let written = serde_json::to_string_pretty(&documents).expect("a document");
    assert_eq!(written + "\n", golden);
}

#[test]
fn process_documents_match_the_golden_files() {
    assert_golden::<ProcessStatus>(include_str!("golden/process_status.json"));
    assert_golden::<TransferStart>(include_str!("golden/transfer_start.json"));
    assert_golden::<SnapshotStart>(include_str!("golden/snapshot_start.json"));
    assert_golden::<ErrorReport>(include_str!("golden/error_report.json"));
    assert_golden::<ConfigurationHistory>(include_str!("golden/configuration_history.json"));
}

#[test]
fn leader_documents_match_the_golden_files() {
    assert_golden::<JobReport>(include_str!("golden/job_report.json"));
    assert_golden::<Queues>(include_str!("golden/queues.json"));
    assert_golden::<Workers>(include_str!("golden/workers.json"));
}

#[test]
fn paths_do_not_change() {
    let paths = [
        paths::STATUS,
        paths::WORKERS,
        paths::QUEUES,
        paths::JOBS,
        paths::CONFIGURATION_HISTORY,
        paths::TRANSFER,
        paths::SNAPSHOT,
        paths::METRICS,
        paths::CONFIGURATION,
    ];
    let golden = [
        "/v1/admin/status",
        "/v1/admin/workers",
        "/v1/admin/queues",
        "/v1/admin/jobs/",
        "/v1/admin/config/history",
        "/v1/admin/transfer",
        "/v1/admin/snapshot",
        "/v1/admin/metrics",
        "/v1/config",
    ];
    assert_eq!(paths, golden);
}
