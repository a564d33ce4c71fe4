//! `doorgrade-lab`: the project's experiments, a command each. Figures are measured in the run that prints them,
//! beside a baseline in the same run; they are of this project's own stand-ins on loopback.
#![forbid(unsafe_code)]

mod check;
mod cold_figures;
mod config;
mod evidence;
mod fleet;
mod log;
mod returns;
mod shape;
mod shares;
mod sizes;
mod soak;
mod stream;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use doorgrade_lab::capacity::PageError;
use doorgrade_lab::capacity::command::{self, PageFiles};
use doorgrade_lab::scale::{self, ScaleArgs};
use doorgrade_lab::{Figures, RunArgs, fills, rig};

#[derive(Parser)]
#[command(name = "doorgrade-lab", version, about = "The project's experiments, a command each")]
struct Cli {
    #[command(subcommand)]
    subject: Subject,
}

#[derive(Subcommand)]
enum Subject {
    /// A hierarchy that changes shape under load: real fronts on loopback, beside fronts that rehash at once
    Shape {
        #[command(flatten)]
        how: RunArgs,
        /// The program to measure; the one beside this by default
        #[arg(long)]
        front: Option<std::path::PathBuf>,
        /// Keeps the fronts' logs in this folder
        #[arg(long)]
        logs: Option<std::path::PathBuf>,
        /// What the archive was asked and what was declined, second by second, on standard error
        #[arg(long)]
        timeline: bool,
    },
    /// The check for loops on each change of shape, beside a search of the whole shape
    Check {
        #[command(flatten)]
        how: RunArgs,
    },
    /// Versions streamed to real fronts and to many more on TLS, with crashes and a harmful one; then fronts that come
    /// back after the service was away, in virtual time
    Config {
        #[command(flatten)]
        how: RunArgs,
        /// The program to measure; the one beside this by default
        #[arg(long)]
        front: Option<std::path::PathBuf>,
        /// Fronts over TLS besides the real ones; 300, or 100 with --quick
        #[arg(long)]
        followers: Option<usize>,
        /// Only what is played in virtual time
        #[arg(long)]
        virtual_only: bool,
    },
    /// Twenty instances under an agent that is killed, nine of them killed at once; the decisions alone in virtual time
    Fleet {
        #[command(flatten)]
        how: RunArgs,
        /// The program to measure; the one beside this by default
        #[arg(long)]
        front: Option<std::path::PathBuf>,
    },
    /// Many fronts before one set of caches, seven in ten killed at once: what the rest and the returned know and ask
    Return {
        #[command(flatten)]
        how: RunArgs,
        /// The program to measure; the one beside this by default
        #[arg(long)]
        front: Option<std::path::PathBuf>,
        /// How many fronts, one run for each; 20, or 10 with --quick
        #[arg(long, value_delimiter = ',')]
        fronts: Vec<usize>,
        /// Loads second by second, on standard error
        #[arg(long)]
        timeline: bool,
        /// Only what is played in virtual time: how the return grows with the number of fronts
        #[arg(long)]
        virtual_only: bool,
        /// With --virtual-only: runs of each size; 30, or 6 with --quick
        #[arg(long, requires = "virtual_only")]
        seeds: Option<u64>,
        /// With --virtual-only: draws its times into this file, as SVG
        #[arg(long, requires = "virtual_only")]
        plot: Option<std::path::PathBuf>,
    },
    /// A front's memory over as many accesses as 45 minutes bring, with caches, objects and clients always new
    Soak {
        #[command(flatten)]
        how: RunArgs,
        /// The program to measure; the one beside this by default
        #[arg(long)]
        front: Option<std::path::PathBuf>,
    },
    /// What each class, tenant, effect and the largest objects get of one real front's answers, quiet and with faults
    Shares {
        #[command(flatten)]
        how: RunArgs,
        /// The program to measure; the one beside this by default
        #[arg(long)]
        front: Option<std::path::PathBuf>,
        /// Accesses that a cache works on at once; four are too few for the load
        #[arg(long, default_value_t = 7)]
        places: usize,
    },
    /// How often a trial of a configuration is stopped for nothing, and what it finds after how many accesses, in
    /// virtual time
    Evidence {
        #[command(flatten)]
        how: RunArgs,
    },
    /// What all fronts of a zone together send a cache that has just started, against what fells it, in virtual time
    Cold {
        #[command(flatten)]
        how: RunArgs,
    },
    /// The size to carry: the page of what each part costs, and whether a run bears it out
    Capacity {
        #[command(subcommand)]
        what: Capacity,
    },
    /// What each role costs as the fleet grows: slopes over N with their intervals, within a budget of the machine
    Scale {
        #[command(flatten)]
        how: RunArgs,
        #[command(flatten)]
        args: Box<ScaleArgs>,
    },
    /// What a front's table of remembered fills knows at the size to carry, beside other tables, in virtual time: one
    /// front of a site of 23, with the site's copies; one run takes minutes and 1.5 GB
    Fills {
        #[command(flatten)]
        how: RunArgs,
        /// Accesses a second at a front
        #[arg(long, default_value_t = 930.0)]
        rate: f64,
        /// Zipf's exponent of the objects' popularity
        #[arg(long, default_value_t = 0.9)]
        exponent: f64,
    },
    /// What a line of the log costs at a level that is off, and on
    Log {
        #[command(flatten)]
        how: RunArgs,
    },
}

#[derive(Subcommand)]
enum Capacity {
    /// Writes CAPACITY.md from its data and its template
    Render {
        /// The folder with all three
        #[arg(long, default_value = command::DOCS)]
        docs: PathBuf,
    },
    /// Puts what `scale --data FILE` wrote into the page's data, and renders the page
    Take {
        file: PathBuf,
        #[arg(long, default_value = command::DOCS)]
        docs: PathBuf,
    },
    /// Says which lines of the page the figures of a run contradict; exits with 3 if any
    Check {
        /// What `scale --data FILE` wrote
        file: PathBuf,
        #[arg(long, default_value = command::DOCS)]
        docs: PathBuf,
    },
}

/// Of a page that a run contradicts; as `doorgrade`'s commands have it for what is not as it should be.
const OUT_OF_DATE: u8 = 3;

fn capacity(what: Capacity) -> Result<ExitCode, PageError> {
    match what {
        Capacity::Render { docs } => PageFiles::in_folder(&docs).render().map(|()| ExitCode::SUCCESS),
        Capacity::Take { file, docs } => {
            let new = PageFiles::in_folder(&docs).take(&file)?;
            if !new.is_empty() {
                println!("new, and in no table of the page yet: {}", new.join(", "));
            }
            Ok(ExitCode::SUCCESS)
        }
        Capacity::Check { file, docs } => {
            let report = PageFiles::in_folder(&docs).check(&file)?;
            report.outdated.iter().for_each(|line| println!("{line}"));
            let (confirmed, outdated) = (report.confirmed.len(), report.outdated.len());
            println!("{confirmed} lines hold, {outdated} are out of date");
            for (what, names) in [
                ("not on the page as measured", &report.not_on_page),
                ("on the page, not in this run", &report.not_in_run),
            ] {
                if !names.is_empty() {
                    println!("{what}: {}", names.join(", "));
                }
            }
            Ok(if outdated == 0 { ExitCode::SUCCESS } else { ExitCode::from(OUT_OF_DATE) })
        }
    }
}

fn main() -> ExitCode {
    let (how, figures) = match Cli::parse().subject {
        Subject::Capacity { what } => {
            return capacity(what).unwrap_or_else(|why| {
                eprintln!("doorgrade-lab: {why}");
                ExitCode::FAILURE
            });
        }
        Subject::Shape { how, front, logs, timeline } => {
            (how.clone(), shape::run(&how, front, logs, timeline))
        }
        Subject::Check { how } => (how.clone(), Ok(check::run(&how))),
        Subject::Config { how, front, followers, virtual_only } => {
            let mut figures =
                if virtual_only { Ok(Figures::default()) } else { stream::run(&how, front, followers) };
            if let Ok(figures) = &mut figures {
                config::run(&how, figures);
            }
            (how.clone(), figures)
        }
        Subject::Fleet { how, front } => (how.clone(), fleet::run(&how, front)),
        Subject::Return { how, front, fronts, timeline, virtual_only, seeds, plot } => {
            let figures = match virtual_only {
                true => sizes::run(&how, &fronts, seeds, plot.as_deref()),
                false => returns::run(&how, front, &fronts, timeline),
            };
            (how, figures)
        }
        Subject::Soak { how, front } => (how.clone(), soak::run(&how, front)),
        Subject::Shares { how, front, places } => (how.clone(), shares::run(&how, front, places)),
        Subject::Evidence { how } => (how.clone(), Ok(evidence::run(&how))),
        Subject::Cold { how } => (how.clone(), Ok(cold_figures::run(&how))),
        Subject::Scale { how, args } => {
            let figures = scale::run(&how, &args).map_err(|e| e.to_string());
            (how, figures)
        }
        Subject::Fills { how, rate, exponent } => (how.clone(), fills::run(&how, rate, exponent)),
        Subject::Log { how } => (how.clone(), Ok(log::run(&how))),
    };
    match figures {
        Ok(figures) => {
            figures.print(how.json);
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("doorgrade-lab: {why}");
            ExitCode::FAILURE
        }
    }
}
