//! The options that all experiments have, and the figures that they print.

use clap::Args;
use serde_json::{Map, Value};

#[derive(Args, Clone)]
pub struct RunArgs {
    /// Seed of all random numbers in the run
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A shorter run, of under 30 s
    #[arg(long)]
    pub quick: bool,
    /// The figures as one JSON object on the last line
    #[arg(long)]
    pub json: bool,
}

/// Named figures, in the order in which they are printed.
#[derive(Clone, Default)]
pub struct Figures(Map<String, Value>);

impl Figures {
    pub fn put(&mut self, name: &str, value: impl Into<Value>) {
        self.0.insert(name.to_owned(), value.into());
    }

    /// Rounded to four decimals, about the precision of the measurements.
    pub fn put_rounded(&mut self, name: &str, value: f64) {
        self.put(name, (value * 1e4).round() / 1e4);
    }

    pub fn get(&self, name: &str) -> Option<&Value> {
        self.0.get(name)
    }

    pub fn print(&self, json: bool) {
        let width = self.0.keys().map(String::len).max().unwrap_or(0);
        self.0.iter().for_each(|(name, value)| println!("{name:width$}  {value}"));
        if json {
            println!("{}", Value::Object(self.0.clone()));
        }
    }
}
