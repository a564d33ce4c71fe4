//! The cases of the review: `harness CASE FOLDER`, from the repository's root. `claim.txt` in a case's folder says what
//! it shows. Without dependencies: `review/build.sh` builds it with `rustc` alone.

mod cache;
mod client;
mod common;
mod cut_while_writing;
mod late_admission;
mod site;
mod slow_discovery;

use std::path::Path;
use std::time::Duration;

/// A case may take 120 s.
const MAX_DURATION: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else { common::cannot_run("usage: harness CASE FOLDER") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().unwrap_or_else(|e| common::cannot_run(&e.to_string()));
    common::limit_duration(MAX_DURATION);
    let run = match case.as_str() {
        "late-admission" => late_admission::run,
        "cut-while-writing" => cut_while_writing::run,
        "slow-discovery" => slow_discovery::run,
        _ => common::cannot_run("no such case"),
    };
    let code = run(&root, Path::new(folder), trouble);
    println!("{}", if code == common::HELD { "the rule held" } else { "the rule was broken" });
    common::finish(code)
}
