use crate::fleet::state::*;
use crate::kernel::fault::{Fault, Kind};

pub fn check_move(m: &MovePlan, state: &FleetState) -> Result<(), Fault> {
    let bad = |place: &str, what: String, remedy: &str| Err(Fault::new(Kind::Usage, place, what, remedy));
    let Some(s) = state.config.service(&m.service) else {
        return bad(
            "service",
            format!("\"{}\" is unknown", m.service),
            "name a service of the configuration",
        );
    };
    if !s.models.contains(&m.model) {
        return bad("model", format!("\"{}\" is not offered there", m.model), "name one of its models");
    }
    let known = s.models.contains(&m.want) || s.adapters.contains(&m.want);
    if !m.want.0.is_empty() && !known {
        return bad("want", format!("\"{}\" is not offered there", m.want), "name one of its models or none");
    }
    for (key, name) in [("from", &m.from), ("to", &m.to)] {
        let Some(r) = state.runner(name).filter(|r| r.service == m.service) else {
            return bad(key, format!("runner \"{name}\" is not listed there"), "see: spindledock runners");
        };
        if r.leaving && key == "to" {
            return bad(key, format!("runner \"{name}\" is leaving"), "name one that stays");
        }
    }
    if m.from == m.to {
        return bad("to", "is the source itself".into(), "name another runner");
    }
    Ok(())
}
