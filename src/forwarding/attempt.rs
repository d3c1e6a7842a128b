use super::answer_end::AnswerEnd;
use super::request::*;
use super::resume::Joined;
use crate::fleet::runner::Runner;
use crate::gate::{Balancer, Refusal};
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::transfer::event_boundary::EventBoundary;
use crate::transfer::event_buffer::{Item, Splitter};

/// What the first event of a run must be, so that the stream can go on with it.
#[derive(Clone, PartialEq, Debug)]
pub enum Join {
    /// The first run, or one whose first event was found right: anything goes.
    Open,
    /// The last event that was passed on, once more; it is not passed on again.
    Repeat(Item),
    /// The event behind the last one that was passed on.
    Next,
}

/// One attempt at a runner, as the request's state machine sees it.
pub struct RunnerAttempt {
    pub no: AttemptNo,
    pub runner: Runner,
    pub cut: Splitter,
    pub head: bool,
    pub since: Time,
    pub buffer: Vec<Item>,
    /// Where the run stands in its stream.
    pub boundary: EventBoundary,
    /// Its end, kept while its last events are still to be passed on.
    pub ended: Option<AnswerEnd>,
    pub join: Join,
}

impl RunnerAttempt {
    pub fn new(no: AttemptNo, runner: Runner, since: Time) -> RunnerAttempt {
        let cut = Splitter::default();
        RunnerAttempt {
            no,
            runner,
            cut,
            head: false,
            since,
            buffer: Vec::new(),
            boundary: EventBoundary::default(),
            ended: None,
            join: Join::Open,
        }
    }
}

impl RequestFlow {
    pub fn attempt(&mut self, no: AttemptNo) -> Option<&mut RunnerAttempt> {
        self.attempts.iter_mut().find(|l| l.no == no)
    }

    /// The head of a run's answer has come.
    pub fn head_came(&mut self, attempt: AttemptNo) {
        if let Some(run) = self.attempt(attempt) {
            run.head = true;
        }
    }

    pub fn head(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        status: u16,
        stream: bool,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        let fit = stream && status == 200;
        self.heard = now;
        let Some(l) = self.attempt(attempt) else { return };
        l.head = true;
        let runner = l.runner.instance.clone();
        if self.began {
            if !fit {
                self.close(now, attempt, Some(false), balancer, out);
                self.resume(now, runner, balancer, out);
            }
            return;
        }
        self.began = true;
        self.sent = true;
        self.stream = fit;
        balancer.count(if status < 500 { "answered" } else { "answered_5xx" });
        out.push(Out::Head { attempt });
    }

    /// An event of the request's own run: the first one must go on where the stream stands.
    pub fn joined_item(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        item: Item,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        match self.joined(attempt, &item) {
            Joined::Goes => {
                self.source_heard(now, balancer, out);
                self.main_item(now, item, balancer, out);
            }
            Joined::Skipped => {}
            Joined::Differs(how) => self.main_differs(now, attempt, &how, balancer, out),
        }
    }

    pub fn pass_item(&mut self, item: Item, out: &mut Vec<Out>) {
        if let Some(id) = &item.id {
            self.prev = self.sequence.last().map(|last| last.to_string());
            self.sequence.push(id);
            self.tail = Some(item.clone());
            self.unplaced = false;
        } else {
            self.unplaced |= item.has_data();
        }
        self.passed += 1;
        out.push(Out::Pass(item.raw));
    }

    /// Whether `end` may be the honest one of this run: a stream whose end only its connection says ends behind a whole
    /// event, and a run that was to go on with a stream has given an event that does.
    fn may_end(&mut self, attempt: AttemptNo, end: AnswerEnd) -> bool {
        let stream = self.stream;
        self.attempt(attempt).is_some_and(|l| {
            let said = !stream || end == AnswerEnd::Framed || l.boundary.may_end();
            said && l.join == Join::Open
        })
    }

    pub fn ended(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        end: AnswerEnd,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        if !self.may_end(attempt, end) {
            balancer.count("ended_early");
            return self.lost(now, attempt, balancer, out);
        }
        self.source_ended(now, balancer, out);
        if let Some(l) = self.attempt(attempt) {
            let rest = l.cut.rest();
            if !rest.is_empty() {
                out.push(Out::Pass(rest));
            }
        }
        if let Some(l) = self.attempt(attempt) {
            let held = now.since(l.since);
            balancer.record_occupancy(&self.spec.model, held);
        }
        self.close(now, attempt, Some(true), balancer, out);
        self.close_all(now, balancer, out);
        balancer.count("finished");
        out.push(Out::Finish);
    }

    /// What is known of a request as it ends without a whole answer: for the log.
    pub fn standing(&self, refusal: &Refusal, balancer: &Balancer) -> String {
        let last = self.sequence.last().unwrap_or("none");
        let (opened, most, credit) = (self.opened, self.spec.max_attempts, balancer.retry_budget.credit());
        let why = refusal.code();
        format!("{why} passed={} last={last} attempts={opened}/{most} credit={credit:.1}", self.passed)
    }

    pub fn runner_of(&mut self, attempt: AttemptNo) -> Option<Name> {
        self.attempt(attempt).map(|l| l.runner.instance.clone())
    }
}
