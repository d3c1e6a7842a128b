use crate::fleet::state::Outcome;
use crate::json::tree::map;
use crate::kernel::component::Views;
use crate::kernel::fault::Fault;
use crate::msg::Answer;

/// The code of a change that was taken.
pub const TAKEN: &str = "ok";

pub fn faults(bad: &[Fault]) -> Answer {
    let rows = bad.iter().map(|f| {
        map(&[
            ("at", f.place.as_str().into()),
            ("fault", f.what.as_str().into()),
            ("remedy", f.remedy.as_str().into()),
        ])
    });
    let body = map(&[
        ("code", "bad-configuration".into()),
        ("text", "nothing was changed; mend every fault listed and send again".into()),
        ("faults", rows.collect::<Vec<_>>().into()),
    ]);
    Answer { status: 400, body: body.to_string(), retry_s: 0 }
}

pub fn outcome(o: &Outcome) -> Answer {
    let status = match o.code.as_str() {
        TAKEN => 200,
        "rehearsal-failed" => 422,
        "unknown-runner" => 404,
        _ => 409,
    };
    Answer { status, body: o.tree().to_string(), retry_s: 0 }
}

/// Whether the outcome may be told: all copies that must be there have it, and a change that was taken is released
/// (see `serving_leases`).
pub fn answerable(o: &Outcome, views: &Views) -> bool {
    views.role.safe && (o.code != TAKEN || o.at <= views.released)
}
