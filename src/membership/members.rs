//! The fold's part of membership: who joined, who departed, and who counts for majorities.
//!
//! Majorities protect edits while the log is out of reach, so the counted set changes one host at a
//! time, and only with the word of a majority of the former set that it has applied the change.

use crate::membership::message::HostEntry;
use crate::prelude::*;

/// Most hosts in the fold, departed ones included.
pub const MAX_MEMBERS: usize = 4096;

/// Most incarnations remembered after their processes are gone.
pub const MAX_FORGOTTEN: usize = 4096;

/// Where a host stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It joined.
    Present,
    /// It left or was evicted.
    Departed,
}

/// A host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its addresses and place.
    pub entry: HostEntry,
    /// The offset of its last change of state.
    pub changed_at: Offset,
    /// Where it stands.
    pub state: MemberState,
    /// Whether it counts for majorities.
    pub counted: bool,
    /// The last sequence number that the fold saw of it.
    pub last_seq: u64,
}

/// The hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Members {
    hosts: IndexMap<Incarnation, Member>,
    last_counted_at: Offset,
    /// Incarnations that are gone, so that a late copy of their records stays without effect.
    forgotten: IndexSet<Incarnation>,
}

impl Members {
    /// Tells whether the fold saw this record, or a later one of the same writer.
    pub fn is_duplicate(&self, id: RecordId) -> bool {
        if self.forgotten.contains(&id.host) {
            return true;
        }
        id.seq <= self.last_seq(id.host)
    }

    /// Returns the last sequence number that the fold saw of a host, or zero.
    pub fn last_seq(&self, host: Incarnation) -> u64 {
        self.hosts.get(&host).map_or(0, |member| member.last_seq)
    }

    /// Takes note of a record's sequence number.
    pub fn note_sequence(&mut self, id: RecordId) {
        if let Some(member) = self.hosts.get_mut(&id.host) {
            member.last_seq = member.last_seq.max(id.seq);
        }
    }

    /// Tells whether a host is present.
    pub fn is_member(&self, host: Incarnation) -> bool {
        self.hosts
            .get(&host)
            .is_some_and(|member| member.state == MemberState::Present)
    }

    /// Tells whether the fold still knows a host, present or departed.
    pub fn knows(&self, host: Incarnation) -> bool {
        self.hosts.contains_key(&host)
    }

    /// Returns a host that is present or departed but not gone.
    pub fn get(&self, host: Incarnation) -> Option<&Member> {
        self.hosts.get(&host)
    }

    /// Returns the hosts that are present or departed.
    pub fn known(&self) -> impl Iterator<Item = Incarnation> {
        self.hosts.keys().copied()
    }

    /// Returns the hosts that are present.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, &Member)> {
        self.hosts
            .iter()
            .filter(|(_, member)| member.state == MemberState::Present)
    }

    /// Returns the hosts that departed and whose processes may still exist.
    pub fn departed(&self) -> impl Iterator<Item = (&Incarnation, &Member)> {
        self.hosts
            .iter()
            .filter(|(_, member)| member.state == MemberState::Departed)
    }

    /// Returns the hosts that count for majorities, departed ones included until that counts.
    pub fn counted(&self) -> impl Iterator<Item = Incarnation> {
        self.hosts
            .iter()
            .filter(|(_, member)| member.counted)
            .map(|(host, _)| *host)
    }

    /// Returns the hosts whose last change does not count yet.
    pub fn uncounted_changes(&self) -> impl Iterator<Item = (&Incarnation, &Member)> {
        self.hosts.iter().filter(|(_, member)| !member.is_settled())
    }

    /// Returns the offset that a majority must have applied before a host's change counts.
    pub fn needed_offset(&self, member: &Member) -> Offset {
        member.changed_at.max(self.last_counted_at).next()
    }

    /// Adds a host.
    ///
    /// # Errors
    ///
    /// Rejects an incarnation that joined before, and one too many.
    pub fn join(
        &mut self,
        offset: Offset,
        host: Incarnation,
        entry: &HostEntry,
    ) -> Result<(), Rejection> {
        if self.hosts.contains_key(&host) {
            return Err(Rejection::WrongHostState);
        }
        if self.hosts.len() >= MAX_MEMBERS {
            return Err(Rejection::Full);
        }
        let member = Member {
            entry: entry.clone(),
            changed_at: offset,
            state: MemberState::Present,
            counted: false,
            last_seq: 0,
        };
        self.hosts.insert(host, member);
        Ok(())
    }

    /// Makes a host's last change count.
    ///
    /// # Errors
    ///
    /// Rejects a host without an uncounted change, and a confirmation that is too old.
    pub fn count(
        &mut self,
        offset: Offset,
        host: Incarnation,
        confirmed: Offset,
    ) -> Result<(), Rejection> {
        let member = self.hosts.get(&host).ok_or(Rejection::WrongHostState)?;
        if member.is_settled() {
            return Err(Rejection::WrongHostState);
        }
        let first_of_all = self.counted().next().is_none();
        if !first_of_all && confirmed < self.needed_offset(member) {
            return Err(Rejection::NotConfirmed);
        }
        if let Some(member) = self.hosts.get_mut(&host) {
            member.counted = member.state == MemberState::Present;
        }
        self.last_counted_at = offset;
        Ok(())
    }

    /// Takes a host out.
    ///
    /// # Errors
    ///
    /// Rejects a host that is not present.
    pub fn depart(&mut self, offset: Offset, host: Incarnation) -> Result<(), Rejection> {
        let member = self.hosts.get_mut(&host).ok_or(Rejection::WrongHostState)?;
        if member.state != MemberState::Present {
            return Err(Rejection::WrongHostState);
        }
        member.state = MemberState::Departed;
        member.changed_at = offset;
        Ok(())
    }

    /// Forgets a departed host whose process no longer exists. It counts no more, since nobody can
    /// learn anything from it; later changes wait for a majority that knows this.
    ///
    /// # Errors
    ///
    /// Rejects a host that is not departed.
    pub fn gone(&mut self, offset: Offset, host: Incarnation) -> Result<(), Rejection> {
        let member = self.hosts.get(&host).ok_or(Rejection::WrongHostState)?;
        if member.state != MemberState::Departed {
            return Err(Rejection::WrongHostState);
        }
        if member.counted {
            self.last_counted_at = offset;
        }
        self.hosts.shift_remove(&host);
        self.forgotten.insert(host);
        if self.forgotten.len() > MAX_FORGOTTEN {
            self.forgotten.shift_remove_index(0);
        }
        Ok(())
    }
}

impl Member {
    fn is_settled(&self) -> bool {
        self.counted == (self.state == MemberState::Present)
    }
}
