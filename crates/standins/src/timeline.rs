//! A schedule of faults as data: what happens to links, processes and disks, and when. A timeline can be stored as
//! JSON lines, so that a run which found a fault can be repeated, and can be generated from a seed.

use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::links::{ANY, LinkConditions, Links};

/// A fault, or its end. The names in JSON are part of the file format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Sets the network conditions from one name to another, either of which may be [`ANY`].
    #[serde(rename = "way")]
    SetLink {
        from: String,
        to: String,
        #[serde(rename = "way")]
        conditions: LinkConditions,
    },
    /// Resets the open connections from one name to another.
    Reset { from: String, to: String },
    /// Ends the faults of all links.
    Heal,
    /// SIGKILL.
    Kill { process: String },
    /// SIGSTOP.
    #[serde(rename = "stop")]
    Suspend { process: String },
    /// SIGCONT.
    #[serde(rename = "wake")]
    Resume { process: String },
    /// Starts a killed process again; performed by the caller of [`Timeline::play`].
    Start { process: String },
    /// Deletes the process's stored data.
    #[serde(rename = "disk_lost")]
    DeleteDisk { process: String },
    /// Takes a backup of the process's stored data.
    #[serde(rename = "disk_kept")]
    BackUpDisk { process: String },
    /// Replaces the process's stored data by the backup.
    #[serde(rename = "disk_back")]
    RestoreDisk { process: String },
}

/// An action, and when it is performed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the start of the timeline.
    pub at_ms: u64,
    #[serde(rename = "what")]
    pub action: Action,
}

/// Steps in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline(pub Vec<Step>);

impl Timeline {
    /// Reads JSON lines.
    pub fn parse(text: &str) -> Result<Timeline, String> {
        let lines = (1..).zip(text.lines()).filter(|(_, line)| !line.trim().is_empty());
        let step = |(n, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|e| format!("timeline, line {n}: {e}"))
        };
        Ok(Timeline(lines.map(step).collect::<Result<Vec<Step>, _>>()?).sorted())
    }

    pub fn to_json_lines(&self) -> String {
        let line = |step: &Step| serde_json::to_string(step).unwrap_or_default() + "\n";
        self.0.iter().map(line).collect()
    }

    fn sorted(mut self) -> Timeline {
        self.0.sort_by_key(|s| s.at_ms);
        self
    }

    /// Random faults of these processes: kills with a restart, suspensions, partitions in one direction or both, slow
    /// links and lossy ones. At the end all links are healed and all processes run.
    pub fn random(seed: u64, processes: &[String], end_ms: u64, fault_count: usize) -> Timeline {
        let mut rng = Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut add = |at_ms: u64, action: Action| steps.push(Step { at_ms, action });
        // Until when a process is down or suspended; it meets no other fault meanwhile.
        let mut down_until: HashMap<&str, u64> = HashMap::new();
        let mut starts: Vec<u64> = (0..fault_count).map(|_| rng.u64(0..end_ms * 3 / 4)).collect();
        starts.sort_unstable();
        for start in starts {
            let Some(process) = rng
                .choice(processes)
                .filter(|p| down_until.get(p.as_str()).is_none_or(|&until| until < start))
            else {
                continue;
            };
            let other =
                rng.choice(processes).filter(|o| *o != process).cloned().unwrap_or_else(|| ANY.into());
            let end = rng.u64(start + 1..end_ms);
            let (name, healthy) = (process.clone(), LinkConditions::default);
            let set_link = |from: &str, to: &str, conditions: LinkConditions| Action::SetLink {
                from: from.into(),
                to: to.into(),
                conditions,
            };
            match rng.u8(0..6) {
                0 => {
                    add(start, Action::Kill { process: name.clone() });
                    add(end, Action::Start { process: name });
                    down_until.insert(process, end);
                }
                1 => {
                    add(start, Action::Suspend { process: name.clone() });
                    add(end, Action::Resume { process: name });
                    down_until.insert(process, end);
                }
                2 => {
                    add(start, set_link(&name, &other, LinkConditions { cut: true, ..healthy() }));
                    add(end, set_link(&name, &other, healthy()));
                }
                3 => {
                    for (a, b) in [(&name, &other), (&other, &name)] {
                        add(start, set_link(a, b, LinkConditions { cut: true, ..healthy() }));
                        add(end, set_link(a, b, healthy()));
                    }
                }
                4 => {
                    let (delay_ms, jitter_ms) = (rng.u64(1..300), rng.u64(0..300));
                    add(start, set_link(&name, ANY, LinkConditions { delay_ms, jitter_ms, ..healthy() }));
                    add(end, set_link(&name, ANY, healthy()));
                }
                _ => {
                    let (loss, duplication) = (0.5 * rng.f64(), 0.3 * rng.f64());
                    add(
                        start,
                        set_link(
                            ANY,
                            &name,
                            LinkConditions { loss, duplication, jitter_ms: 20, ..healthy() },
                        ),
                    );
                    add(end, set_link(ANY, &name, healthy()));
                }
            }
        }
        add(end_ms, Action::Heal);
        Timeline(steps).sorted()
    }

    /// Plays the timeline in real time. Actions other than those on links are passed to `other`.
    pub fn play(&self, started_at: Instant, links: &Links, mut other: impl FnMut(&Action)) {
        for step in &self.0 {
            let deadline = started_at + Duration::from_millis(step.at_ms);
            std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
            match &step.action {
                Action::SetLink { from, to, conditions } => links.set(from, to, conditions.clone()),
                Action::Reset { from, to } => links.reset(from, to),
                Action::Heal => links.heal(),
                action => other(action),
            }
        }
    }
}

/// The file in which a process stores its data, and one backup of it.
pub struct Disk {
    file: PathBuf,
    backup: PathBuf,
}

impl Disk {
    pub fn new(file: &Path) -> Disk {
        let mut backup = file.as_os_str().to_owned();
        backup.push(".aside");
        Disk { file: file.to_owned(), backup: backup.into() }
    }

    /// Deletes the file, if there is one.
    pub fn delete(&self) -> io::Result<()> {
        match std::fs::remove_file(&self.file) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }

    pub fn back_up(&self) -> io::Result<()> {
        std::fs::copy(&self.file, &self.backup).map(drop)
    }

    /// Replaces the file by the backup atomically.
    pub fn restore(&self) -> io::Result<()> {
        let part = self.backup.with_extension("part");
        std::fs::copy(&self.backup, &part)?;
        std::fs::rename(part, &self.file)
    }
}
