//! The membership state derived from the log: which hosts joined, which departed, and which are
//! voters.
//!
//! Like all state that is folded from the log, it is the same at every host that has applied the
//! same records. Voters are the hosts that count for majorities. Majorities protect edits while the
//! log is unreachable, so the set of voters changes by one host at a time, and only after a
//! majority of the former voters confirmed that they have applied the join or departure.

use crate::membership::message::HostEntry;
use crate::prelude::*;

/// Most hosts in the state, departed ones included.
pub const MAX_MEMBERS: usize = 4096;

/// Most incarnations that are remembered after their processes ended.
pub const MAX_FORGOTTEN: usize = 4096;

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The host joined and has not departed since.
    Present,
    /// The host left or was evicted; its process may still run.
    Departed,
}

/// A host that joined.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The host's addresses and data centre.
    pub entry: HostEntry,
    /// The offset of the record by which it joined or departed.
    pub changed_at: Offset,
    /// Whether it is present or departed.
    pub state: MemberState,
    /// Whether it is a voter, that is, counts for majorities.
    pub counted: bool,
    /// The highest sequence number of its records that were applied.
    pub last_seq: u64,
}

/// The hosts that are present or departed, by incarnation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Members {
    hosts: IndexMap<Incarnation, Member>,
    /// The offset of the last change of the set of voters.
    last_counted_at: Offset,
    /// The incarnations whose processes ended, so that late copies of their records have no effect.
    forgotten: IndexSet<Incarnation>,
}

impl Members {
    /// Returns whether this record, or a later one of the same writer, was applied before.
    pub fn is_duplicate(&self, id: RecordId) -> bool {
        if self.forgotten.contains(&id.host) {
            return true;
        }
        id.seq <= self.last_seq(id.host)
    }

    /// Returns the highest applied sequence number of a host's records, or zero.
    pub fn last_seq(&self, host: Incarnation) -> u64 {
        self.hosts.get(&host).map_or(0, |member| member.last_seq)
    }

    /// Records the sequence number of an applied record.
    pub fn note_sequence(&mut self, id: RecordId) {
        if let Some(member) = self.hosts.get_mut(&id.host) {
            member.last_seq = member.last_seq.max(id.seq);
        }
    }

    /// Returns whether a host is present.
    pub fn is_member(&self, host: Incarnation) -> bool {
        self.hosts
            .get(&host)
            .is_some_and(|member| member.state == MemberState::Present)
    }

    /// Returns whether a host is present or departed, and not forgotten.
    pub fn knows(&self, host: Incarnation) -> bool {
        self.hosts.contains_key(&host)
    }

    /// Returns a host that is present or departed.
    pub fn get(&self, host: Incarnation) -> Option<&Member> {
        self.hosts.get(&host)
    }

    /// Iterates over the hosts that are present or departed.
    pub fn known(&self) -> impl Iterator<Item = Incarnation> {
        self.hosts.keys().copied()
    }

    /// Iterates over the hosts that are present.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, &Member)> {
        self.hosts
            .iter()
            .filter(|(_, member)| member.state == MemberState::Present)
    }

    /// Iterates over the hosts that departed and whose processes may still run.
    pub fn departed(&self) -> impl Iterator<Item = (&Incarnation, &Member)> {
        self.hosts
            .iter()
            .filter(|(_, member)| member.state == MemberState::Departed)
    }

    /// Iterates over the voters: the hosts that count for majorities. A departed host remains a
    /// voter until a majority has confirmed its departure.
    pub fn voters(&self) -> impl Iterator<Item = Incarnation> {
        self.hosts
            .iter()
            .filter(|(_, member)| member.counted)
            .map(|(host, _)| *host)
    }

    /// Iterates over the hosts whose join or departure has not changed the set of voters yet.
    pub fn pending_changes(&self) -> impl Iterator<Item = (&Incarnation, &Member)> {
        self.hosts.iter().filter(|(_, member)| !member.is_settled())
    }

    /// Returns the next offset that a majority of the voters must have reached before the join or
    /// departure of a host may change the set of voters.
    pub fn needed_offset(&self, member: &Member) -> Offset {
        member.changed_at.max(self.last_counted_at).next()
    }

    /// Adds a host that joined with the record at `offset`; it is not a voter yet.
    ///
    /// # Errors
    ///
    /// Rejects an incarnation that is known already, and any host beyond [`MAX_MEMBERS`].
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

    /// Makes a present host a voter, or a departed one no longer a voter, with the record at
    /// `offset`. `confirmed` is the offset that a majority of the voters has reached.
    ///
    /// # Errors
    ///
    /// Rejects an unknown host, a host whose last change took effect for majorities already, and a
    /// confirmation below [`needed_offset`](Self::needed_offset), unless there are no voters yet.
    pub fn commit_change(
        &mut self,
        offset: Offset,
        host: Incarnation,
        confirmed: Offset,
    ) -> Result<(), Rejection> {
        let member = self.hosts.get(&host).ok_or(Rejection::WrongHostState)?;
        if member.is_settled() {
            return Err(Rejection::WrongHostState);
        }
        let no_voters = self.voters().next().is_none();
        if !no_voters && confirmed < self.needed_offset(member) {
            return Err(Rejection::NotConfirmed);
        }
        if let Some(member) = self.hosts.get_mut(&host) {
            member.counted = member.state == MemberState::Present;
        }
        self.last_counted_at = offset;
        Ok(())
    }

    /// Marks a host as departed with the record at `offset`; it remains a voter for now.
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

    /// Forgets a departed host whose process no longer exists. It is no longer a voter, since it
    /// can confirm nothing any more; later changes of the voters need a majority that has applied
    /// this.
    ///
    /// # Errors
    ///
    /// Rejects a host that is not departed.
    pub fn forget(&mut self, offset: Offset, host: Incarnation) -> Result<(), Rejection> {
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
    /// Returns whether the set of voters reflects the host's state.
    fn is_settled(&self) -> bool {
        self.counted == (self.state == MemberState::Present)
    }
}
