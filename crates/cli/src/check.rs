//! `doorgrade check`: validates all that a front reads when it starts, without starting one.

use std::path::PathBuf;

use doorgrade_front::config::Config;
use doorgrade_hierarchy::Shape;
use doorgrade_operator::files;

use crate::{Outcome, write_stdout};

pub fn check(
    config: Option<PathBuf>,
    name: Option<String>,
    listen: Option<String>,
    settings: Option<PathBuf>,
) -> Result<Outcome, String> {
    let (mut lines, mut has_problems) = (String::new(), false);
    let mut report = |result: Result<String, String>| {
        has_problems |= result.is_err();
        let (Ok(line) | Err(line)) = result;
        lines.push_str(&line);
        lines.push('\n');
    };
    match &config {
        None => report(Ok(
            "no configuration given (--config, PROXY_CONFIG): only the settings are checked".into()
        )),
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let result = Config::read(&text, name, listen);
            report(match result {
                Ok(config) => Ok(format!(
                    "{}: sound; {} listens on {}, {} events known",
                    path.display(),
                    config.name,
                    config.listen,
                    config.known.1.len()
                )),
                Err(reason) => Err(format!("{}: {reason}", path.display())),
            });
        }
    }
    match files::load(settings.as_deref()) {
        Err(problems) => report(Err(problems.to_string())),
        Ok(files) => match &files.settings.hierarchy {
            None => report(Ok("settings: sound; the hierarchy is off".into())),
            Some(hierarchy) => {
                let mut shape = Shape::new();
                files.shape.iter().for_each(|change| drop(shape.apply(change)));
                let pending = shape.pending_changes();
                report(Ok(format!(
                    "settings: sound; the hierarchy is on, {} members in {}",
                    shape.len(),
                    hierarchy.shape
                )));
                for change in pending {
                    report(Err(format!("{}: {}: {}", hierarchy.shape, change.member, change.reason)));
                }
            }
        },
    }
    write_stdout(&lines)?;
    Ok(if has_problems { Outcome::ProblemsFound } else { Outcome::Done })
}
