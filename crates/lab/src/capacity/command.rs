//! The subcommands of `doorgrade-lab capacity`.

use std::path::{Path, PathBuf};

use super::check::{CheckReport, check};
use super::data::{Data, read_file};
use super::error::PageError;
use super::page::render;
use super::run::Run;
use super::take::take;

/// The folder of the page, its template and its data, relative to the repository's root.
pub const DOCS: &str = "docs";

pub struct PageFiles {
    pub data: PathBuf,
    pub template: PathBuf,
    pub page: PathBuf,
}

impl PageFiles {
    pub fn in_folder(docs: &Path) -> PageFiles {
        let path = |name| docs.join(name);
        PageFiles {
            data: path("capacity.json"),
            template: path("capacity.md.template"),
            page: path("CAPACITY.md"),
        }
    }

    /// The text of the page, from its data and template.
    pub fn rendered(&self) -> Result<String, PageError> {
        render(&Data::load(&self.data)?, &read_file(&self.template)?)
    }

    /// Writes the page.
    pub fn render(&self) -> Result<(), PageError> {
        let page = self.rendered()?;
        let unwritable = |reason| PageError::Unwritable { file: self.page.clone(), reason };
        std::fs::write(&self.page, page).map_err(unwritable)
    }

    /// Copies a run's figures into the data file, which has to be valid before and after, and renders the page. Returns
    /// the names of the figures that are new in the data file.
    pub fn take(&self, run: &Path) -> Result<Vec<String>, PageError> {
        let mut data: serde_json::Value = serde_json::from_str(&read_file(&self.data)?)?;
        let new = take(&mut data, &Run::load(run)?)?;
        let updated = serde_json::to_string_pretty(&data)? + "\n";
        Data::parse(&updated)?;
        let unwritable = |reason| PageError::Unwritable { file: self.data.clone(), reason };
        std::fs::write(&self.data, updated).map_err(unwritable)?;
        self.render()?;
        Ok(new)
    }

    pub fn check(&self, run: &Path) -> Result<CheckReport, PageError> {
        Ok(check(&Data::load(&self.data)?, &Run::load(run)?))
    }
}
