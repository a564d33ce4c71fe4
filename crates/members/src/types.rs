//! Effects and events of [`crate::Members`], and what it reports of itself and of other members.

use std::fmt;
use std::net::SocketAddrV4;

use doorgrade::Ticks;

use crate::MemberId;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram; `payload` is yet to be sealed.
    Send { to: SocketAddrV4, payload: Vec<u8> },
    /// Log the event and act upon it.
    Notify(Event),
}

/// A change in membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    MemberUp(MemberId),
    MemberDown(MemberId),
    /// A known member has a later identity: it restarted, or rejoined after it was declared down.
    IdentityChanged {
        old: MemberId,
        new: MemberId,
    },
    /// This member was not called for this long, and has discarded its membership state.
    Stalled(Ticks),
    /// Others declared this member down; it rejoined under this identity.
    Rejoined(MemberId),
    /// More members are known than the fleet can have; the membership state was discarded.
    TooManyMembers(usize),
    /// Another member that is up answers this one.
    Connected,
    /// No other member answers any more.
    Isolated,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::MemberUp(id) => write!(f, "{id} is up"),
            Event::MemberDown(id) => write!(f, "{id} is down"),
            Event::IdentityChanged { old, new } => write!(f, "{old} was replaced by {new}"),
            Event::Stalled(time) => write!(f, "stalled for {} ms; discarded the membership state", time / 10),
            Event::Rejoined(id) => write!(f, "others declared this front down; rejoined as {id}"),
            Event::TooManyMembers(count) => {
                write!(f, "{count} members are more than the fleet can have; discarded the membership state")
            }
            Event::Connected => f.write_str("connected to neighbours"),
            Event::Isolated => f.write_str("isolated: no neighbour answers"),
        }
    }
}

/// Whether another member is assumed to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    Alive,
    /// It did not answer lately.
    Suspect,
    Down,
}

/// Another member, as far as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownMember {
    pub id: MemberId,
    pub liveness: Liveness,
    /// Since when its identity and liveness are as they are.
    pub since: Ticks,
    /// When it last sent a datagram to this member; what others report of it does not count.
    pub last_datagram_at: Option<Ticks>,
}

/// Whether this member is in contact with others, and so whether what it knows of them can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// It has not found any member yet, or none answers any more.
    Isolated,
    /// It has stalled and has not been answered since: what it knows of others is from before.
    Unconfirmed,
    /// Others have answered it under its present identity.
    Connected,
}
