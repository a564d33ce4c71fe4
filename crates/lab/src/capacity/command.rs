//! `doorgrade-lab capacity`: renders the page, and checks it against a run.

use std::path::{Path, PathBuf};

use super::check::{Checked, Run, check};
use super::data::{Data, text};
use super::page::render;
use super::trouble::Trouble;

/// The folder of the page, its template and its data, seen from the repository's root.
pub const DOCS: &str = "docs";

pub struct Files {
    pub data: PathBuf,
    pub template: PathBuf,
    pub page: PathBuf,
}

impl Files {
    pub fn in_folder(docs: &Path) -> Files {
        let at = |name| docs.join(name);
        Files { data: at("capacity.json"), template: at("capacity.md.template"), page: at("CAPACITY.md") }
    }

    /// The page as its data and template have it now.
    pub fn rendered(&self) -> Result<String, Trouble> {
        render(&Data::load(&self.data)?, &text(&self.template)?)
    }

    pub fn render(&self) -> Result<(), Trouble> {
        let page = self.rendered()?;
        let unwritable = |why| Trouble::Unwritable { file: self.page.clone(), why };
        std::fs::write(&self.page, page).map_err(unwritable)
    }

    pub fn check(&self, run: &Path) -> Result<Checked, Trouble> {
        Ok(check(&Data::load(&self.data)?, &Run::load(run)?))
    }
}
