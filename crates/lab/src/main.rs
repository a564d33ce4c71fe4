//! `doorgrade-lab`: the project's experiments, each a command. Each run prints the figures that it measured, and those of a
//! baseline from the same run. Apart from the programs under test, everything is simulated: members, clients and links are
//! this project's own stand-ins on loopback.
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
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Changes the shape of a hierarchy under load: real fronts on loopback, compared with fronts that rehash at once
    Shape {
        #[command(flatten)]
        run_args: RunArgs,
        /// The front to measure; by default `doorgrade` in the folder of this program
        #[arg(long)]
        front: Option<std::path::PathBuf>,
        /// Saves the logs of the fronts in this folder
        #[arg(long)]
        logs: Option<std::path::PathBuf>,
        /// Prints the archive's requests and the declined accesses of each second on standard error
        #[arg(long)]
        timeline: bool,
    },
    /// Times the check for loops on each change of the shape, compared with a search of the whole shape
    Check {
        #[command(flatten)]
        run_args: RunArgs,
    },
    /// Publishes versions to real and simulated fronts over TLS, with crashes and one harmful version; then lets fronts
    /// reconnect after an outage of the service, in virtual time
    Config {
        #[command(flatten)]
        run_args: RunArgs,
        /// The front to measure; by default `doorgrade` in the folder of this program
        #[arg(long)]
        front: Option<std::path::PathBuf>,
        /// Simulated fronts besides the real ones; 300, or 100 with --quick
        #[arg(long)]
        followers: Option<usize>,
        /// Runs only the part in virtual time
        #[arg(long)]
        virtual_only: bool,
    },
    /// Runs twenty instances under an agent, kills the agent and nine instances; then the agent's decisions alone, in
    /// virtual time
    Fleet {
        #[command(flatten)]
        run_args: RunArgs,
        /// The front to measure; by default `doorgrade` in the folder of this program
        #[arg(long)]
        front: Option<std::path::PathBuf>,
    },
    /// Kills 70% of the fronts of one site at once, then all: what they remember and refresh when they are back
    Return {
        #[command(flatten)]
        run_args: RunArgs,
        /// The front to measure; by default `doorgrade` in the folder of this program
        #[arg(long)]
        front: Option<std::path::PathBuf>,
        /// Numbers of fronts, with one run for each; 20, or 10 with --quick
        #[arg(long, value_delimiter = ',')]
        fronts: Vec<usize>,
        /// Prints the loads of each second on standard error
        #[arg(long)]
        timeline: bool,
        /// Runs only the part in virtual time: how the recovery time grows with the number of fronts
        #[arg(long)]
        virtual_only: bool,
        /// With --virtual-only: number of runs for each size; 30, or 6 with --quick
        #[arg(long, requires = "virtual_only")]
        seeds: Option<u64>,
        /// With --virtual-only: plots the recovery times into this file, as SVG
        #[arg(long, requires = "virtual_only")]
        plot: Option<std::path::PathBuf>,
    },
    /// Measures a front's memory over the accesses of 45 minutes, with ever new caches, objects and clients
    Soak {
        #[command(flatten)]
        run_args: RunArgs,
        /// The front to measure; by default `doorgrade` in the folder of this program
        #[arg(long)]
        front: Option<std::path::PathBuf>,
    },
    /// Measures the answered share of accesses by class, tenant, kind of effect and object size, with and without faults
    Shares {
        #[command(flatten)]
        run_args: RunArgs,
        /// The front to measure; by default `doorgrade` in the folder of this program
        #[arg(long)]
        front: Option<std::path::PathBuf>,
        /// Accesses that a cache handles at the same time; four are too few for the load
        #[arg(long, default_value_t = 7)]
        places: usize,
    },
    /// Measures how often a trial stops a harmless configuration, and after how many accesses it finds a harmful one, in
    /// virtual time
    Evidence {
        #[command(flatten)]
        run_args: RunArgs,
    },
    /// Measures the load of all fronts of a zone on a cache that has just started, relative to what crashes it, in virtual
    /// time
    Cold {
        #[command(flatten)]
        run_args: RunArgs,
    },
    /// Maintains the page of what each part costs at full size, and checks a run against it
    Capacity {
        #[command(subcommand)]
        command: CapacityCommand,
    },
    /// Measures what each role costs as the fleet grows: slopes over its size with their intervals, within a budget of the
    /// machine's resources
    Scale {
        #[command(flatten)]
        run_args: RunArgs,
        #[command(flatten)]
        args: Box<ScaleArgs>,
    },
    /// Measures how many accesses find their fill in a front's table at full size, compared with other tables, in
    /// virtual time: one front of a site of 23, with the site's copies; a run takes minutes and 1.5 GB
    Fills {
        #[command(flatten)]
        run_args: RunArgs,
        /// Accesses per second at a front
        #[arg(long, default_value_t = 930.0)]
        rate: f64,
        /// Zipf's exponent of the objects' popularity
        #[arg(long, default_value_t = 0.9)]
        exponent: f64,
    },
    /// Measures the cost of a log event at a disabled and at an enabled level
    Log {
        #[command(flatten)]
        run_args: RunArgs,
    },
}

#[derive(Subcommand)]
enum CapacityCommand {
    /// Renders CAPACITY.md from its data and its template
    Render {
        /// The folder with these three files
        #[arg(long, default_value = command::DOCS)]
        docs: PathBuf,
    },
    /// Adds the output of `scale --data FILE` to the page's data, and renders the page
    Take {
        file: PathBuf,
        #[arg(long, default_value = command::DOCS)]
        docs: PathBuf,
    },
    /// Lists the lines of the page that the figures of a run contradict; exits with 3 if there are any
    Check {
        /// The output of `scale --data FILE`
        file: PathBuf,
        #[arg(long, default_value = command::DOCS)]
        docs: PathBuf,
    },
}

/// The exit code when a run contradicts the page; `doorgrade`'s commands use the same for a state that is not as desired.
const EXIT_OUT_OF_DATE: u8 = 3;

fn capacity(command: CapacityCommand) -> Result<ExitCode, PageError> {
    match command {
        CapacityCommand::Render { docs } => PageFiles::in_folder(&docs).render().map(|()| ExitCode::SUCCESS),
        CapacityCommand::Take { file, docs } => {
            let new_figures = PageFiles::in_folder(&docs).take(&file)?;
            if !new_figures.is_empty() {
                println!("new, and in no table of the page yet: {}", new_figures.join(", "));
            }
            Ok(ExitCode::SUCCESS)
        }
        CapacityCommand::Check { file, docs } => {
            let report = PageFiles::in_folder(&docs).check(&file)?;
            report.outdated.iter().for_each(|line| println!("{line}"));
            let (confirmed, outdated) = (report.confirmed.len(), report.outdated.len());
            println!("{confirmed} lines hold, {outdated} are out of date");
            for (label, names) in [
                ("not on the page as measured", &report.not_on_page),
                ("on the page, not in this run", &report.not_in_run),
            ] {
                if !names.is_empty() {
                    println!("{label}: {}", names.join(", "));
                }
            }
            Ok(if outdated == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_OUT_OF_DATE) })
        }
    }
}

fn main() -> ExitCode {
    let (run_args, figures) = match Cli::parse().experiment {
        Experiment::Capacity { command } => {
            return capacity(command).unwrap_or_else(|error| {
                eprintln!("doorgrade-lab: {error}");
                ExitCode::FAILURE
            });
        }
        Experiment::Shape { run_args, front, logs, timeline } => {
            (run_args.clone(), shape::run(&run_args, front, logs, timeline))
        }
        Experiment::Check { run_args } => (run_args.clone(), Ok(check::run(&run_args))),
        Experiment::Config { run_args, front, followers, virtual_only } => {
            let mut figures =
                if virtual_only { Ok(Figures::default()) } else { stream::run(&run_args, front, followers) };
            if let Ok(figures) = &mut figures {
                config::run(&run_args, figures);
            }
            (run_args.clone(), figures)
        }
        Experiment::Fleet { run_args, front } => (run_args.clone(), fleet::run(&run_args, front)),
        Experiment::Return { run_args, front, fronts, timeline, virtual_only, seeds, plot } => {
            let figures = match virtual_only {
                true => sizes::run(&run_args, &fronts, seeds, plot.as_deref()),
                false => returns::run(&run_args, front, &fronts, timeline),
            };
            (run_args, figures)
        }
        Experiment::Soak { run_args, front } => (run_args.clone(), soak::run(&run_args, front)),
        Experiment::Shares { run_args, front, places } => {
            (run_args.clone(), shares::run(&run_args, front, places))
        }
        Experiment::Evidence { run_args } => (run_args.clone(), Ok(evidence::run(&run_args))),
        Experiment::Cold { run_args } => (run_args.clone(), Ok(cold_figures::run(&run_args))),
        Experiment::Scale { run_args, args } => {
            let figures = scale::run(&run_args, &args).map_err(|e| e.to_string());
            (run_args, figures)
        }
        Experiment::Fills { run_args, rate, exponent } => {
            (run_args.clone(), fills::run(&run_args, rate, exponent))
        }
        Experiment::Log { run_args } => (run_args.clone(), Ok(log::run(&run_args))),
    };
    match figures {
        Ok(figures) => {
            figures.print(run_args.json);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("doorgrade-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
