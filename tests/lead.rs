//! A restarted head must not decide on a partial change before it has applied all that was committed before: the
//! change would be merged into an old configuration and drop the rest.

mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::OperatorCall;
use spindledock::sim::World;

#[test]
fn given_a_head_just_restarted_when_a_partial_change_comes_at_once_then_the_rest_is_kept() {
    seeded(1..13, |seed| {
        let mut w = World::boot(vanua(), seed);
        let (core, router) = (w.controllers(), w.routers()[0]);
        let base = w.nodes[0].node.as_ref().map(|n| n.views.state.config_version);
        for n in &core {
            w.kill_node(*n);
        }
        let text = "{\"models\":[{\"name\":\"extra\",\"weight_mb\":9}]}".to_string();
        let base = if seed % 2 == 0 { base } else { None };
        let id = w.ask(router, OperatorCall::PatchConfig { base, text });
        for n in core.iter().rev() {
            w.run_for(Span::ms(40 * seed));
            w.start_node(*n);
        }
        assert_eq!(w.answer(id, Span::ms(20_000)), Some(200), "{:?}", w.answers.get(&id));
        w.run_for(Span::ms(1000));
        let config = &w.nodes[0].node.as_ref().expect("alive").views.state.config;
        assert!(config.model(&Name::from("extra")).is_some());
        assert_eq!(config.models.len(), 51, "what was in force is kept");
        sound(&w);
    });
}
