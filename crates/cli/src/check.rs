//! `doorgrade check`: all that a front reads at its start, without starting one.

use std::path::PathBuf;

use doorgrade_front::config::Config;
use doorgrade_hierarchy::Shape;
use doorgrade_operator::files;

use crate::{End, say};

pub fn check(
    config: Option<PathBuf>,
    name: Option<String>,
    listen: Option<String>,
    settings: Option<PathBuf>,
) -> Result<End, String> {
    let (mut lines, mut wrong) = (String::new(), false);
    let mut report = |what: Result<String, String>| {
        wrong |= what.is_err();
        let (Ok(line) | Err(line)) = what;
        lines.push_str(&line);
        lines.push('\n');
    };
    match &config {
        None => report(Ok(
            "no configuration named (--config, PROXY_CONFIG): only the settings are checked".into()
        )),
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let read = Config::read(&text, name, listen);
            report(match read {
                Ok(read) => Ok(format!(
                    "{}: sound; {} listens on {}, {} events known",
                    path.display(),
                    read.name,
                    read.listen,
                    read.known.1.len()
                )),
                Err(why) => Err(format!("{}: {why}", path.display())),
            });
        }
    }
    match files::load(settings.as_deref()) {
        Err(problems) => report(Err(problems.to_string())),
        Ok(files) => match &files.settings.hierarchy {
            None => report(Ok("settings: sound; the hierarchy is off".into())),
            Some(hierarchy) => {
                let mut shape = Shape::new();
                files.shape.iter().for_each(|c| drop(shape.apply(c)));
                let asides = shape.pending_changes();
                report(Ok(format!(
                    "settings: sound; the hierarchy is on, {} members in {}",
                    shape.len(),
                    hierarchy.shape
                )));
                for aside in asides {
                    report(Err(format!("{}: {}: {}", hierarchy.shape, aside.member, aside.reason)));
                }
            }
        },
    }
    say(&lines)?;
    Ok(if wrong { End::Wrong } else { End::Done })
}
