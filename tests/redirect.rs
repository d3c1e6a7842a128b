//! A controller that hears no majority names another one to its callers and does not answer itself.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::OperatorClient;
use common::{ident, seeded};
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::Event;

const CUT_OFF_TIME: Span = Span::ms(2000);
const ANSWER_LIMIT: Span = Span::ms(1000);

#[test]
fn given_a_controller_cut_off_when_it_is_asked_then_it_names_another_member_and_answers_nothing_itself() {
    seeded(1..4, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        let (w, lost) = (&mut client.world, 0);
        let own = ident(w, lost);
        for other in 1..w.nodes.len() {
            w.cuts.insert((lost, other));
            w.cuts.insert((other, lost));
        }
        w.run_for(CUT_OFF_TIME);
        let id = w.fresh_id();
        w.operate(lost, Event::ReadCall { id, path: "source".into() });
        w.run_for(ANSWER_LIMIT);
        let answer = &w.answers[&id];
        assert_eq!(answer.status, 503, "{}", answer.body);
        let named = answer.redirect.expect("another controller is named");
        let others = w.controllers().into_iter().filter(|n| ident(w, *n) != own);
        let addresses: Vec<_> =
            others.filter_map(|n| w.nodes[n].node.as_ref().map(|node| node.me.admin)).collect();
        assert!(addresses.contains(&named), "{named} is none of {addresses:?}");
    });
}
