use super::heap;
use crate::kernel::time::Span;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Default, Debug)]
pub struct Spent {
    pub sent: u64,
    pub sent_bytes: u64,
    pub got: u64,
    pub got_bytes: u64,
    pub busy_ns: u64,
    pub worst_ns: u64,
    pub state: i64,
    pub top: i64,
}

impl Spent {
    pub fn since(&self, old: &Spent) -> Spent {
        Spent {
            sent: self.sent - old.sent,
            sent_bytes: self.sent_bytes - old.sent_bytes,
            got: self.got - old.got,
            got_bytes: self.got_bytes - old.got_bytes,
            busy_ns: self.busy_ns - old.busy_ns,
            ..*self
        }
    }
}

pub fn cpu_ns() -> u64 {
    let mut at = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    let rc = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut at) };
    assert_eq!(rc, 0, "the thread's processor time must be readable");
    at.tv_sec as u64 * 1_000_000_000 + at.tv_nsec as u64
}

pub fn timed<T>(spent: &mut Spent, work: impl FnOnce() -> T) -> (T, u64) {
    let (from, mem) = (cpu_ns(), heap::begin());
    let out = work();
    let (ns, used) = (cpu_ns() - from, heap::end(mem));
    spent.busy_ns += ns;
    spent.worst_ns = spent.worst_ns.max(ns);
    spent.top = spent.top.max(spent.state + used.top);
    spent.state += used.net;
    (out, ns)
}

pub struct Line {
    pub role: &'static str,
    pub nodes: usize,
    pub mean: Rates,
    pub most: Rates,
}

#[derive(Clone, Copy, Default)]
pub struct Rates {
    pub sent: f64,
    pub got: f64,
    pub out_kb: f64,
    pub in_kb: f64,
    pub core: f64,
    pub worst_ms: f64,
    pub state_mb: f64,
    pub top_mb: f64,
}

impl Rates {
    pub fn of(s: &Spent, span: Span) -> Rates {
        let secs = span.0.max(1) as f64 / 1e6;
        let mb = |n: i64| n as f64 / 1e6;
        Rates {
            sent: s.sent as f64 / secs,
            got: s.got as f64 / secs,
            out_kb: s.sent_bytes as f64 / secs / 1e3,
            in_kb: s.got_bytes as f64 / secs / 1e3,
            core: s.busy_ns as f64 / 1e7 / secs,
            worst_ms: s.worst_ns as f64 / 1e6,
            state_mb: mb(s.state),
            top_mb: mb(s.top),
        }
    }

    pub fn cells(&self) -> [f64; 8] {
        [self.sent, self.got, self.out_kb, self.in_kb, self.core, self.worst_ms, self.state_mb, self.top_mb]
    }

    fn fold(rows: &[Rates], f: &dyn Fn(&mut dyn Iterator<Item = f64>) -> f64) -> Rates {
        let cell = |n: usize| f(&mut rows.iter().map(|r| r.cells()[n]));
        Rates {
            sent: cell(0),
            got: cell(1),
            out_kb: cell(2),
            in_kb: cell(3),
            core: cell(4),
            worst_ms: cell(5),
            state_mb: cell(6),
            top_mb: cell(7),
        }
    }
}

pub fn lines(rows: &[(&'static str, Spent)], span: Span) -> Vec<Line> {
    let mut by: BTreeMap<&'static str, Vec<Rates>> = BTreeMap::new();
    for (role, s) in rows {
        by.entry(role).or_default().push(Rates::of(s, span));
    }
    let line = |(role, rows): (&'static str, Vec<Rates>)| {
        let n = rows.len() as f64;
        Line {
            role,
            nodes: rows.len(),
            mean: Rates::fold(&rows, &|r| r.sum::<f64>() / n),
            most: Rates::fold(&rows, &|r| r.fold(0.0, f64::max)),
        }
    };
    by.into_iter().map(line).collect()
}
