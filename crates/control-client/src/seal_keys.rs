//! The operators' keys that authenticate ("seal") versions and datagrams: read from their file, and reloaded when it
//! changes.

use std::path::Path;
use std::time::Duration;

use doorgrade_operator::control;
use doorgrade_trust::rotation;

/// Secrets, each with the number that identifies its key.
pub type SealKeys = Vec<(u32, Vec<u8>)>;

/// How often the files of keys and certificates are checked for changes.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// Reads and checks a file of keys; the error names the file and what is wrong in it.
pub fn read_keys(file: &Path) -> Result<SealKeys, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: can't be read: {e}"))?;
    let keys = control::seal_keys(&name, &text).map_err(|problems| problems.to_string())?;
    rotation::check(&keys).map_err(|error| format!("{name}: {error}"))?;
    Ok(keys)
}

/// The keys in the file if they differ from `known`. A file that can't be read, since it is being written, counts as
/// unchanged.
pub fn changed_keys(file: &Path, known: &SealKeys) -> Option<SealKeys> {
    read_keys(file).ok().filter(|new| new != known)
}
