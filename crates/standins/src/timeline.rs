//! Faults as data: what happens to links, processes and disks, and when. A time line is a file of JSON lines, so that
//! a run that broke something can be kept and played again; one can be drawn from a seed.

use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::links::{ANY, Links, Way};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// From now on, what goes from the one to the other (`*` for any) fares like this.
    Way {
        from: String,
        to: String,
        way: Way,
    },
    /// Open connections between the two end in the middle.
    Reset {
        from: String,
        to: String,
    },
    /// All links are whole again.
    Heal,
    /// SIGKILL.
    Kill {
        process: String,
    },
    /// SIGSTOP, and SIGCONT.
    Stop {
        process: String,
    },
    Wake {
        process: String,
    },
    /// It is started again, as whoever plays the line does that.
    Start {
        process: String,
    },
    /// Its disk is lost; a copy is put aside; the copy comes back in place of what is there.
    DiskLost {
        process: String,
    },
    DiskKept {
        process: String,
    },
    DiskBack {
        process: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// From the line's begin.
    pub at_ms: u64,
    pub what: What,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline(pub Vec<Step>);

impl Timeline {
    pub fn read(text: &str) -> Result<Timeline, String> {
        let lines = (1..).zip(text.lines()).filter(|(_, line)| !line.trim().is_empty());
        let step = |(n, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|e| format!("time line, line {n}: {e}"))
        };
        Ok(Timeline(lines.map(step).collect::<Result<Vec<Step>, _>>()?).sorted())
    }

    pub fn write(&self) -> String {
        let line = |step: &Step| serde_json::to_string(step).unwrap_or_default() + "\n";
        self.0.iter().map(line).collect()
    }

    fn sorted(mut self) -> Timeline {
        self.0.sort_by_key(|s| s.at_ms);
        self
    }

    /// Troubles by chance among these processes: deaths with a return, stalls, cuts of one way or both, slow and
    /// lossy links. All is whole again, and everyone runs, at the end.
    pub fn drawn(seed: u64, processes: &[String], until_ms: u64, troubles: usize) -> Timeline {
        let mut rng = Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut put = |at_ms: u64, what: What| steps.push(Step { at_ms, what });
        // One that is down or stopped is left alone until it is back.
        let mut busy: HashMap<&str, u64> = HashMap::new();
        let mut starts: Vec<u64> = (0..troubles).map(|_| rng.u64(0..until_ms * 3 / 4)).collect();
        starts.sort_unstable();
        for at in starts {
            let Some(process) =
                rng.choice(processes).filter(|p| busy.get(p.as_str()).is_none_or(|&b| b < at))
            else {
                continue;
            };
            let other =
                rng.choice(processes).filter(|o| *o != process).cloned().unwrap_or_else(|| ANY.into());
            let end = rng.u64(at + 1..until_ms);
            let (name, way) = (process.clone(), Way::default);
            let ways = |a: &str, b: &str, way: Way| What::Way { from: a.into(), to: b.into(), way };
            match rng.u8(0..6) {
                0 => {
                    put(at, What::Kill { process: name.clone() });
                    put(end, What::Start { process: name });
                    busy.insert(process, end);
                }
                1 => {
                    put(at, What::Stop { process: name.clone() });
                    put(end, What::Wake { process: name });
                    busy.insert(process, end);
                }
                2 => {
                    put(at, ways(&name, &other, Way { cut: true, ..way() }));
                    put(end, ways(&name, &other, way()));
                }
                3 => {
                    for (a, b) in [(&name, &other), (&other, &name)] {
                        put(at, ways(a, b, Way { cut: true, ..way() }));
                        put(end, ways(a, b, way()));
                    }
                }
                4 => {
                    let (delay_ms, jitter_ms) = (rng.u64(1..300), rng.u64(0..300));
                    put(at, ways(&name, ANY, Way { delay_ms, jitter_ms, ..way() }));
                    put(end, ways(&name, ANY, way()));
                }
                _ => {
                    let (loss, twice) = (0.5 * rng.f64(), 0.3 * rng.f64());
                    put(at, ways(ANY, &name, Way { loss, twice, jitter_ms: 20, ..way() }));
                    put(end, ways(ANY, &name, way()));
                }
            }
        }
        put(until_ms, What::Heal);
        Timeline(steps).sorted()
    }

    /// Plays it in real time; what is not of links is left to `other`.
    pub fn play(&self, begun: Instant, links: &Links, mut other: impl FnMut(&What)) {
        for step in &self.0 {
            let due = begun + Duration::from_millis(step.at_ms);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            match &step.what {
                What::Way { from, to, way } => links.set(from, to, way.clone()),
                What::Reset { from, to } => links.reset(from, to),
                What::Heal => links.heal(),
                what => other(what),
            }
        }
    }
}

/// What a process keeps on disk, and one copy put aside.
pub struct Disk {
    at: PathBuf,
    aside: PathBuf,
}

impl Disk {
    pub fn new(at: &Path) -> Disk {
        let mut aside = at.as_os_str().to_owned();
        aside.push(".aside");
        Disk { at: at.to_owned(), aside: aside.into() }
    }

    pub fn lose(&self) -> io::Result<()> {
        match std::fs::remove_file(&self.at) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }

    pub fn keep(&self) -> io::Result<()> {
        std::fs::copy(&self.at, &self.aside).map(drop)
    }

    /// In one step, as if it had always been there.
    pub fn put_back(&self) -> io::Result<()> {
        let part = self.aside.with_extension("part");
        std::fs::copy(&self.aside, &part)?;
        std::fs::rename(part, &self.at)
    }
}
