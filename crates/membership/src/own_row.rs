//! Rows and state updates about this instance that another process of it caused.
//!
//! Births are numbered by the time of day, which may be set back between two processes of an
//! instance. A later birth thus doesn't tell a successor from a predecessor. A predecessor is
//! overridden; a process yields only to another one that answers now.

use std::cmp::Ordering;
use std::net::SocketAddr;

use crate::action::{Action, Disbelief};
use crate::machine::Membership;
use crate::member::{Incarnation, Member, MemberKey, MemberState, Time};
use crate::wire::Exchange;

/// Exchanges that another process under this id may leave unanswered before it counts as ended.
const MAX_UNANSWERED: u32 = 3;

/// Another process of this instance, with a later birth and another address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rival {
    addr: SocketAddr,
    incarnation: Incarnation,
    unanswered: u32,
}

impl Membership {
    /// Processes a row about this instance, which may describe this process or another one.
    pub(crate) fn receive_own_row(&mut self, now: Time, row: &Member) {
        let own = &self.own_entry().member;
        let is_same_address = row.peer == own.peer;
        match row.birth.cmp(&own.birth) {
            Ordering::Less => self.refute(row.incarnation, MemberState::Dead),
            Ordering::Equal if is_same_address => self.refute(row.incarnation, row.state),
            // No other process can listen at this one's address while this one lives.
            Ordering::Greater if is_same_address => self.override_process(row.incarnation),
            Ordering::Equal | Ordering::Greater => self.ask_rival(now, row),
        }
    }

    /// Refutes an update that overrides this daemon's own state, by raising its
    /// incarnation above that of the update. A leaving daemon stays leaving under the
    /// higher incarnation.
    pub(crate) fn refute(&mut self, incarnation: Incarnation, state: MemberState) {
        let own = self.own_entry().rank();
        if (incarnation, state) <= own {
            return;
        }
        // Only a member raises its own incarnation, so another process chose this one.
        if incarnation > own.0 {
            self.override_process(incarnation);
        } else {
            self.raise_incarnation(incarnation);
        }
    }

    pub(crate) fn raise_incarnation(&mut self, above: Incarnation) {
        let me = self.me;
        if let Some(own) = self.table.get_mut(me) {
            own.member.incarnation = own.member.incarnation.max(above) + 1;
        }
        self.queue_update(me);
    }

    /// Raises this process's birth and incarnation above those of another process, so that peers
    /// use this one's addresses and state.
    fn override_process(&mut self, incarnation: Incarnation) {
        let own = &self.own_entry().member;
        let disbelief = Disbelief {
            instance: own.instance.clone(),
            field: "incarnation",
            stated: incarnation,
            known: own.incarnation,
        };
        self.actions.push(Action::NotBelieved(disbelief));
        self.raise_incarnation(incarnation);
        let me = self.me;
        if let Some(own) = self.table.get_mut(me) {
            own.member.birth = own.member.incarnation;
        }
    }

    fn ask_rival(&mut self, now: Time, row: &Member) {
        if self.rival.is_some() {
            return;
        }
        let rival = Rival {
            addr: row.peer,
            incarnation: row.incarnation,
            unanswered: 0,
        };
        self.send_to_rival(now, rival);
    }

    fn send_to_rival(&mut self, now: Time, rival: Rival) {
        self.rival = Some(rival);
        let message = self.base_message(now, self.me);
        self.actions.push(Action::Exchange {
            peer: self.me,
            addr: rival.addr,
            message,
        });
    }

    /// Answers another process of this instance with this one's row.
    pub(crate) fn answer_rival(&self, now: Time) -> Exchange {
        let mut reply = self.base_message(now, self.me);
        self.add_member(&mut reply, self.me);
        reply
    }

    /// Yields to the process that replied if it takes calls and has precedence. Births only rise,
    /// and a process that yields has left by then, so that no two yield to each other.
    pub(crate) fn rival_replied(&mut self, reply: Exchange) {
        let Some(rival) = self.rival.take() else {
            return;
        };
        let own = precedence(&self.own_entry().member);
        let is_later = |it: &Member| precedence(it) > own;
        match running_process(reply, self.me).filter(is_later) {
            Some(Member { birth, .. }) => self.actions.push(Action::Superseded { birth }),
            None => self.override_process(rival.incarnation),
        }
    }

    pub(crate) fn rival_unreached(&mut self, now: Time) {
        let Some(mut rival) = self.rival.take() else {
            return;
        };
        rival.unanswered += 1;
        if rival.unanswered < MAX_UNANSWERED {
            self.send_to_rival(now, rival);
        } else {
            self.override_process(rival.incarnation);
        }
    }
}

/// Decides which of two running processes of an instance goes on. Births can be equal, since a
/// process that overrides a former one counts on from there.
fn precedence(process: &Member) -> (Incarnation, SocketAddr) {
    (process.birth, process.peer)
}

/// The process of instance `id` that sent this reply, unless it leaves.
fn running_process(reply: Exchange, id: MemberKey) -> Option<Member> {
    let is_from_id = reply.from == id;
    let mut own_rows = reply.rows.into_iter().filter(|it| it.key() == id);
    let row = own_rows.next().filter(|_| is_from_id)?;
    let member = Member::try_from(row).ok();
    member.filter(Member::takes_calls)
}
