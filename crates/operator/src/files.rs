//! Both files together, as a program finds them.

use std::path::{Path, PathBuf};

use doorgrade_hierarchy::Change;

use crate::doc::Problems;
use crate::settings::Settings;
use crate::shape;

/// Where the settings stand, seen from where the program is started, if nobody says otherwise.
pub const USUAL: &str = "deploy/doorgrade.hcl";

/// The settings, and the changes of shape that they point to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Files {
    pub settings: Settings,
    pub shape: Vec<Change>,
}

fn text(path: &Path) -> Result<String, Problems> {
    let name = path.display().to_string();
    std::fs::read_to_string(path).map_err(|e| Problems::of(&name, format_args!("can't be read: {e}")))
}

/// The changes that a shape file tells.
pub fn shape(path: &Path) -> Result<Vec<Change>, Problems> {
    shape::read(&path.display().to_string(), &text(path)?)
}

/// The path of a file that settings name: beside them unless it is absolute.
pub fn beside(settings: &Path, named: &str) -> PathBuf {
    settings.parent().unwrap_or(Path::new("")).join(named)
}

/// From the file named, or from the usual one if that is there; all as it always was if there is none.
pub fn load(named: Option<&Path>) -> Result<Files, Problems> {
    let usual = Path::new(USUAL);
    let Some(path) = named.or_else(|| Some(usual).filter(|p| p.exists())) else {
        return Ok(Files::default());
    };
    let settings = Settings::read(&path.display().to_string(), &text(path)?)?;
    let shape = match &settings.hierarchy {
        Some(hierarchy) => shape(&beside(path, &hierarchy.shape))?,
        None => Vec::new(),
    };
    Ok(Files { settings, shape })
}
