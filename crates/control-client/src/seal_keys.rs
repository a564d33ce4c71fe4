//! The operators' keys that seal versions and datagrams: read from their file, and looked at again now and then.

use std::path::Path;
use std::time::Duration;

use doorgrade_operator::control;
use doorgrade_trust::rotation;

/// Secrets by their number.
pub type SealKeys = Vec<(u32, Vec<u8>)>;

/// How often keys and certificates are looked at.
pub const RELOAD_EACH: Duration = Duration::from_secs(10);

/// Reads and checks a file of keys; the message names the file and what is wrong in it.
pub fn read_keys(file: &Path) -> Result<SealKeys, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: can't be read: {e}"))?;
    let keys = control::seal_keys(&name, &text).map_err(|problems| problems.to_string())?;
    rotation::check(&keys).map_err(|error| format!("{name}: {error}"))?;
    Ok(keys)
}

/// What has changed since `known` was read. A file that is just being written, and can't be read, has not.
pub fn changed(file: &Path, known: &SealKeys) -> Option<SealKeys> {
    read_keys(file).ok().filter(|new| new != known)
}
