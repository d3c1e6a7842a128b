//! The route table finds the same route as a plain scan, and splits give each service its share.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use spindledock::fleet::FleetConfig;
use spindledock::fleet::read::read_text;
use spindledock::fleet::routes::RouteTable;
use spindledock::fleet::slice::{RouteRow, route_match, route_rows};
use spindledock::kernel::ids::Name;

fn rows(routes: &[(String, String)]) -> Vec<RouteRow> {
    let mut c: FleetConfig =
        read_text(r#"{"services":[{"name":"s","sort":"plain","routes":[{"prefix":"/"}]}]}"#).expect("good");
    let like = c.services[0].routes.remove(0);
    for (host, prefix) in routes {
        let mut r = like.clone();
        (r.host, r.prefix) = (host.clone(), prefix.clone());
        c.services[0].routes.push(r);
    }
    route_rows(&c)
}

/// Hosts and paths of few short words, so that many routes match.
#[derive(Clone, Debug)]
struct Target {
    host: String,
    path: String,
}

impl Arbitrary for Target {
    fn arbitrary(g: &mut Gen) -> Target {
        let host = ["", "a", "b", "c"][usize::arbitrary(g) % 4].to_string();
        let n = usize::arbitrary(g) % 4;
        let steps = (0..n).map(|_| ["", "x", "y", "xy", "\u{e9}"][usize::arbitrary(g) % 5]);
        let mut path = format!("/{}", steps.collect::<Vec<_>>().join("/"));
        if bool::arbitrary(g) && !path.ends_with('/') {
            path.push('/');
        }
        Target { host, path }
    }
}

#[test]
fn given_any_routes_when_one_is_looked_up_then_the_index_finds_what_a_plain_scan_finds() {
    fn test(routes: Vec<Target>, asked: Vec<Target>) -> bool {
        let mut all: Vec<(String, String)> = routes.into_iter().map(|p| (p.host, p.path)).collect();
        all.sort();
        all.dedup();
        let rows = rows(&all);
        let table = RouteTable::from(rows.clone());
        asked.iter().all(|p| {
            ["", "?q=/x/y", "x"].iter().all(|tail| {
                let path = format!("{}{tail}", p.path);
                let key = |r: &RouteRow| (r.route.host.clone(), r.route.prefix.clone());
                table.find(&p.host, &path).map(key) == route_match(&rows, &p.host, &path).map(key)
            })
        })
    }
    let rng = Gen::from_size_and_seed(40, 11);
    QuickCheck::new().tests(400).rng(rng).quickcheck(test as fn(Vec<Target>, Vec<Target>) -> bool);
}

#[test]
fn given_a_split_when_many_are_drawn_then_each_service_gets_its_share_and_one_of_weight_0_none() {
    let mut row = rows(&[("a".into(), "/x/".into())]).remove(0);
    let share = |name: &str, weight| spindledock::fleet::config::Share { service: Name::from(name), weight };
    row.route.split = vec![share("one", 90), share("none", 0), share("two", 10)];
    let of = |name: &str| (0..10_000).filter(|n| *row.pick(*n) == Name::from(name)).count();
    let (one, none, two) = (of("one"), of("none"), of("two"));
    assert!(one + two == 10_000 && none == 0 && (800..1200).contains(&two), "{one} {none} {two}");
    assert!(row.leads_to(&Name::from("two")) && !row.leads_to(&Name::from("none")));
}
