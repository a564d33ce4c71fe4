//! Contents of the size of the target's, what a change does to one, and what a hollow front makes of it.

use std::collections::BTreeSet;

/// Caches of the target, each a member of the shape.
pub const MEMBERS: usize = 250;

/// What a change does to whoever runs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    /// Of all accesses a share so much smaller is answered, at once.
    Drop(f64),
    /// As `Drop`, but only where the other change of this number is there, too.
    Together { with: usize, drop: f64 },
    /// As `Drop`, after having run for so many seconds.
    Late { after_s: f64, drop: f64 },
    /// No front can use it.
    Unusable,
}

impl Harm {
    fn word(self) -> String {
        match self {
            Harm::Drop(drop) => format!(" drop {drop}"),
            Harm::Together { with, drop } => format!(" together {with} {drop}"),
            Harm::Late { after_s, drop } => format!(" late {after_s} {drop}"),
            Harm::Unusable => " unusable".into(),
        }
    }

    fn read(words: &[&str]) -> Option<Harm> {
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

/// The first content, without any change.
pub fn first() -> String {
    let mut text = String::from("log { level = \"info\" }\nhierarchy { tier = 1 }\n");
    text += "member \"s-000000ff\" {\n  incarnation = 1\n  number = 1\n  tier = 2\n  fills_from = []\n}\n";
    for n in 0..MEMBERS {
        text += &format!(
            "member \"s-0001{n:04x}\" {{\n  incarnation = 1\n  number = 1\n  tier = 1\n  fills_from = [\"s-000000ff\"]\n}}\n"
        );
    }
    text
}

/// A content with one line changed: that of the member whose number is the change's. Each member is changed once.
pub fn changed(content: &str, change: usize, harm: Option<Harm>) -> String {
    let member = format!("member \"s-0001{:04x}\" {{", change % MEMBERS);
    let word = harm.map(Harm::word).unwrap_or_default();
    let (mut own, mut text) = (false, String::with_capacity(content.len() + 40));
    for line in content.lines() {
        own |= line == member;
        if own && line.starts_with("  number = ") {
            own = false;
            text += &format!("  number = 2 # change {change}{word}\n");
        } else {
            text += line;
            text.push('\n');
        }
    }
    text
}

/// What stands in a content.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    pub changes: BTreeSet<usize>,
    pub harms: Vec<(usize, Harm)>,
}

impl Facts {
    pub fn read(content: &str) -> Facts {
        let mut facts = Facts::default();
        for line in content.lines() {
            let Some((_, told)) = line.split_once("# change ") else { continue };
            let words: Vec<&str> = told.split_whitespace().collect();
            let Some(change) = words.first().and_then(|w| w.parse().ok()) else { continue };
            facts.changes.insert(change);
            facts.harms.extend(Harm::read(&words[1..]).map(|harm| (change, harm)));
        }
        facts
    }

    pub fn usable(&self) -> bool {
        self.harms.iter().all(|h| h.1 != Harm::Unusable)
    }

    /// By how much the answered share of a front falls that has run this for so long.
    pub fn drop_after(&self, seconds: f64) -> f64 {
        let of = |&(_, harm): &(usize, Harm)| match harm {
            Harm::Drop(drop) => drop,
            Harm::Together { with, drop } if self.changes.contains(&with) => drop,
            Harm::Late { after_s, drop } if seconds >= after_s => drop,
            _ => 0.0,
        };
        self.harms.iter().map(of).sum()
    }
}
