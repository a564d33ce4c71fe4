//! Finds and loads the settings and the shape file that they name.

use std::path::{Path, PathBuf};

use doorgrade_hierarchy::Change;

use crate::document::Problems;
use crate::settings::Settings;
use crate::shape;

/// Path of the settings if none is given, relative to the working directory.
pub const DEFAULT_PATH: &str = "deploy/doorgrade.hcl";

/// The settings, and the shape changes from the file that they name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Files {
    pub settings: Settings,
    pub shape: Vec<Change>,
}

fn read_text(path: &Path) -> Result<String, Problems> {
    let name = path.display().to_string();
    std::fs::read_to_string(path).map_err(|e| Problems::of_file(&name, format_args!("can't be read: {e}")))
}

/// The changes in a shape file.
pub fn shape(path: &Path) -> Result<Vec<Change>, Problems> {
    shape::read(&path.display().to_string(), &read_text(path)?)
}

/// Resolves a path in the settings: relative to the folder of the settings file, unless it is absolute.
pub fn resolve(settings: &Path, path: &str) -> PathBuf {
    settings.parent().unwrap_or(Path::new("")).join(path)
}

/// Loads the given settings file, or the one at [`DEFAULT_PATH`] if it exists; defaults if there is none.
pub fn load(path: Option<&Path>) -> Result<Files, Problems> {
    let default = Path::new(DEFAULT_PATH);
    let Some(path) = path.or_else(|| Some(default).filter(|p| p.exists())) else {
        return Ok(Files::default());
    };
    let settings = Settings::read(&path.display().to_string(), &read_text(path)?)?;
    let shape = match &settings.hierarchy {
        Some(hierarchy) => shape(&resolve(path, &hierarchy.shape))?,
        None => Vec::new(),
    };
    Ok(Files { settings, shape })
}
