//! Checks a move that an operator requests.

use crate::fleet::state::*;
use crate::kernel::fault::{Fault, Kind};

/// Checks that the move's service, names and runners exist and fit together. Returns a usage error that names
/// the wrong field otherwise.
pub fn check_move(move_plan: &MovePlan, state: &FleetState) -> Result<(), Fault> {
    let error = |place: &str, what: String, remedy: &str| Err(Fault::new(Kind::Usage, place, what, remedy));
    let Some(service) = state.config.service(&move_plan.service) else {
        return error(
            "service",
            format!("\"{}\" is unknown", move_plan.service),
            "name a service of the configuration",
        );
    };
    if !service.models.contains(&move_plan.model) {
        return error(
            "model",
            format!("\"{}\" is not offered there", move_plan.model),
            "name one of its models",
        );
    }
    let known = service.models.contains(&move_plan.want) || service.adapters.contains(&move_plan.want);
    if !move_plan.want.0.is_empty() && !known {
        return error(
            "want",
            format!("\"{}\" is not offered there", move_plan.want),
            "name one of its models or none",
        );
    }
    for (key, name) in [("from", &move_plan.from), ("to", &move_plan.to)] {
        let Some(runner) = state.runner(name).filter(|runner| runner.service == move_plan.service) else {
            return error(key, format!("runner \"{name}\" is not listed there"), "see: spindledock runners");
        };
        if runner.leaving && key == "to" {
            return error(key, format!("runner \"{name}\" is leaving"), "name one that stays");
        }
    }
    if move_plan.from == move_plan.to {
        return error("to", "is the source itself".into(), "name another runner");
    }
    Ok(())
}
