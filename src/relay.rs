use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;

const AGAIN: Span = Span::ms(300);
const WRITE_DUE: Span = Span::ms(20_000);
const READ_DUE: Span = Span::ms(3000);

enum Work {
    Write(Box<Op>),
    Read(String),
}

struct Job {
    work: Work,
    since: Time,
    sent: Time,
}

#[derive(Default)]
pub struct Relay {
    jobs: BTreeMap<ChangeId, Job>,
}

impl Relay {
    fn send(&mut self, id: ChangeId, ctx: &mut Context) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.sent = ctx.now;
        let Some(view) = &ctx.views.view else { return };
        let (to, msg) = match &job.work {
            Work::Write(op) => (view.head(), Msg::Op { id, op: Op::clone(op) }),
            Work::Read(path) => (view.tail(), Msg::Ask { id, path: path.clone() }),
        };
        if let Some(to) = to {
            ctx.send(to, msg);
        }
    }

    fn add(&mut self, id: ChangeId, work: Work, ctx: &mut Context) {
        self.jobs.insert(id, Job { work, since: ctx.now, sent: ctx.now });
        self.send(id, ctx);
    }

    fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        let ids: Vec<ChangeId> = self.jobs.keys().copied().collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else { continue };
            let (write, age, idle) =
                (matches!(job.work, Work::Write(_)), now.since(job.since), now.since(job.sent));
            if age >= if write { WRITE_DUE } else { READ_DUE } {
                self.jobs.remove(&id);
                let known = ctx.views.view.is_some();
                let answer = match (write, known) {
                    (true, true) => Answer::new(
                        504,
                        "outcome-unknown",
                        &format!("the change may still be taken; ask for it with: spindledock change {id}"),
                        2,
                    ),
                    (_, false) => Answer::new(
                        503,
                        "no-core",
                        "no core is known yet; check the seeds and that a majority of controllers runs",
                        2,
                    ),
                    (false, true) => Answer::new(
                        503,
                        "no-majority",
                        "no tail holds a term from a majority of voters; bring back controllers",
                        2,
                    ),
                };
                ctx.answer(id, answer);
            } else if idle >= AGAIN {
                self.send(id, ctx);
            }
        }
    }
}

impl Answer {
    pub fn new(status: u16, code: &str, text: &str, retry_s: u64) -> Answer {
        let body = crate::json::tree::map(&[("code", code.into()), ("text", text.into())]).to_string();
        Answer { status, body, retry_s }
    }

    pub fn ok(body: String) -> Answer {
        Answer { status: 200, body, retry_s: 0 }
    }
}

impl Component for Relay {
    fn name(&self) -> &'static str {
        "relay"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Op { id, op } => {
                if let Op::Leaving(name) = op {
                    ctx.publish(JournalEvent::RunnerMarked(name.clone()));
                }
                self.add(*id, Work::Write(Box::new(op.clone())), ctx);
            }
            Event::Ask { id, path } => self.add(*id, Work::Read(path.clone()), ctx),
            Event::Mail { msg: Msg::OpEnd { id, answer }, .. } if self.jobs.remove(id).is_some() => {
                ctx.answer(*id, answer.clone());
            }
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        vec![("pending", self.jobs.len().to_string())]
    }
}
