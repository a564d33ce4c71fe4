//! `doorgrade-lab capacity`: renders the page, and checks it against a run.

use std::path::{Path, PathBuf};

use super::check::{Checked, check};
use super::data::{Data, text};
use super::page::render;
use super::run::Run;
use super::take::take;
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

    /// Puts a run's figures into the data, which has to be sound before and after, and renders the page. Gives the names of
    /// those that no line of the page had.
    pub fn take(&self, run: &Path) -> Result<Vec<String>, Trouble> {
        let mut data: serde_json::Value = serde_json::from_str(&text(&self.data)?)?;
        let new = take(&mut data, &Run::load(run)?)?;
        let taken = serde_json::to_string_pretty(&data)? + "\n";
        Data::parse(&taken)?;
        let unwritable = |why| Trouble::Unwritable { file: self.data.clone(), why };
        std::fs::write(&self.data, taken).map_err(unwritable)?;
        self.render()?;
        Ok(new)
    }

    pub fn check(&self, run: &Path) -> Result<Checked, Trouble> {
        Ok(check(&Data::load(&self.data)?, &Run::load(run)?))
    }
}
