//! Answers to operators: the outcome of a change as an HTTP status and a body.

use crate::fleet::ledger::{LedgerEntry, TakenChange};
use crate::fleet::state::{Decision, Outcome, OutcomeCode};
use crate::json::tree::map;
use crate::kernel::component::Views;
use crate::kernel::fault::Fault;
use crate::msg::Answer;

/// How many faults of a document are listed.
const MAX_LISTED_FAULTS: usize = 100;

/// The refusal of a document, listing the faults found in it, but not more than `MAX_LISTED_FAULTS`.
pub fn faults(bad: &[Fault]) -> Answer {
    let rows = bad.iter().take(MAX_LISTED_FAULTS).map(|f| {
        map(&[
            ("at", f.place.as_str().into()),
            ("fault", f.what.as_str().into()),
            ("remedy", f.remedy.as_str().into()),
        ])
    });
    let body = map(&[
        ("code", OutcomeCode::BadConfiguration.to_string().into()),
        ("text", "nothing was changed; mend every fault listed and send again".into()),
        ("faults", rows.collect::<Vec<_>>().into()),
    ]);
    Answer {
        status: status(OutcomeCode::BadConfiguration),
        body: body.to_string(),
        retry_s: 0,
        redirect: None,
    }
}

/// The HTTP status of an outcome.
pub fn status(code: OutcomeCode) -> u16 {
    match code {
        OutcomeCode::Ok => 200,
        OutcomeCode::BadConfiguration | OutcomeCode::OldRevision | OutcomeCode::BadMove => 400,
        OutcomeCode::UnknownRunner => 404,
        OutcomeCode::RehearsalFailed => 422,
        _ => 409,
    }
}

/// The answer to a change whose outcome is recorded.
pub fn decided(decision: Decision) -> Answer {
    match decision {
        Decision::Outcome(outcome) => ended(outcome),
        Decision::Ledger(LedgerEntry::Taken(order)) => taken(&order),
        Decision::Ledger(LedgerEntry::Refused) => {
            let text = "this very change was refused before; read the current one and send a new one";
            Answer::new(409, &OutcomeCode::StaleBase.to_string(), text, 0)
        }
        Decision::Ledger(LedgerEntry::NameInUse) => {
            let text = "another change was sent under this id; choose a new id";
            Answer::new(409, "id-reused", text, 0)
        }
    }
}

/// The answer to a change whose outcome is recorded in full.
pub fn ended(outcome: &Outcome) -> Answer {
    Answer { status: status(outcome.code), body: outcome.tree().to_string(), retry_s: 0, redirect: None }
}

/// The answer to a change of which only the acceptance is recorded.
pub fn taken(order: &TakenChange) -> Answer {
    let body = map(&[
        ("id", order.id.to_string().into()),
        ("code", OutcomeCode::Ok.to_string().into()),
        ("text", "it was taken before; changes may have been made on top of it".into()),
        ("version", order.at.to_string().into()),
    ]);
    Answer::ok(body.to_string())
}

/// The answer to a change that may have been accepted so long ago that it is no longer recorded.
pub fn outcome_unknown() -> Answer {
    let text = "its base is older than this fleet remembers; it may have been taken: read the current one";
    Answer::new(503, "outcome-unknown", text, 5)
}

/// Whether the outcome may be answered: enough members hold it, and an accepted change is released (see
/// `serving_leases`).
pub fn can_answer(decision: &Decision, views: &Views) -> bool {
    views.role.can_acknowledge && decision.taken_at().is_none_or(|at| at <= views.released)
}
