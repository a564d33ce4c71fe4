//! The shape of a hierarchy as a file: changes as members announce them, in any order.
//!
//! ```hcl
//! member "t-0000000a" {
//!   incarnation = 1          # of this run of the member; grows with each restart
//!   number      = 4          # of this change within the incarnation; grows with each change
//!   tier        = 1          # 1 fills the stations' caches; the archive has the highest
//!   standing    = "in_service"   # or "draining"
//!   fills_from  = ["u-00000001", "u-00000002"]   # empty for the archive
//! }
//! gone "t-0000000b" { incarnation = 3 }
//! ```

use std::fmt::Write;

use doorgrade_hierarchy::shape::{MAX_MEMBERS, MAX_SOURCES, MAX_TIERS};
use doorgrade_hierarchy::{ApplyOutcome, Change, ChangeKind, Shape, Standing};

use crate::document::{Block, Document, Problems};

const STANDINGS: [(&str, Standing); 2] =
    [("in_service", Standing::InService), ("draining", Standing::Draining)];

/// Enough for the largest shape, with all stored changes of its members.
pub const MAX_FILE_BYTES: usize = 256 << 20;

fn change(name: &str, block: &Block<'_>, gone: bool) -> Option<Change> {
    let incarnation = block.required("incarnation", block.integer("incarnation", 0..=u64::MAX));
    let (number, kind) = if gone {
        (Some(0), Some(ChangeKind::Gone))
    } else {
        let number = block.required("number", block.integer("number", 0..=u64::MAX));
        let tier = block.required("tier", block.integer("tier", 0..=u64::from(MAX_TIERS) - 1));
        let standing = block.choice("standing", &STANDINGS).unwrap_or(Standing::InService);
        let sources = block.strings("fills_from").unwrap_or_default();
        if sources.len() > MAX_SOURCES {
            block.report("fills_from", format_args!("expected at most {MAX_SOURCES} sources"));
        }
        if sources.contains(&name) {
            block.report("fills_from", "contains the member itself: expected other members");
        }
        let fills_from = sources.into_iter().map(Into::into).collect();
        (number, tier.map(|tier| ChangeKind::Present { tier: tier as u8, standing, fills_from }))
    };
    Some(Change { member: name.into(), incarnation: incarnation?, number: number?, kind: kind? })
}

/// The changes in a file, in its order.
pub fn read(file: &str, text: &str) -> Result<Vec<Change>, Problems> {
    if text.len() > MAX_FILE_BYTES {
        return Err(Problems::of_file(file, format_args!("is longer than {} MB", MAX_FILE_BYTES >> 20)));
    }
    let document = Document::parse(file, text)?;
    let root = document.root();
    let changes = changes(&root);
    root.finish();
    document.finish(changes)
}

/// The changes in a block or a file.
pub(crate) fn changes(root: &Block<'_>) -> Vec<Change> {
    let mut changes = Vec::new();
    // Applied only to report changes that any shape would reject, with their positions, which are known only here.
    let mut probe = Shape::new();
    for (kind, gone) in [("member", false), ("gone", true)] {
        for (labels, block) in root.blocks(kind, 1) {
            if let Some(change) = change(labels[0], &block, gone) {
                if let ApplyOutcome::Rejected(reason) = probe.apply(&change) {
                    block.report_block(reason);
                }
                changes.push(change);
            }
            block.finish();
        }
    }
    if changes.len() > MAX_MEMBERS * 8 {
        root.report_block("has more changes than a shape can hold");
    }
    changes
}

/// Writes changes as a file that [`read`] returns them from.
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
