//! Configuration contents of the target's size, changes of them, and the harm that a simulated front suffers from a change.
//! A change is marked by a comment in the content, which [`ContentSummary::parse`] reads.

use std::collections::BTreeSet;

/// Caches of the target. Each is a member of the cache hierarchy.
pub const MEMBERS: usize = 250;

/// The harm that a change does to each front that runs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    /// The answered share of accesses falls by this much at once.
    Drop(f64),
    /// As `Drop`, but only while the change with this number is present, too.
    Together { with: usize, drop: f64 },
    /// As `Drop`, once the front has run the content for this many seconds.
    Late { after_s: f64, drop: f64 },
    /// Fronts reject the content.
    Unusable,
}

impl Harm {
    /// The text that marks the harm in a content.
    fn marker(self) -> String {
        match self {
            Harm::Drop(drop) => format!(" drop {drop}"),
            Harm::Together { with, drop } => format!(" together {with} {drop}"),
            Harm::Late { after_s, drop } => format!(" late {after_s} {drop}"),
            Harm::Unusable => " unusable".into(),
        }
    }

    fn parse(words: &[&str]) -> Option<Harm> {
        match *words {
            ["drop", drop] => Some(Harm::Drop(drop.parse().ok()?)),
            ["together", with, drop] => {
                Some(Harm::Together { with: with.parse().ok()?, drop: drop.parse().ok()? })
            }
            ["late", after, drop] => {
                Some(Harm::Late { after_s: after.parse().ok()?, drop: drop.parse().ok()? })
            }
            ["unusable"] => Some(Harm::Unusable),
            _ => None,
        }
    }
}

/// The initial content, without any change.
pub fn initial() -> String {
    let mut text = String::from("log { level = \"info\" }\nhierarchy { tier = 1 }\n");
    text += "member \"s-000000ff\" {\n  incarnation = 1\n  number = 1\n  tier = 2\n  fills_from = []\n}\n";
    for n in 0..MEMBERS {
        text += &format!(
            "member \"s-0001{n:04x}\" {{\n  incarnation = 1\n  number = 1\n  tier = 1\n  fills_from = [\"s-000000ff\"]\n}}\n"
        );
    }
    text
}

/// The content with one line changed: that of the member with the number of the change. Each member is changed at most once.
pub fn changed(content: &str, change: usize, harm: Option<Harm>) -> String {
    let member = format!("member \"s-0001{:04x}\" {{", change % MEMBERS);
    let marker = harm.map(Harm::marker).unwrap_or_default();
    let (mut in_member, mut text) = (false, String::with_capacity(content.len() + 40));
    for line in content.lines() {
        in_member |= line == member;
        if in_member && line.starts_with("  number = ") {
            in_member = false;
            text += &format!("  number = 2 # change {change}{marker}\n");
        } else {
            text += line;
            text.push('\n');
        }
    }
    text
}

/// The changes in a content and the harm of each harmful one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ContentSummary {
    pub changes: BTreeSet<usize>,
    pub harms: Vec<(usize, Harm)>,
}

impl ContentSummary {
    pub fn parse(content: &str) -> ContentSummary {
        let mut summary = ContentSummary::default();
        for line in content.lines() {
            let Some((_, comment)) = line.split_once("# change ") else { continue };
            let words: Vec<&str> = comment.split_whitespace().collect();
            let Some(change) = words.first().and_then(|w| w.parse().ok()) else { continue };
            summary.changes.insert(change);
            summary.harms.extend(Harm::parse(&words[1..]).map(|harm| (change, harm)));
        }
        summary
    }

    pub fn is_usable(&self) -> bool {
        self.harms.iter().all(|h| h.1 != Harm::Unusable)
    }

    /// By how much the answered share is lower at a front that has run this content for some seconds.
    pub fn drop_after(&self, seconds: f64) -> f64 {
        let drop_of = |&(_, harm): &(usize, Harm)| match harm {
            Harm::Drop(drop) => drop,
            Harm::Together { with, drop } if self.changes.contains(&with) => drop,
            Harm::Late { after_s, drop } if seconds >= after_s => drop,
            _ => 0.0,
        };
        self.harms.iter().map(drop_of).sum()
    }
}
