use crate::chain::view::View;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::msg::{ChainMsg, JournalEvent, Msg, OperatorCall};
use crate::standin::tally::End;

/// Something that happened in a simulated run, for the checks that judge it.
#[derive(Clone, Debug)]
pub enum Fact {
    Called {
        call: u64,
        service: Name,
        path: String,
        body: Option<String>,
        last: u64,
        resumable: bool,
        key: Option<String>,
    },
    Tried {
        call: u64,
    },
    Ended {
        call: u64,
        end: End,
        text: Option<String>,
        after: u64,
        code: String,
    },
    RunBegan {
        call: u64,
        runner: Name,
        model: Name,
        tenant: Option<Name>,
        place: Option<usize>,
    },
    RunEnded {
        call: u64,
        whole: bool,
    },
    Ordered {
        runner: Name,
        term: u64,
        load: bool,
        name: Name,
        status: u16,
    },
    Overfull {
        runner: Name,
    },
    Asked {
        id: ChangeId,
        what: Asked,
    },
    Answered {
        id: ChangeId,
        status: u16,
        at: Version,
    },
    Shown {
        place: usize,
        since: Time,
        at: Version,
        print: u64,
    },
    /// The platform's list shows from now on that a runner is leaving.
    ListShowsLeaving {
        runner: Name,
    },
    LeavingLearnt {
        runner: Name,
        place: Option<usize>,
    },
    Learnt {
        place: usize,
        scope: String,
        at: Version,
        config_at: Version,
        print: u64,
    },
    Asking {
        load: bool,
    },
    Down {
        place: usize,
    },
    Up {
        place: usize,
    },
    Told {
        what: &'static str,
        text: String,
    },
    ViewInstalled {
        node: NodeId,
        view: View,
    },
    PrepareSent {
        life: u64,
        no: ViewNo,
        ballot: Ballot,
    },
    AcceptSent {
        ballot: Ballot,
        view: View,
    },
    MemberReady {
        node: NodeId,
        no: ViewNo,
    },
    Healed,
}

impl Fact {
    /// What is judged of a message as it leaves a node, in this life of its process.
    pub fn of_message(life: u64, msg: &Msg) -> Option<Fact> {
        match msg {
            Msg::Chain(ChainMsg::Prepare { view_no: no, ballot, .. }) => {
                Some(Fact::PrepareSent { life, no: *no, ballot: *ballot })
            }
            Msg::Chain(ChainMsg::Accept { ballot, view }) => {
                Some(Fact::AcceptSent { ballot: *ballot, view: view.clone() })
            }
            _ => None,
        }
    }

    /// What is judged of the journal of `node`.
    pub fn of_journal(node: NodeId, event: &JournalEvent) -> Option<Fact> {
        match event {
            JournalEvent::ViewInstalled(view) => Some(Fact::ViewInstalled { node, view: view.clone() }),
            JournalEvent::MemberReady(no) => Some(Fact::MemberReady { node, no: *no }),
            other => other.text().map(|(what, text)| Fact::Told { what, text }),
        }
    }
}

impl Asked {
    pub fn of(op: &OperatorCall) -> Asked {
        match op {
            OperatorCall::ReplaceConfig { base, text } => {
                Asked::Config { base: *base, text: text.clone(), part: false }
            }
            OperatorCall::PatchConfig { base, text } => {
                Asked::Config { base: *base, text: text.clone(), part: true }
            }
            OperatorCall::MarkLeaving(name) => Asked::Leaving(name.clone()),
            OperatorCall::SetRunners(_) => Asked::Runners,
            _ => Asked::Other,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    Config { base: Option<Version>, text: String, part: bool },
    Runners,
    Leaving(Name),
    Other,
}

#[derive(Default)]
pub struct Record {
    pub rows: Vec<(Time, Fact)>,
}

impl Record {
    pub fn add(&mut self, now: Time, fact: Fact) {
        self.rows.push((now, fact));
    }

    pub fn digest(&self) -> u64 {
        let mut h = 0u64;
        for (t, f) in &self.rows {
            h = crate::kernel::rand::hash(&format!("{t:?}{f:?}"), h);
        }
        h
    }
}
