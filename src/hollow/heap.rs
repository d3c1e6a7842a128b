use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static NET: Cell<i64> = const { Cell::new(0) };
    static TOP: Cell<i64> = const { Cell::new(0) };
}

pub struct Counting;

fn add(n: i64) {
    let _ = NET.try_with(|c| {
        let now = c.get() + n;
        c.set(now);
        let _ = TOP.try_with(|t| t.set(t.get().max(now)));
    });
}

unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, l: Layout) -> *mut u8 {
        add(l.size() as i64);
        unsafe { System.alloc(l) }
    }

    unsafe fn dealloc(&self, p: *mut u8, l: Layout) {
        add(-(l.size() as i64));
        unsafe { System.dealloc(p, l) }
    }

    unsafe fn realloc(&self, p: *mut u8, l: Layout, size: usize) -> *mut u8 {
        add(size as i64 - l.size() as i64);
        unsafe { System.realloc(p, l, size) }
    }
}

#[derive(Clone, Copy, Default)]
pub struct Used {
    pub net: i64,
    pub top: i64,
}

pub fn begin() -> i64 {
    let now = NET.with(Cell::get);
    TOP.with(|t| t.set(now));
    now
}

pub fn end(from: i64) -> Used {
    Used { net: NET.with(Cell::get) - from, top: TOP.with(Cell::get) - from }
}

impl crate::sim::disk::SimDisk {
    pub fn held(&self) -> i64 {
        self.bytes() as i64
    }
}

pub fn resident_mb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
    (pages * 4096) >> 20
}
