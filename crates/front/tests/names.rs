//! Checks the names in the code against the table in docs/names.md.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Sources that read or write names of the platform.
const READERS: [&str; 6] = ["intake", "http", "answer", "feed", "config", "push"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn text(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// The code without comments; `\r\n` in texts is replaced by a line break.
fn code(path: &str) -> String {
    let lines: Vec<_> =
        text(path).lines().filter(|l| !l.trim_start().starts_with("//")).map(str::to_owned).collect();
    lines.join("\n").replace("\\r\\n", "\n")
}

/// Whether the name stands in the code as a word of its own.
fn contains_word(code: &str, name: &str) -> bool {
    let part = |c: Option<char>| c.is_some_and(|c| c.is_alphanumeric() || "_-".contains(c));
    let whole =
        |at: usize| !part(code[..at].chars().next_back()) && !part(code[at + name.len()..].chars().next());
    code.match_indices(name).any(|(at, _)| name.starts_with('/') || whole(at))
}

#[test]
fn every_name_in_the_table_is_used_or_has_a_reason() {
    let page = text("docs/names.md");
    let all: Vec<String> = READERS
        .iter()
        .map(|f| code(&format!("crates/front/src/{f}.rs")))
        .chain([code("crates/settings/src/lib.rs")])
        .collect();
    let mut named = BTreeSet::new();
    for row in page.lines().filter(|l| l.starts_with("| `")) {
        let cells: Vec<_> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [name, file, reason] = cells[..] else { panic!("expected three cells: {row}") };
        let name = name.trim_matches('`');
        assert!(named.insert(name.to_owned()), "{name} is in the table twice");
        assert!(!reason.is_empty(), "{name}: the third cell must say what it is, or why it is not used");
        match file {
            "-" => {
                assert!(
                    !all.iter().any(|c| contains_word(c, name)),
                    "{name} is used, and the table says it is not"
                )
            }
            file => assert!(contains_word(&code(file), name), "{name} is not in {file}"),
        }
    }
    // The other direction: each name that the codecs match or write is in the table.
    let quoted = |path: &str, from: &str, to: &str| -> Vec<String> {
        let code = code(path);
        let starts = code.match_indices(from).map(|(at, _)| at + from.len());
        starts.filter_map(|at| code[at..].split_once(to).map(|(name, _)| name.to_owned())).collect()
    };
    let mut read = quoted("crates/front/src/intake.rs", "b\"HTTP_", "\"");
    read.iter_mut().for_each(|n| n.insert_str(0, "HTTP_"));
    read.extend(quoted("crates/front/src/http.rs", "if is(\"", "\""));
    read.extend(quoted("crates/front/src/http.rs", "format_args!(\"", ": "));
    assert!(read.len() > 12, "the codecs are written differently now: {read:?}");
    // HTTP's own names, and this project's own headers for the hierarchy.
    let own = ["Content-Length", "Transfer-Encoding", "Connection", "CDN-Loop", "Ring"];
    for name in read.iter().filter(|n| !n.contains(' ') && !n.contains('{') && !own.contains(&n.as_str())) {
        assert!(named.contains(name), "{name} is read or written, and docs/names.md does not have it");
    }
}
