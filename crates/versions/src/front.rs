//! A front's side: offered, fetched, checked, staged, applied, confirmed or turned down.
//!
//! The shell hands in what happens and does what [`Effect`] says. At any time the front runs what was applied last;
//! what it says that it runs is that. A version is staged, with a count, before it is applied, and good once it
//! was: a front that goes down while applying finds it staged at its next start, runs the last good one, and after
//! `MOST_FALLS` such starts turns the version down by itself. That a store fails stops nothing but storing.

mod candidate;
mod types;

use fastrand::Rng;

use crate::delta;
use crate::message::{Body, ToFront, ToService};
use crate::seal::{Keys, Seal};
use crate::{Id, MOST_CONTENT, Reason, Ticks};

use candidate::{Candidate, Step};
pub use types::{Content, Effect, Found, Line};

#[derive(Clone, Debug)]
enum Link {
    /// Next try at the time.
    Down {
        at: Ticks,
    },
    Trying,
    Up {
        heard: Ticks,
        every: Ticks,
    },
}

#[derive(Clone, Debug)]
pub struct Front {
    name: Box<str>,
    station: Box<str>,
    keys: Keys,
    rng: Rng,
    runs: Option<(Id, Seal, Content)>,
    /// What it runs would be run again after a crash.
    stored: bool,
    candidate: Option<Candidate>,
    /// Offered while another was on its way.
    next: Option<Id>,
    /// Turned down lately, so that an offer repeated is not fetched again.
    refused: Vec<(Id, Reason)>,
    /// Found staged at the start: the version, and how often the front went down on it.
    fell: Option<(Id, u32)>,
    link: Link,
    pause: Ticks,
    /// Its moment within the longest pause is drawn.
    placed: bool,
    silent_since: Option<Ticks>,
    told_silent: bool,
    /// The earliest time asked for that has not come.
    wakes: Option<Ticks>,
    /// How often the service wants to hear counts, on this connection.
    report_every: Option<Ticks>,
    /// Of the last report.
    sequence: u64,
}

/// Twice is chance (a machine lost at the wrong moment), three times is the version.
pub const MOST_FALLS: u32 = 2;
/// Refusals remembered: a service offers one version at a time, and seldom a second before the first is withdrawn.
const MOST_REFUSED: usize = 8;
/// Pauses between tries, from half a second; the longest is some minutes' share of what a service lets in.
const PAUSES: [Ticks; 2] = [5_000, 600_000];
/// Silence for three times as long as the service promised to say something.
const SILENCE: u64 = 3;
/// A content that has not come in this time is asked for again; a connection that takes longer is no good.
const CONTENT_WITHIN: Ticks = 300_000;
/// A minute without word is worth a line.
const TELL_SILENT: Ticks = 600_000;
/// Reports go no more often, and no less: a quarter of a second is enough for a trial and costs some 500 bytes a second.
pub const REPORT_EVERY: [Ticks; 2] = [2_500, 300_000];

impl Front {
    /// At the start: what the store had is run by the shell before anything else (it is checked as any version;
    /// `usable` is what came of that).
    pub fn start(
        now: Ticks,
        seed: u64,
        (name, station): (&str, &str),
        keys: Keys,
        found: Found,
        usable: Result<(), Reason>,
        out: &mut Vec<Effect>,
    ) -> Front {
        let runs = match usable {
            Ok(()) => found.good,
            Err(why) => {
                out.push(Effect::Tell(Line::OwnFile(why)));
                None
            }
        };
        let mut front = Front {
            name: name.into(),
            station: station.into(),
            keys,
            rng: Rng::with_seed(seed),
            stored: runs.is_some(),
            runs,
            candidate: None,
            next: None,
            refused: Vec::new(),
            fell: None,
            link: Link::Trying,
            pause: PAUSES[0],
            placed: false,
            silent_since: Some(now),
            told_silent: false,
            wakes: None,
            report_every: None,
            sequence: 0,
        };
        if let Some((id, falls)) = found.staged {
            let falls = falls + 1;
            front.fell = Some((id, falls));
            if falls >= MOST_FALLS {
                front.remember(id, Reason::Fatal(falls));
                out.push(Effect::Tell(Line::TurnedDown(id, Reason::Fatal(falls))));
            }
        }
        out.push(Effect::Connect);
        front
    }

    pub fn runs(&self) -> Option<Id> {
        self.runs.as_ref().map(|r| r.0)
    }

    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
        // What was not vouched for may be now.
        self.refused.retain(|r| !matches!(r.1, Reason::Unsealed(_)));
    }

    // ---- the connection

    pub fn up(&mut self, now: Ticks, out: &mut Vec<Effect>) {
        // Until it says how often it speaks, as long as a content may take.
        self.link = Link::Up { heard: now, every: CONTENT_WITHIN / SILENCE };
        let runs = self.runs.as_ref().map(|r| (r.0, r.1));
        let hello = ToService::Hello { front: self.name.clone(), station: self.station.clone(), runs };
        out.push(Effect::Send(hello));
        self.wake(now + CONTENT_WITHIN, out);
    }

    /// It is lost, or could not be made.
    pub fn down(&mut self, now: Ticks, out: &mut Vec<Effect>) {
        // They were cut off together. While pauses grow each doubles its own; at the longest it draws a moment within
        // it once, and keeps to that: so whenever the service returns they come evenly over one pause.
        let longest = PAUSES[1];
        let after = match self.pause {
            pause if pause < longest => pause / 2 + self.rng.u64(0..=pause),
            _ if !std::mem::replace(&mut self.placed, true) => self.rng.u64(0..=longest),
            _ => longest - longest / 40 + self.rng.u64(0..=longest / 20),
        };
        let at = now + after;
        self.pause = (2 * self.pause).min(longest);
        self.part(now, at, out);
    }

    fn part(&mut self, now: Ticks, at: Ticks, out: &mut Vec<Effect>) {
        self.link = Link::Down { at };
        self.silent_since.get_or_insert(now);
        // What was on its way comes to nothing; what has come goes on without the service.
        if matches!(self.candidate, Some(Candidate { step: Step::Asked { .. }, .. })) {
            self.candidate = None;
        }
        self.next = None;
        if self.report_every.take().is_some() {
            out.push(Effect::Report { every: None });
        }
        self.wake(at, out);
    }

    fn wake(&mut self, at: Ticks, out: &mut Vec<Effect>) {
        if self.wakes.is_none_or(|w| at < w) {
            self.wakes = Some(at);
            out.push(Effect::Wake(at));
        }
    }

    pub fn due(&mut self, now: Ticks, out: &mut Vec<Effect>) {
        if self.wakes.is_some_and(|w| w > now) {
            return;
        }
        self.wakes = None;
        match self.link {
            Link::Down { at } if now >= at => {
                self.link = Link::Trying;
                out.push(Effect::Connect);
            }
            Link::Up { heard, every } if now >= heard + SILENCE * every => {
                out.push(Effect::Close);
                self.down(now, out);
            }
            Link::Up { heard, every } => self.wake(heard + SILENCE * every, out),
            Link::Down { at } => self.wake(at, out),
            Link::Trying => {}
        }
        if let Some(Candidate { id, step: Step::Asked { tries }, since }) = &self.candidate {
            let (id, tries, by) = (*id, tries + 1, since + CONTENT_WITHIN);
            if now >= by {
                self.ask(now, id, tries, out);
            } else {
                self.wake(by, out);
            }
        }
        if let Some(since) = self.silent_since.filter(|&s| now >= s + TELL_SILENT && !self.told_silent) {
            self.told_silent = true;
            out.push(Effect::Tell(Line::Silent(now - since)));
        }
    }

    // ---- what the service says

    pub fn heard(&mut self, now: Ticks, message: ToFront, out: &mut Vec<Effect>) {
        let Link::Up { heard, every } = &mut self.link else { return };
        *heard = now;
        if let ToFront::Welcome { every: told } = &message {
            *every = (*told).clamp(1_000, CONTENT_WITHIN);
            let at = now + SILENCE * *every;
            self.wake(at, out);
        }
        if !matches!(message, ToFront::Later { .. }) {
            (self.pause, self.placed) = (PAUSES[0], false);
            self.silent_since = None;
            if std::mem::take(&mut self.told_silent) {
                out.push(Effect::Tell(Line::Back));
            }
        }
        match message {
            ToFront::Welcome { .. } | ToFront::Alive => {}
            ToFront::ReportEvery { millis } => {
                self.report_every = Some(millis.saturating_mul(10).clamp(REPORT_EVERY[0], REPORT_EVERY[1]));
                out.push(Effect::Report { every: self.report_every });
            }
            ToFront::Later { after } => {
                out.push(Effect::Close);
                // As told, and a little more: nobody before its turn.
                let after = after.min(10 * PAUSES[1]);
                let at = now + after + self.rng.u64(0..=500);
                self.part(now, at, out);
            }
            ToFront::Offer { id } => self.offered(now, id, out),
            ToFront::Content { id, seal, body } => {
                let asked = |c: &Candidate| c.id == id && matches!(c.step, Step::Asked { .. });
                if !self.candidate.as_ref().is_some_and(asked) {
                    return;
                }
                if !self.keys.good(&id, &seal) {
                    return self.turn_down(now, id, Reason::Unsealed(seal.key), out);
                }
                self.came(now, id, seal, body, out);
            }
        }
    }

    fn offered(&mut self, now: Ticks, id: Id, out: &mut Vec<Effect>) {
        if let Some((runs, ..)) = &self.runs {
            if *runs == id {
                return out.push(Effect::Send(ToService::Runs { id, stored: self.stored }));
            }
            if id.place() <= runs.place() {
                let same = id.place() == runs.place();
                let why = if same { Reason::Contradicts } else { Reason::Older };
                out.push(Effect::Tell(Line::TurnedDown(id, why.clone())));
                return out.push(Effect::Send(ToService::TurnedDown { id, why }));
            }
        }
        if let Some((_, why)) = self.refused.iter().find(|r| r.0 == id) {
            return out.push(Effect::Send(ToService::TurnedDown { id, why: why.clone() }));
        }
        match &self.candidate {
            Some(c) if c.id == id => {}
            // One that is being applied can't be stopped; the later of those that wait comes after it.
            Some(c) if !matches!(c.step, Step::Asked { .. }) => {
                if self.next.is_none_or(|n| n.place() < id.place()) {
                    self.next = Some(id);
                }
            }
            Some(c) if id.place() < c.id.place() => {}
            _ => self.ask(now, id, 0, out),
        }
    }

    fn ask(&mut self, now: Ticks, id: Id, tries: u32, out: &mut Vec<Effect>) {
        self.candidate = Some(Candidate { id, step: Step::Asked { tries }, since: now });
        // A delta that did not fit once is not asked for again.
        let base = self.runs().filter(|_| tries == 0);
        out.push(Effect::Send(ToService::Ask { id, base }));
        self.wake(now + CONTENT_WITHIN, out);
    }

    fn came(&mut self, now: Ticks, id: Id, seal: Seal, body: Body, out: &mut Vec<Effect>) {
        let whole = matches!(body, Body::Whole(_));
        let content: Option<Content> = match body {
            Body::Whole(content) => Some(content),
            Body::Delta(steps) => self.runs.as_ref().and_then(|r| delta::apply(&r.2, &steps)).map(Into::into),
        };
        if let Some(long) = content.as_ref().map(|c| c.len()).filter(|&l| l > MOST_CONTENT) {
            return self.turn_down(now, id, Reason::TooLong(long as u64), out);
        }
        match content.filter(|c| *blake3::hash(c).as_bytes() == id.hash) {
            Some(content) => {
                let step = Step::Checking(seal, content.clone());
                self.candidate = Some(Candidate { id, step, since: now });
                out.push(Effect::Check(id, content));
            }
            // A delta may have been made against something else: then the whole of it is asked for.
            None if !whole => self.ask(now, id, 1, out),
            None => self.turn_down(now, id, Reason::Altered, out),
        }
    }

    /// Counts since the process started: accesses that ended, and of those answered within the soft limit. Says nothing
    /// where the service has not asked for it.
    pub fn report(&mut self, asked: u64, answered: u64, out: &mut Vec<Effect>) {
        if self.report_every.is_some() {
            self.sequence += 1;
            let (running, sequence) = (self.runs(), self.sequence);
            self.say(ToService::Report { running, asked, answered, sequence }, out);
        }
    }

    /// How it serves, from time to time.
    pub fn serves(&mut self, share: f32, out: &mut Vec<Effect>) {
        self.say(ToService::Serves { share }, out);
    }

    fn say(&mut self, message: ToService, out: &mut Vec<Effect>) {
        if matches!(self.link, Link::Up { .. }) {
            out.push(Effect::Send(message));
        }
    }
}
