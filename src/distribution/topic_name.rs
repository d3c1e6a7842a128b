//! The names of topics.

use crate::fleet::state::Scope;

/// The name of a topic in logs, and for the choice of its relay node.
pub fn scope_name(scope: &Scope) -> String {
    match scope {
        Scope::Routes => "routes".into(),
        Scope::Candidate => "trial".into(),
        Scope::Duty => "duty".into(),
        Scope::Service(n) => format!("service:{n}"),
    }
}
