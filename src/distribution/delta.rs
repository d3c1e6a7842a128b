//! Differences between two versions of a slice, so that routers need not receive whole slices again.

use crate::fleet::config::{Adapter, Model, Route, Service};
use crate::fleet::plan::PlacementPlan;
use crate::fleet::runner::Runner;
use crate::fleet::slice::{DutySlice, RouteRow, RoutesSlice, ServiceSlice, Slice};
use crate::fleet::state::MovePlan;
use crate::fleet::tenants::Tenant;
use crate::kernel::ids::Name;
use crate::kernel::rand::{hash, mix};
use bitcode::{Decode, Encode};
use std::collections::HashMap;

/// A piece of a list, relative to the older list.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Piece<T> {
    /// `len` items of the older list, starting at `from`.
    Keep { from: usize, len: usize },
    /// New items.
    Put(Vec<T>),
}

type Pieces<T> = Vec<Piece<T>>;

/// The difference between two slices of the same kind.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Delta {
    /// Of the routes.
    Routes(RoutesDelta),
    /// Of a service.
    Service(Box<ServiceDelta>),
    /// Of the placement duty's slice.
    Duty(Box<DutyDelta>),
}

/// The difference between two slices of the routes.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct RoutesDelta {
    rows: Pieces<RouteRow>,
    tenants: Pieces<Tenant>,
}

/// The difference between two slices of a service; `bare` is the newer one without its lists.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServiceDelta {
    bare: ServiceSlice,
    names: Pieces<Name>,
    adapter_names: Pieces<Name>,
    routes: Pieces<Route>,
    models: Pieces<Model>,
    adapters: Pieces<Adapter>,
    runners: Pieces<Runner>,
}

/// The difference between two slices of the placement duty; `bare` is the newer one without its lists.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct DutyDelta {
    bare: DutySlice,
    models: Pieces<Model>,
    adapters: Pieces<Adapter>,
    services: Pieces<Service>,
    runners: Pieces<Runner>,
    moves: Pieces<MovePlan>,
    plans: Pieces<PlacementPlan>,
}

/// Describes `new` by pieces of `old`; items are matched by `key` and kept if they are equal.
fn diff<T: Clone + PartialEq>(old: &[T], new: &[T], key: impl Fn(&T) -> u64) -> Pieces<T> {
    let places: HashMap<u64, usize> = old.iter().enumerate().map(|(n, t)| (key(t), n)).collect();
    let mut out: Pieces<T> = Vec::new();
    for item in new {
        let kept = places.get(&key(item)).copied().filter(|n| old[*n] == *item);
        match (kept, out.last_mut()) {
            (Some(n), Some(Piece::Keep { from, len })) if *from + *len == n => *len += 1,
            (Some(n), _) => out.push(Piece::Keep { from: n, len: 1 }),
            (None, Some(Piece::Put(list))) => list.push(item.clone()),
            (None, _) => out.push(Piece::Put(vec![item.clone()])),
        }
    }
    out
}

/// Builds the new list from the old one and the pieces; `None` if a piece exceeds the old list.
fn join<T: Clone>(old: &[T], pieces: &[Piece<T>]) -> Option<Vec<T>> {
    let mut out = Vec::with_capacity(old.len());
    for p in pieces {
        match p {
            Piece::Keep { from, len } => out.extend_from_slice(old.get(*from..from.checked_add(*len)?)?),
            Piece::Put(list) => out.extend_from_slice(list),
        }
    }
    Some(out)
}

fn by_name(name: &Name) -> u64 {
    hash(&name.0, 0)
}

fn by_path(r: &Route) -> u64 {
    hash(&r.prefix, mix(hash(&r.host, 1)))
}

fn routes(old: &RoutesSlice, new: &RoutesSlice) -> RoutesDelta {
    let key = |r: &RouteRow| by_path(&r.route) ^ by_name(&r.service);
    RoutesDelta {
        rows: diff(&old.rows, &new.rows, key),
        tenants: diff(&old.tenants, &new.tenants, |t| by_name(&t.name)),
    }
}

fn service(old: &ServiceSlice, new: &ServiceSlice) -> ServiceDelta {
    let mut bare = new.clone();
    bare.service.models.clear();
    bare.service.adapters.clear();
    bare.service.routes.clear();
    bare.models.clear();
    bare.adapters.clear();
    bare.runners.clear();
    ServiceDelta {
        bare,
        names: diff(&old.service.models, &new.service.models, by_name),
        adapter_names: diff(&old.service.adapters, &new.service.adapters, by_name),
        routes: diff(&old.service.routes, &new.service.routes, by_path),
        models: diff(&old.models, &new.models, |m| by_name(&m.name)),
        adapters: diff(&old.adapters, &new.adapters, |a| by_name(&a.name)),
        runners: diff(&old.runners, &new.runners, |r| by_name(&r.instance)),
    }
}

fn duty(old: &DutySlice, new: &DutySlice) -> DutyDelta {
    let mut bare = new.clone();
    bare.config.models.clear();
    bare.config.adapters.clear();
    bare.config.services.clear();
    bare.runners.clear();
    bare.moves.clear();
    bare.plans.clear();
    DutyDelta {
        bare,
        models: diff(&old.config.models, &new.config.models, |m| by_name(&m.name)),
        adapters: diff(&old.config.adapters, &new.config.adapters, |a| by_name(&a.name)),
        services: diff(&old.config.services, &new.config.services, |s| by_name(&s.name)),
        runners: diff(&old.runners, &new.runners, |r| by_name(&r.instance)),
        moves: diff(&old.moves, &new.moves, |m| m.id.0),
        plans: diff(&old.plans, &new.plans, |p| p.id.0),
    }
}

impl Delta {
    /// The difference from `old` to `new`; `None` if they differ in kind.
    pub fn of(old: &Slice, new: &Slice) -> Option<Delta> {
        match (old, new) {
            (Slice::Routes(a), Slice::Routes(b)) => Some(Delta::Routes(routes(a, b))),
            (Slice::Service(a), Slice::Service(b)) => Some(Delta::Service(Box::new(service(a, b)))),
            (Slice::Duty(a), Slice::Duty(b)) => Some(Delta::Duty(Box::new(duty(a, b)))),
            _ => None,
        }
    }

    /// Builds the new slice from the old one; `None` if the difference does not fit it.
    pub fn apply(&self, old: &Slice) -> Option<Slice> {
        match (self, old) {
            (Delta::Routes(d), Slice::Routes(old)) => Some(Slice::Routes(RoutesSlice {
                rows: join(&old.rows, &d.rows)?,
                tenants: join(&old.tenants, &d.tenants)?,
            })),
            (Delta::Service(d), Slice::Service(old)) => {
                let mut s = d.bare.clone();
                s.service.models = join(&old.service.models, &d.names)?;
                s.service.adapters = join(&old.service.adapters, &d.adapter_names)?;
                s.service.routes = join(&old.service.routes, &d.routes)?;
                s.models = join(&old.models, &d.models)?;
                s.adapters = join(&old.adapters, &d.adapters)?;
                s.runners = join(&old.runners, &d.runners)?;
                Some(Slice::Service(Box::new(s)))
            }
            (Delta::Duty(d), Slice::Duty(old)) => {
                let mut s = d.bare.clone();
                s.config.models = join(&old.config.models, &d.models)?.into();
                s.config.adapters = join(&old.config.adapters, &d.adapters)?.into();
                s.config.services = join(&old.config.services, &d.services)?;
                s.runners = join(&old.runners, &d.runners)?;
                s.moves = join(&old.moves, &d.moves)?;
                s.plans = join(&old.plans, &d.plans)?;
                Some(Slice::Duty(Box::new(s)))
            }
            _ => None,
        }
    }
}
