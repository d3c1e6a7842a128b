use super::world::{Event, World};
use crate::kernel::hold::{DiskWrite, write_batch};
use crate::kernel::time::Span;
use crate::msg::Effect;

const AGAIN: Span = Span::ms(200);

impl World {
    pub fn carry(&mut self, place: usize, out: Vec<Effect>) {
        if out.is_empty() {
            return;
        }
        let now = self.now;
        if let Some(rows) = &mut self.marks {
            rows.extend(out.iter().filter_map(super::steps::mark).map(|m| (now, m)));
        }
        let now = self.local(place);
        let n = &mut self.nodes[place];
        let life = n.life;
        let (out, job) = n.hold.submit(now, out);
        if let Some(job) = job {
            n.jobs.push_back(job);
            self.write(place);
        }
        self.effects(place, life, out);
    }

    fn write(&mut self, place: usize) {
        let n = &mut self.nodes[place];
        let Some(last) = n.jobs.back() else { return };
        if n.writing {
            return;
        }
        n.writing = true;
        let (life, upto) = (n.life, last.number);
        let rows: Vec<DiskWrite> = n.jobs.iter().flat_map(|j| j.writes.clone()).collect();
        if write_batch(&mut n.disk, &rows).is_err() {
            return self.later(AGAIN, Event::Synced { place, life, upto: 0 });
        }
        n.jobs.clear();
        let sync = n.sync;
        self.later(sync, Event::Synced { place, life, upto });
    }

    pub fn synced(&mut self, place: usize, life: u64, upto: u64) {
        if !self.fits(place, life) {
            return;
        }
        let now = self.local(place);
        let n = &mut self.nodes[place];
        n.writing = false;
        if upto > 0 {
            n.disk.synced();
        }
        let out = n.hold.release_synced(now, upto);
        self.write(place);
        self.effects(place, life, out);
    }

    fn effects(&mut self, place: usize, life: u64, out: Vec<Effect>) {
        for e in out {
            if self.fits(place, life) {
                self.effect(place, life, e);
            }
        }
    }
}
