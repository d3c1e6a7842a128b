//! Writes the state and the configuration in the product's own format, as operators see them.

use super::config::*;
use super::state::*;
use crate::json::tree::{Tree, map, names};

fn stage(a: &Allowance) -> Tree {
    map(&[("ms", a.ms.into()), ("tries", a.tries.into())])
}

impl FleetConfig {
    /// The configuration without its source, which holds tenants' keys: this form may be shown to
    /// everybody.
    pub fn shown(&self) -> Tree {
        FleetConfig { source: String::new(), ..self.clone() }.tree()
    }

    /// The configuration as [`super::read`] reads it.
    pub fn tree(&self) -> Tree {
        let models = self.models.iter().map(|m| {
            map(&[
                ("name", m.name.0.as_str().into()),
                ("weight_mb", m.weight_mb.into()),
                ("load_ms", m.load_ms.into()),
            ])
        });
        let adapters = self.adapters.iter().map(|a| {
            map(&[
                ("name", a.name.0.as_str().into()),
                ("model", a.model.0.as_str().into()),
                ("weight_mb", a.weight_mb.into()),
                ("load_ms", a.load_ms.into()),
            ])
        });
        let samples =
            self.rollout.samples.iter().map(|s| {
                map(&[("service", s.service.0.as_str().into()), ("model", s.model.0.as_str().into())])
            });
        map(&[
            ("revision", self.revision.into()),
            ("source", self.source.as_str().into()),
            (
                "limits",
                map(&[
                    ("head_bytes", self.limits.head_bytes.into()),
                    ("body_bytes", self.limits.body_bytes.into()),
                    ("head_ms", self.limits.head_ms.into()),
                    ("idle_ms", self.limits.idle_ms.into()),
                ]),
            ),
            (
                "store",
                map(&[
                    ("loads_per_minute", self.store.loads_per_minute.into()),
                    ("burst", self.store.burst.into()),
                    ("window_ms", self.store.window_ms.into()),
                    ("most", self.store.most.into()),
                    ("at_once", self.store.at_once.into()),
                    ("kept_ms", self.store.kept_ms.into()),
                    ("adapters", self.store.adapters.into()),
                ]),
            ),
            (
                "budget",
                map(&[("percent", self.budget.percent.into()), ("allowance", self.budget.allowance.into())]),
            ),
            (
                "moving",
                map(&[
                    ("gap", self.moving.gap.into()),
                    ("rounds", self.moving.rounds.into()),
                    ("round_ms", self.moving.round_ms.into()),
                    ("cut_ms", self.moving.cut_ms.into()),
                    ("load", stage(&self.moving.load)),
                    ("warm", stage(&self.moving.warm)),
                    ("unload", stage(&self.moving.unload)),
                ]),
            ),
            (
                "placement",
                map(&[
                    ("accept", if self.placement.auto { "auto" } else { "ask" }.into()),
                    (
                        "way",
                        if self.placement.way == PlacementStrategy::Greedy { "greedy" } else { "least" }
                            .into(),
                    ),
                    ("stage", stage(&self.placement.stage)),
                ]),
            ),
            (
                "rollout",
                map(&[
                    ("deliver", stage(&self.rollout.deliver)),
                    ("rehearse", stage(&self.rollout.rehearse)),
                    ("refused_percent", self.rollout.refused_percent.into()),
                    ("samples", samples.collect::<Vec<_>>().into()),
                ]),
            ),
            ("models", models.collect::<Vec<_>>().into()),
            ("adapters", adapters.collect::<Vec<_>>().into()),
            ("services", self.services.iter().map(service).collect::<Vec<_>>().into()),
            ("tenants", self.tenants.iter().map(|t| t.tree()).collect::<Vec<_>>().into()),
        ])
    }
}

fn share(s: &Share) -> Tree {
    map(&[("service", s.service.0.as_str().into()), ("weight", s.weight.into())])
}

fn service(s: &Service) -> Tree {
    let routes = s.routes.iter().map(|r| {
        map(&[
            ("prefix", r.prefix.as_str().into()),
            ("host", r.host.as_str().into()),
            ("class", r.class.to_string().into()),
            ("resumable", r.resumable.into()),
            ("due_ms", r.due_ms.into()),
            ("body_kb", r.body_kb.into()),
            ("kind", r.kind.to_string().into()),
            ("tries", r.tries.into()),
            ("aim_ms", r.aim_ms.into()),
            ("gap_ms", r.gap_ms.into()),
            ("sticky", r.sticky.into()),
            ("open", r.open.into()),
            ("split", r.split.iter().map(share).collect::<Vec<_>>().into()),
        ])
    });
    map(&[
        ("name", s.name.0.as_str().into()),
        ("sort", if s.sort == ServiceKind::Assistant { "assistant" } else { "plain" }.into()),
        ("inbox", s.inbox.into()),
        ("slots", s.slots.into()),
        ("links", s.links.into()),
        ("health", s.health.as_str().into()),
        ("tokens", s.tokens.into()),
        ("stride", s.stride.into()),
        ("room_mb", s.room_mb.into()),
        ("places", s.places.into()),
        ("models", names(&s.models)),
        ("adapters", names(&s.adapters)),
        ("routes", routes.collect::<Vec<_>>().into()),
    ])
}

/// What stages took.
pub fn stages(rows: &[StageFigure]) -> Tree {
    let one = |s: &StageFigure| {
        map(&[
            ("stage", s.name.as_str().into()),
            ("ms", s.ms.into()),
            ("ms_allowed", s.ms_allowed.into()),
            ("tries", s.tries.into()),
            ("tries_allowed", s.tries_allowed.into()),
            ("note", s.note.as_str().into()),
        ])
    };
    rows.iter().map(one).collect::<Vec<_>>().into()
}

impl Outcome {
    /// The outcome as operators see it.
    pub fn tree(&self) -> Tree {
        map(&[
            ("id", self.id.to_string().into()),
            ("code", self.code.to_string().into()),
            ("text", self.text.as_str().into()),
            ("version", self.at.to_string().into()),
            ("stages", stages(&self.stages)),
        ])
    }
}

impl MovePlan {
    /// The move as operators see it.
    pub fn tree(&self) -> Tree {
        map(&[
            ("id", self.id.to_string().into()),
            ("service", self.service.0.as_str().into()),
            ("model", self.model.0.as_str().into()),
            ("from", self.from.0.as_str().into()),
            ("to", self.to.0.as_str().into()),
            ("want", self.want.0.as_str().into()),
            ("phase", self.phase.to_string().into()),
            ("why", self.why.as_str().into()),
            ("stages", stages(&self.stages)),
        ])
    }
}

impl FleetState {
    /// A summary of the state.
    pub fn tree(&self) -> Tree {
        let trial = self.candidate.as_ref().map_or(Tree::Null, |t| t.id.to_string().into());
        let duty = self.duty.as_ref().map_or(Tree::Null, |d| {
            map(&[("holder", d.holder.to_string().into()), ("term", d.term.0.into())])
        });
        map(&[
            ("version", self.at.to_string().into()),
            ("config_version", self.config_version.to_string().into()),
            ("rehearsing", trial),
            ("duty", duty),
            ("runners", (self.runners.len() as u64).into()),
            (
                "plans",
                self.plans
                    .iter()
                    .filter(|p| p.is_running())
                    .map(|p| p.at.to_string().as_str().into())
                    .collect::<Vec<Tree>>()
                    .into(),
            ),
            ("moves", self.active_moves().map(|m| m.tree()).collect::<Vec<_>>().into()),
        ])
    }
}
