//! The shape of a hierarchy as a file: changes as members tell them, in any order.
//!
//! ```hcl
//! member "t-0000000a" {
//!   incarnation = 1          # of this start of it; grows with each
//!   number      = 4          # of this change within the incarnation; grows with each
//!   tier        = 1          # 1 fills the stations' caches, the archive stands highest
//!   standing    = "in_service"   # or "draining"
//!   fills_from  = ["u-00000001", "u-00000002"]   # empty for the archive
//! }
//! gone "t-0000000b" { incarnation = 3 }
//! ```

use std::fmt::Write;

use doorgrade_hierarchy::shape::{MAX_MEMBERS, MAX_SOURCES, MAX_TIERS};
use doorgrade_hierarchy::{ApplyOutcome, Change, ChangeKind, Shape, Standing};

use crate::doc::{Block, Doc, Problems};

const STANDINGS: [(&str, Standing); 2] =
    [("in_service", Standing::InService), ("draining", Standing::Draining)];

/// A file of as many members as a shape holds, with all their kept changes, is smaller.
pub const MOST_BYTES: usize = 256 << 20;

fn change(name: &str, block: &Block<'_>, gone: bool) -> Option<Change> {
    let incarnation = block.required("incarnation", block.whole("incarnation", 0..=u64::MAX));
    let (number, kind) = if gone {
        (Some(0), Some(ChangeKind::Gone))
    } else {
        let number = block.required("number", block.whole("number", 0..=u64::MAX));
        let tier = block.required("tier", block.whole("tier", 0..=u64::from(MAX_TIERS) - 1));
        let standing = block.word("standing", &STANDINGS).unwrap_or(Standing::InService);
        let sources = block.texts("fills_from").unwrap_or_default();
        if sources.len() > MAX_SOURCES {
            block.complain("fills_from", format_args!("expected {MAX_SOURCES} sources at the most"));
        }
        if sources.contains(&name) {
            block.complain("fills_from", "it names the member itself: expected others");
        }
        let fills_from = sources.into_iter().map(Into::into).collect();
        (number, tier.map(|tier| ChangeKind::Present { tier: tier as u8, standing, fills_from }))
    };
    Some(Change { member: name.into(), incarnation: incarnation?, number: number?, kind: kind? })
}

/// The changes that a file tells, in its order.
pub fn read(file: &str, text: &str) -> Result<Vec<Change>, Problems> {
    if text.len() > MOST_BYTES {
        return Err(Problems::of(file, format_args!("is longer than {} MB", MOST_BYTES >> 20)));
    }
    let doc = Doc::parse(file, text)?;
    let root = doc.root();
    let changes = changes(&root);
    root.done();
    doc.finish(changes)
}

/// The changes that stand in a block, or a file.
pub(crate) fn changes(root: &Block<'_>) -> Vec<Change> {
    let mut changes = Vec::new();
    // What a shape would refuse whatever else it knows is the file's fault; the place is known only here.
    let mut probe = Shape::new();
    for (kind, gone) in [("member", false), ("gone", true)] {
        for (labels, block) in root.blocks(kind, 1) {
            if let Some(change) = change(labels[0], &block, gone) {
                if let ApplyOutcome::Rejected(why) = probe.apply(&change) {
                    block.complain_of_all(why);
                }
                changes.push(change);
            }
            block.done();
        }
    }
    if changes.len() > MAX_MEMBERS * 8 {
        root.complain_of_all("more changes than a shape keeps");
    }
    changes
}

/// The changes as a file that reads as them.
pub fn write(changes: &[Change]) -> String {
    let mut text = String::new();
    for Change { member, incarnation, number, kind } in changes {
        let ChangeKind::Present { tier, standing, fills_from } = kind else {
            let _ = writeln!(text, "gone \"{member}\" {{ incarnation = {incarnation} }}");
            continue;
        };
        let standing = STANDINGS.iter().find(|s| s.1 == *standing).map_or("", |s| s.0);
        let sources: Vec<String> = fills_from.iter().map(|s| format!("\"{s}\"")).collect();
        let _ = writeln!(
            text,
            "member \"{member}\" {{\n  incarnation = {incarnation}\n  number      = {number}\n  \
             tier        = {tier}\n  standing    = \"{standing}\"\n  fills_from  = [{}]\n}}",
            sources.join(", ")
        );
    }
    text
}
