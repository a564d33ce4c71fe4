//! The phases of the membership simulation, one after another in one fleet: normal operation, restarts, lost sites and zones,
//! partitions, and the recovery from each. Each phase is measured on its own: its cost for a member, and the time until all
//! members know each other's current incarnations.

use doorgrade::Ticks;

use super::simulation::{REGIONS, SECOND, Simulation, site, zone};
use crate::scale::{Budget, BudgetError};

/// The window, in seconds, over which the operators' bandwidth budget applies.
pub const WINDOW_S: usize = 30;
/// Share of pairs that counts as all. With 1% of datagrams lost, a few members are suspected at any moment.
const KNOWN_SHARE: f64 = 0.999;
/// The longest time of a phase other than a partition. If not all are known by then, this is reported as the time it took.
const MAX_PHASE_S: usize = 240;
/// How long a phase goes on once all are known, so that its gossip has ended before the next one starts.
const SETTLE_S: usize = 20;
/// Duration of a partition.
const PARTITION_S: usize = 120;
/// Time between the end of a process and the start of its replacement.
const RESTART_TIME: Ticks = 2 * SECOND;

/// The event at the start of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All start at the same time.
    Join,
    /// Nothing happens: normal operation.
    Rest,
    /// One member is replaced. The target has 96 replacements a day.
    Restart,
    /// A tenth of a site is replaced at once.
    RestartTenth,
    SiteLost,
    SiteBack,
    ZoneLost,
    ZoneBack,
    RegionCut,
    RegionHealed,
    /// Half of the regions are partitioned from the other half.
    HalvesCut,
    HalvesHealed,
    /// All are killed, and start again at the same time.
    AllBack,
}

impl Phase {
    pub const ALL: [Phase; 13] = [
        Phase::Join,
        Phase::Rest,
        Phase::Restart,
        Phase::RestartTenth,
        Phase::SiteLost,
        Phase::SiteBack,
        Phase::ZoneLost,
        Phase::ZoneBack,
        Phase::RegionCut,
        Phase::RegionHealed,
        Phase::HalvesCut,
        Phase::HalvesHealed,
        Phase::AllBack,
    ];

    /// Part of the names of figures.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Join => "join",
            Phase::Rest => "rest",
            Phase::Restart => "restart",
            Phase::RestartTenth => "restart_tenth",
            Phase::SiteLost => "site_lost",
            Phase::SiteBack => "site_back",
            Phase::ZoneLost => "zone_lost",
            Phase::ZoneBack => "zone_back",
            Phase::RegionCut => "cut",
            Phase::RegionHealed => "heal",
            Phase::HalvesCut => "halves_cut",
            Phase::HalvesHealed => "halves_heal",
            Phase::AllBack => "all_back",
        }
    }

    /// A description for the data file.
    pub fn description(self) -> &'static str {
        match self {
            Phase::Join => "all start at the same time",
            Phase::Rest => "at rest",
            Phase::Restart => "one is replaced, as 96 times a day",
            Phase::RestartTenth => "a tenth of a site is replaced at once",
            Phase::SiteLost => "a site is lost",
            Phase::SiteBack => "the site is back",
            Phase::ZoneLost => "a zone is lost",
            Phase::ZoneBack => "the zone is back",
            Phase::RegionCut => "the largest of 12 regions is cut off",
            Phase::RegionHealed => "the region that was cut off for 120 s is back",
            Phase::HalvesCut => "six regions are cut off from the other six",
            Phase::HalvesHealed => "six regions that were cut off for 120 s are back",
            Phase::AllBack => "all are killed, and start at the same time",
        }
    }
}

/// The cost of one phase. Bytes are those on the wire.
#[derive(Clone, Copy, Debug, Default)]
pub struct PhaseCost {
    /// Bytes per second, mean over all members and the first 30 s of the phase.
    pub sent_per_s: f64,
    pub received_per_s: f64,
    /// Bytes per second sent or received, whichever is more, by the worst member in its worst 30 s.
    pub max_per_s: f64,
    /// Time until 99.9% of pairs know each other's current incarnations.
    pub known_after_s: f64,
    /// Share of one core, in the first 30 s of the phase.
    pub core_share: f64,
}

/// The result of a run of all phases.
pub struct PhaseRun {
    pub costs: Vec<(Phase, PhaseCost)>,
    pub simulation: Simulation,
}

struct PhaseRunner<'a> {
    simulation: Simulation,
    budget: &'a Budget,
    costs: Vec<(Phase, PhaseCost)>,
}

/// Runs all phases with a fleet of this size.
pub fn run_phases(seed: u64, size: usize, budget: &Budget) -> Result<PhaseRun, BudgetError> {
    let mut runner = PhaseRunner { simulation: Simulation::new(seed, size), budget, costs: Vec::new() };
    for phase in Phase::ALL {
        runner.run_phase(phase)?;
    }
    Ok(PhaseRun { costs: runner.costs, simulation: runner.simulation })
}

impl PhaseRunner<'_> {
    fn run_phase(&mut self, phase: Phase) -> Result<(), BudgetError> {
        self.start_phase(phase)?;
        let (from, cpu_before) = (self.simulation.current_second(), self.total_cpu_ns());
        let (mut known_at, mut window_cpu_ns) = (None, 0);
        let partitioned = matches!(phase, Phase::RegionCut | Phase::HalvesCut);
        let end = if partitioned { PARTITION_S } else { MAX_PHASE_S };
        for second in 1..=end {
            self.advance(SECOND)?;
            if second == WINDOW_S {
                window_cpu_ns = self.total_cpu_ns() - cpu_before;
            }
            // A partition lasts its full time, whether all are known or not.
            if known_at.is_none() && self.simulation.known_share() >= KNOWN_SHARE {
                known_at = Some(second);
            }
            let settled = known_at.is_some_and(|known_at| second >= known_at.max(WINDOW_S) + SETTLE_S);
            if settled && !partitioned {
                break;
            }
        }
        let cost = self.cost(from, known_at.unwrap_or(end) as f64, window_cpu_ns);
        self.costs.push((phase, cost));
        Ok(())
    }

    /// Advances the simulation after a check of the budget; by a few seconds at most, so that a run can be stopped.
    fn advance(&mut self, duration: Ticks) -> Result<(), BudgetError> {
        self.budget.check()?;
        self.simulation.advance(duration);
        Ok(())
    }

    fn total_cpu_ns(&self) -> u64 {
        self.simulation.nodes.iter().map(|n| n.cpu_ns).sum()
    }

    fn start_phase(&mut self, phase: Phase) -> Result<(), BudgetError> {
        let size = self.simulation.nodes.len();
        let select =
            |predicate: &dyn Fn(usize) -> bool| (0..size).filter(|&n| predicate(n)).collect::<Vec<_>>();
        // Sites and zones that don't hold all of the seed members.
        let (lost_site, lost_zone) = (site(7), zone(9));
        match phase {
            Phase::Rest => {}
            Phase::Join => self.start(&select(&|_| true)),
            Phase::Restart => self.replace(&[size / 3])?,
            Phase::RestartTenth => {
                let site = select(&|n| site(n) == lost_site);
                self.replace(&site[..site.len().div_ceil(10)])?;
            }
            Phase::SiteLost => self.kill(&select(&|n| site(n) == lost_site)),
            Phase::SiteBack => self.start(&select(&|n| site(n) == lost_site)),
            Phase::ZoneLost => self.kill(&select(&|n| zone(n) == lost_zone)),
            Phase::ZoneBack => self.start(&select(&|n| zone(n) == lost_zone)),
            Phase::RegionCut => self.simulation.isolated_regions = 1,
            Phase::HalvesCut => self.simulation.isolated_regions = REGIONS / 2,
            Phase::RegionHealed | Phase::HalvesHealed => self.simulation.isolated_regions = 0,
            Phase::AllBack => self.replace(&select(&|_| true))?,
        }
        Ok(())
    }

    fn start(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|&n| self.simulation.start(n));
    }

    fn kill(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|&n| self.simulation.kill(n));
    }

    fn replace(&mut self, nodes: &[usize]) -> Result<(), BudgetError> {
        self.kill(nodes);
        self.advance(RESTART_TIME)?;
        self.start(nodes);
        Ok(())
    }

    fn cost(&self, from: usize, known_after_s: f64, cpu_ns: u64) -> PhaseCost {
        let nodes = &self.simulation.nodes;
        let (to, window) = (self.simulation.current_second(), WINDOW_S as f64);
        let member_seconds = nodes.len() as f64 * window;
        let mean = |value_of: &dyn Fn(usize) -> u64| {
            (0..nodes.len()).map(value_of).sum::<u64>() as f64 / member_seconds
        };
        let sent_per_s = mean(&|n| nodes[n].sent.sum(from, from + WINDOW_S));
        let received_per_s = mean(&|n| nodes[n].received.sum(from, from + WINDOW_S));
        let windows = || from..=to.saturating_sub(WINDOW_S).max(from);
        let max_bytes = |n: usize| {
            let bytes_from =
                |s| nodes[n].sent.sum(s, s + WINDOW_S).max(nodes[n].received.sum(s, s + WINDOW_S));
            windows().map(bytes_from).max().unwrap_or(0)
        };
        let max_per_s = (0..nodes.len()).map(max_bytes).max().unwrap_or(0) as f64 / window;
        let core_share = cpu_ns as f64 / 1e9 / member_seconds;
        PhaseCost { sent_per_s, received_per_s, max_per_s, known_after_s, core_share }
    }
}
