//! The target's troubles, one after another, in one world: what each costs a member, and until when all know.

use doorgrade::Ticks;

use super::world::{REGIONS, S, World, site, zone};
use crate::scale::{Budget, BudgetError};

/// In seconds: what the operators' budget is held to.
pub const WINDOW: usize = 30;
/// Of pairs. With one datagram in a hundred lost, a few are doubted at any moment.
const ALL_KNOW: f64 = 0.999;
/// How long all may take; longer is said as this.
const LONGEST_S: usize = 240;
/// After each trouble, until nothing of it is passed on any more.
const SETTLES_S: usize = 20;
const CUT_S: usize = 120;
/// A process that is replaced is back after so long.
const BACK: Ticks = 2 * S;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// All start at the same time.
    Join,
    Rest,
    /// One of 96 a day.
    Restart,
    /// A tenth of a site at once.
    RestartTenth,
    SiteLost,
    SiteBack,
    ZoneLost,
    ZoneBack,
    RegionCut,
    RegionHealed,
    /// Half of the regions from the other half.
    HalvesCut,
    HalvesHealed,
    /// All are killed, and back at the same time.
    AllBack,
}

impl Trouble {
    pub const ALL: [Trouble; 13] = [
        Trouble::Join,
        Trouble::Rest,
        Trouble::Restart,
        Trouble::RestartTenth,
        Trouble::SiteLost,
        Trouble::SiteBack,
        Trouble::ZoneLost,
        Trouble::ZoneBack,
        Trouble::RegionCut,
        Trouble::RegionHealed,
        Trouble::HalvesCut,
        Trouble::HalvesHealed,
        Trouble::AllBack,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Trouble::Join => "join",
            Trouble::Rest => "rest",
            Trouble::Restart => "restart",
            Trouble::RestartTenth => "restart_tenth",
            Trouble::SiteLost => "site_lost",
            Trouble::SiteBack => "site_back",
            Trouble::ZoneLost => "zone_lost",
            Trouble::ZoneBack => "zone_back",
            Trouble::RegionCut => "cut",
            Trouble::RegionHealed => "heal",
            Trouble::HalvesCut => "halves_cut",
            Trouble::HalvesHealed => "halves_heal",
            Trouble::AllBack => "all_back",
        }
    }

    pub fn what(self) -> &'static str {
        match self {
            Trouble::Join => "all start at the same time",
            Trouble::Rest => "at rest",
            Trouble::Restart => "one is replaced, as 96 times a day",
            Trouble::RestartTenth => "a tenth of a site is replaced at once",
            Trouble::SiteLost => "a site is lost",
            Trouble::SiteBack => "the site is back",
            Trouble::ZoneLost => "a zone is lost",
            Trouble::ZoneBack => "the zone is back",
            Trouble::RegionCut => "the largest of 12 regions is cut off",
            Trouble::RegionHealed => "the region that was cut off for 120 s is back",
            Trouble::HalvesCut => "six regions are cut off from the other six",
            Trouble::HalvesHealed => "six regions that were cut off for 120 s are back",
            Trouble::AllBack => "all are killed, and start at the same time",
        }
    }
}

/// Of one trouble. Bytes are as on the wire.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes a second that a member sends, mean over members and the 30 s after.
    pub sent: f64,
    pub received: f64,
    /// Bytes a second sent or received, whichever is more, of the worst member in its worst 30 s.
    pub worst: f64,
    /// Until 99.9% of pairs know each other's present lives.
    pub know_s: f64,
    /// Of one core, in the 30 s after.
    pub core_share: f64,
}

pub struct Played {
    pub costs: Vec<(Trouble, Cost)>,
    pub world: World,
}

struct Play<'a> {
    world: World,
    budget: &'a Budget,
    costs: Vec<(Trouble, Cost)>,
}

/// All troubles at one size.
pub fn play(seed: u64, size: usize, budget: &Budget) -> Result<Played, BudgetError> {
    let mut play = Play { world: World::new(seed, size), budget, costs: Vec::new() };
    for trouble in Trouble::ALL {
        play.one(trouble)?;
    }
    Ok(Played { costs: play.costs, world: play.world })
}

impl Play<'_> {
    fn one(&mut self, trouble: Trouble) -> Result<(), BudgetError> {
        self.begin(trouble)?;
        let (from, busy) = (self.world.second(), self.busy());
        let (mut knew, mut busy_after) = (None, 0);
        let cut = matches!(trouble, Trouble::RegionCut | Trouble::HalvesCut);
        let end = if cut { CUT_S } else { LONGEST_S };
        for second in 1..=end {
            self.pass(S)?;
            if second == WINDOW {
                busy_after = self.busy() - busy;
            }
            // A cut takes its time, whether all know or not.
            if knew.is_none() && self.world.known() >= ALL_KNOW {
                knew = Some(second);
            }
            let settled = knew.is_some_and(|knew| second >= knew.max(WINDOW) + SETTLES_S);
            if settled && !cut {
                break;
            }
        }
        let cost = self.cost(from, knew.unwrap_or(end) as f64, busy_after);
        self.costs.push((trouble, cost));
        Ok(())
    }

    /// A second at most between two looks at the budget.
    fn pass(&mut self, time: Ticks) -> Result<(), BudgetError> {
        self.budget.check()?;
        self.world.pass(time);
        Ok(())
    }

    fn busy(&self) -> u64 {
        self.world.nodes.iter().map(|n| n.busy_ns).sum()
    }

    fn begin(&mut self, trouble: Trouble) -> Result<(), BudgetError> {
        let size = self.world.nodes.len();
        let all = |of: &dyn Fn(usize) -> bool| (0..size).filter(|&n| of(n)).collect::<Vec<_>>();
        // Never those with the seeds alone: the last member's site and zone are as good as any.
        let (lost_site, lost_zone) = (site(7), zone(9));
        match trouble {
            Trouble::Rest => {}
            Trouble::Join => self.start(&all(&|_| true)),
            Trouble::Restart => self.replace(&[size / 3])?,
            Trouble::RestartTenth => {
                let site = all(&|n| site(n) == lost_site);
                self.replace(&site[..site.len().div_ceil(10)])?;
            }
            Trouble::SiteLost => self.kill(&all(&|n| site(n) == lost_site)),
            Trouble::SiteBack => self.start(&all(&|n| site(n) == lost_site)),
            Trouble::ZoneLost => self.kill(&all(&|n| zone(n) == lost_zone)),
            Trouble::ZoneBack => self.start(&all(&|n| zone(n) == lost_zone)),
            Trouble::RegionCut => self.world.cut = 1,
            Trouble::HalvesCut => self.world.cut = REGIONS / 2,
            Trouble::RegionHealed | Trouble::HalvesHealed => self.world.cut = 0,
            Trouble::AllBack => self.replace(&all(&|_| true))?,
        }
        Ok(())
    }

    fn start(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|&n| self.world.start(n));
    }

    fn kill(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|&n| self.world.kill(n));
    }

    fn replace(&mut self, nodes: &[usize]) -> Result<(), BudgetError> {
        self.kill(nodes);
        self.pass(BACK)?;
        self.start(nodes);
        Ok(())
    }

    fn cost(&self, from: usize, know_s: f64, busy_ns: u64) -> Cost {
        let nodes = &self.world.nodes;
        let (to, window) = (self.world.second(), WINDOW as f64);
        let share = nodes.len() as f64 * window;
        let mean = |of: &dyn Fn(usize) -> u64| (0..nodes.len()).map(of).sum::<u64>() as f64 / share;
        let sent = mean(&|n| nodes[n].sent.sum(from, from + WINDOW));
        let received = mean(&|n| nodes[n].received.sum(from, from + WINDOW));
        let windows = || from..=to.saturating_sub(WINDOW).max(from);
        let worst = |n: usize| {
            let of = |s| nodes[n].sent.sum(s, s + WINDOW).max(nodes[n].received.sum(s, s + WINDOW));
            windows().map(of).max().unwrap_or(0)
        };
        let worst = (0..nodes.len()).map(worst).max().unwrap_or(0) as f64 / window;
        let core_share = busy_ns as f64 / 1e9 / share;
        Cost { sent, received, worst, know_s, core_share }
    }
}
