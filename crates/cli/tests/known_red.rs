//! The list of known failing tests is parsed strictly, so that it can't become a way to skip tests.

use std::path::Path;
use std::process::{Command, Output};

fn read(name: &str, text: &str) -> Output {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let file = std::env::temp_dir().join(format!("doorgrade-red-{}-{name}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let out = Command::new("bash").arg(script).arg(&file).output().unwrap();
    std::fs::remove_file(&file).unwrap();
    out
}

#[test]
fn a_valid_list_of_known_failures_is_accepted() {
    let text = "# why\n\ndoorgrade-front reducer a_test | the cause | issue 37\ndoorgrade lib other | it | 4";
    let out = read("sound", text);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(String::from_utf8_lossy(&out.stdout), "doorgrade-front reducer a_test\ndoorgrade lib other\n");
}

#[test]
fn a_fourth_test_or_one_without_cause_or_issue_is_rejected() {
    let line = "doorgrade-front reducer a_test | the cause | 37\n";
    for (name, text) in [
        ("four", line.repeat(4)),
        ("cause", "doorgrade-front reducer a_test | | 37".into()),
        ("issue", "doorgrade-front reducer a_test | cause |".into()),
        ("none", "doorgrade-front reducer a_test".into()),
        ("short", "reducer a_test | cause | 37".into()),
        ("long", "doorgrade-front reducer a_test another | cause | 37".into()),
        ("more", "doorgrade-front reducer a_test | cause | 37 | and all others".into()),
    ] {
        let out = read(name, &text);
        assert_eq!(out.status.code(), Some(1), "{name}: {}", String::from_utf8_lossy(&out.stdout));
        assert!(!out.stderr.is_empty(), "{name}: a message is printed");
    }
}
