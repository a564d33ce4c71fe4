//! The program `doorgrade`. Arguments, exit codes, and output for people and for scripts; nothing else.
//! Without a command it serves.
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

/// A front for caches of large objects behind thin links.
///
/// Without a command it serves: it reads the platform's configuration and the operators' settings, listens, and
/// goes on until SIGTERM. SIGHUP makes it read both again.
#[derive(Parser)]
#[command(name = "doorgrade", version, after_help = EXIT_CODES)]
struct Cli {
    #[command(flatten)]
    place: Told,
    #[command(subcommand)]
    command: Option<Command>,
}

const EXIT_CODES: &str = "Exit codes: 0 done; 1 it could not be done; 2 the arguments are wrong; \
    3 looked at, and something is wrong; 4 looked at, and they differ.";

#[derive(Args)]
struct Told {
    /// The platform's configuration, a JSON file
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// The instance's name, in place of the configuration's
    #[arg(long, env = "PROXY_NAME", global = true)]
    name: Option<String>,
    /// The address to listen on, in place of the configuration's
    #[arg(long, env = "PROXY_LISTEN", value_name = "ADDRESS", global = true)]
    listen: Option<String>,
    /// The operators' settings, an HCL file; deploy/doorgrade.hcl if that is there
    #[arg(long, env = "DOORGRADE_SETTINGS", value_name = "FILE", global = true)]
    settings: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves, as without a command
    Serve,
    /// Reads the configuration, the settings and the shape, and says what is wrong with them
    Check,
    /// Looks at shapes of the cache hierarchy
    #[command(subcommand)]
    Shape(Shape),
    /// Serves versions of the configuration to fronts, and answers the commands below `config`
    Control {
        /// The service's settings, an HCL file
        #[arg(long, value_name = "FILE", default_value = doorgrade_control::settings::DEFAULT_PATH)]
        file: PathBuf,
    },
    /// Publishes versions of the configuration and shows how they fare; talks to the service that the settings name
    #[command(subcommand)]
    Config(config::Config),
    /// Starts, checks, drains and stops instances of the program, and answers the commands below `fleet`
    Agent {
        /// The agent's settings, an HCL file
        #[arg(long, value_name = "FILE", default_value = doorgrade_agent::serve::DEFAULT_PATH)]
        file: PathBuf,
    },
    /// Orders for instances, and how they stand; asks the agent whose settings are named
    Fleet(fleet::Fleet),
    /// How a front stands among others; asks the front whose settings are named
    Neighbours(neighbours::Neighbours),
    /// What a front remembers over a restart
    #[command(subcommand)]
    Recall(recall::Recall),
    /// Makes authorities, certificates and seal keys, and shows when they end
    #[command(subcommand)]
    Keys(keys::Keys),
    /// Writes the completions for a shell to standard output
    Completions { shell: clap_complete::Shell },
    /// Writes the manual's pages into a folder
    Man { folder: PathBuf },
}

#[derive(Subcommand)]
enum Shape {
    /// Shows a shape as a tree
    Show {
        /// The shape's file; the one that the settings name if none is given
        file: Option<PathBuf>,
        /// As a table
        #[arg(long, conflicts_with = "json")]
        table: bool,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Says what of a shape can't be in force, and why; a loop is drawn as a ring
    Check {
        file: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Says what a change of shape comes to: who comes, goes and is hung elsewhere, and which share of the
    /// objects moves
    Diff {
        old: PathBuf,
        new: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

/// What a command came to.
pub enum End {
    Done,
    Wrong,
    Differ,
}

impl From<End> for ExitCode {
    fn from(end: End) -> ExitCode {
        ExitCode::from(match end {
            End::Done => 0,
            End::Wrong => 3,
            End::Differ => 4,
        })
    }
}

/// A command's output: lines for people, or one object for scripts.
pub fn say(text: &str) -> Result<(), String> {
    let mut out = std::io::stdout().lock();
    // A reader that has seen enough is no failure.
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(format!("standard output: {e}")),
        _ => Ok(()),
    }
}

fn man(folder: &std::path::Path) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    clap_mangen::generate_to(Cli::command(), folder).map_err(|e| format!("{}: {e}", folder.display()))
}

fn run(cli: Cli) -> Result<End, String> {
    let Told { config, name, listen, settings } = cli.place;
    let of_shape = |file: Option<PathBuf>| shape::file(file, settings.as_deref());
    match cli.command {
        None | Some(Command::Serve) => {
            let config = config.ok_or("PROXY_CONFIG is not set: expected the path of the configuration")?;
            let descriptors = Descriptors::at_start();
            serve(ConfigSources { config, name, listen, settings, descriptors }).map(|()| End::Done)
        }
        Some(Command::Check) => check::check(config, name, listen, settings),
        Some(Command::Shape(Shape::Show { file, table, json })) => shape::show(&of_shape(file)?, table, json),
        Some(Command::Shape(Shape::Check { file, json })) => shape::check(&of_shape(file)?, json),
        Some(Command::Shape(Shape::Diff { old, new, json })) => shape::diff(&old, &new, json),
        Some(Command::Control { file }) => {
            let settings = doorgrade_control::settings::Settings::load(&file)?;
            doorgrade_log::start(doorgrade_log::LevelFilter::INFO, doorgrade_log::Format::Human);
            doorgrade_control::serve::serve(settings).map(|()| End::Done)
        }
        Some(Command::Config(command)) => config::run(command, settings),
        Some(Command::Agent { file }) => {
            let settings = doorgrade_agent::serve::Settings::load(&file)?;
            doorgrade_log::start(doorgrade_log::LevelFilter::INFO, doorgrade_log::Format::Human);
            doorgrade_agent::serve::serve(settings).map(|()| End::Done)
        }
        Some(Command::Fleet(command)) => fleet::run(command),
        Some(Command::Neighbours(command)) => neighbours::run(&command, settings),
        Some(Command::Recall(command)) => recall::run(command, settings),
        Some(Command::Keys(command)) => keys::run(command),
        Some(Command::Completions { shell }) => {
            let mut out = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "doorgrade", &mut out);
            say(&String::from_utf8_lossy(&out)).map(|()| End::Done)
        }
        Some(Command::Man { folder }) => man(&folder).map(|()| End::Done),
    }
}

fn main() -> ExitCode {
    let end = end(Cli::parse());
    doorgrade_log::finish();
    end
}

fn end(cli: Cli) -> ExitCode {
    let serves = matches!(cli.command, None | Some(Command::Serve));
    match run(cli) {
        Ok(end) => end.into(),
        Err(why) if serves => {
            doorgrade_log::start(doorgrade_log::LevelFilter::INFO, doorgrade_log::Format::Human);
            doorgrade_log::tracing::error!("{why}");
            ExitCode::FAILURE
        }
        Err(why) => {
            let _ = writeln!(std::io::stderr(), "doorgrade: {why}");
            ExitCode::FAILURE
        }
    }
}
