//! The binary `doorgrade`: command line arguments, exit codes, and output as text or JSON. The work itself is done in
//! the other packages. Without a command it runs a front.
#![forbid(unsafe_code)]

mod check;
mod config;
mod fleet;
mod keys;
mod neighbours;
mod recall;
mod shape;
mod table;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use doorgrade_front::active_config::ConfigSources;
use doorgrade_front::descriptors::Descriptors;
use doorgrade_front::serve::serve;

/// A front for caches of large objects behind slow links.
///
/// Without a command it serves: it reads the platform's configuration and the operators' settings, listens, and
/// runs until SIGTERM. SIGHUP makes it reload both.
#[derive(Parser)]
#[command(name = "doorgrade", version, after_help = EXIT_CODES)]
struct Cli {
    #[command(flatten)]
    config_args: ConfigArgs,
    #[command(subcommand)]
    command: Option<Command>,
}

const EXIT_CODES: &str = "Exit codes: 0 success; 1 failure; 2 invalid arguments; \
    3 the check found problems; 4 the compared items differ.";

#[derive(Args)]
struct ConfigArgs {
    /// Path of the platform's configuration, a JSON file
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// The instance's name; overrides the configuration
    #[arg(long, env = "PROXY_NAME", global = true)]
    name: Option<String>,
    /// The address to listen on; overrides the configuration
    #[arg(long, env = "PROXY_LISTEN", value_name = "ADDRESS", global = true)]
    listen: Option<String>,
    /// Path of the operators' settings, an HCL file; by default deploy/doorgrade.hcl if it exists
    #[arg(long, env = "DOORGRADE_SETTINGS", value_name = "FILE", global = true)]
    settings: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a front, as without a command
    Serve,
    /// Validates the configuration, the settings and the shape, and reports problems
    Check,
    /// Inspects shapes of the cache hierarchy
    #[command(subcommand)]
    Shape(Shape),
    /// Runs the service that distributes configuration versions to fronts; the `config` commands talk to it
    Control {
        /// The service's settings, an HCL file
        #[arg(long, value_name = "FILE", default_value = doorgrade_control::settings::DEFAULT_PATH)]
        file: PathBuf,
    },
    /// Publishes configuration versions and shows their rollout; talks to the service named in the settings
    #[command(subcommand)]
    Config(config::Config),
    /// Runs the agent that starts, checks, drains and stops instances of the program; the `fleet` commands talk to it
    Agent {
        /// The agent's settings, an HCL file
        #[arg(long, value_name = "FILE", default_value = doorgrade_agent::serve::DEFAULT_PATH)]
        file: PathBuf,
    },
    /// Gives orders for instances and shows their state; talks to the agent whose settings are named
    Fleet(fleet::Fleet),
    /// Shows which other fronts a front knows and their state; asks the front whose settings are named
    Neighbours(neighbours::Neighbours),
    /// Shows what a front remembers across a restart
    #[command(subcommand)]
    Recall(recall::Recall),
    /// Creates certificate authorities, certificates and seal keys, and shows when they expire
    #[command(subcommand)]
    Keys(keys::Keys),
    /// Writes shell completions to standard output
    Completions { shell: clap_complete::Shell },
    /// Writes the manual pages into a folder
    Man { folder: PathBuf },
}

#[derive(Subcommand)]
enum Shape {
    /// Shows a shape as a tree
    Show {
        /// The shape's file; by default the one named in the settings
        file: Option<PathBuf>,
        /// Prints a table
        #[arg(long, conflicts_with = "json")]
        table: bool,
        /// Prints one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Reports which parts of a shape can't take effect, and why; a cycle is drawn as a ring
    Check {
        file: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Compares two shapes: members added, removed or given other sources, and the share of objects that
    /// moves to another home
    Diff {
        old: PathBuf,
        new: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

/// The result of a command, which determines its exit code.
pub enum Outcome {
    Done,
    /// A check found problems.
    ProblemsFound,
    /// The compared items differ.
    Differ,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        ExitCode::from(match outcome {
            Outcome::Done => 0,
            Outcome::ProblemsFound => 3,
            Outcome::Differ => 4,
        })
    }
}

/// Writes a command's output to standard output: text, or a JSON object.
pub fn write_stdout(text: &str) -> Result<(), String> {
    let mut out = std::io::stdout().lock();
    // A reader that closes the pipe early (`| head`) is no failure.
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(format!("standard output: {e}")),
        _ => Ok(()),
    }
}

fn man(folder: &std::path::Path) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    clap_mangen::generate_to(Cli::command(), folder).map_err(|e| format!("{}: {e}", folder.display()))
}

fn run(cli: Cli) -> Result<Outcome, String> {
    let ConfigArgs { config, name, listen, settings } = cli.config_args;
    let shape_file = |file: Option<PathBuf>| shape::file(file, settings.as_deref());
    match cli.command {
        None | Some(Command::Serve) => {
            let config = config.ok_or("PROXY_CONFIG is not set: expected the path of the configuration")?;
            let descriptors = Descriptors::at_start();
            serve(ConfigSources { config, name, listen, settings, descriptors }).map(|()| Outcome::Done)
        }
        Some(Command::Check) => check::check(config, name, listen, settings),
        Some(Command::Shape(Shape::Show { file, table, json })) => {
            shape::show(&shape_file(file)?, table, json)
        }
        Some(Command::Shape(Shape::Check { file, json })) => shape::check(&shape_file(file)?, json),
        Some(Command::Shape(Shape::Diff { old, new, json })) => shape::diff(&old, &new, json),
        Some(Command::Control { file }) => {
            let settings = doorgrade_control::settings::Settings::load(&file)?;
            doorgrade_log::start(doorgrade_log::LevelFilter::INFO, doorgrade_log::Format::Human);
            doorgrade_control::serve::serve(settings).map(|()| Outcome::Done)
        }
        Some(Command::Config(command)) => config::run(command, settings),
        Some(Command::Agent { file }) => {
            let settings = doorgrade_agent::serve::Settings::load(&file)?;
            doorgrade_log::start(doorgrade_log::LevelFilter::INFO, doorgrade_log::Format::Human);
            doorgrade_agent::serve::serve(settings).map(|()| Outcome::Done)
        }
        Some(Command::Fleet(command)) => fleet::run(command),
        Some(Command::Neighbours(command)) => neighbours::run(&command, settings),
        Some(Command::Recall(command)) => recall::run(command, settings),
        Some(Command::Keys(command)) => keys::run(command),
        Some(Command::Completions { shell }) => {
            let mut out = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "doorgrade", &mut out);
            write_stdout(&String::from_utf8_lossy(&out)).map(|()| Outcome::Done)
        }
        Some(Command::Man { folder }) => man(&folder).map(|()| Outcome::Done),
    }
}

fn main() -> ExitCode {
    let exit_code = execute(Cli::parse());
    doorgrade_log::finish();
    exit_code
}

fn execute(cli: Cli) -> ExitCode {
    let serves = matches!(cli.command, None | Some(Command::Serve));
    match run(cli) {
        Ok(outcome) => outcome.into(),
        Err(reason) if serves => {
            doorgrade_log::start(doorgrade_log::LevelFilter::INFO, doorgrade_log::Format::Human);
            doorgrade_log::tracing::error!("{reason}");
            ExitCode::FAILURE
        }
        Err(reason) => {
            let _ = writeln!(std::io::stderr(), "doorgrade: {reason}");
            ExitCode::FAILURE
        }
    }
}
