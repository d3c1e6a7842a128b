//! Random numbers: the operating system's in a process, a seeded sequence in simulations.

/// A source of random numbers.
pub trait Rand: Send {
    /// The next number.
    fn next(&mut self) -> u64;

    /// A number below `top`; 0 if `top` is 0.
    fn below(&mut self, top: u64) -> u64 {
        if top == 0 {
            return 0;
        }
        self.next() % top
    }
}

/// A sequence that depends on its seed alone (SplitMix64).
pub struct SeededRandom(pub u64);

impl Rand for SeededRandom {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        mix(self.0)
    }
}

/// The operating system's generator.
pub struct OsRandom;

impl Rand for OsRandom {
    fn next(&mut self) -> u64 {
        let mut raw = [0u8; 8];
        let n = unsafe { libc::getrandom(raw.as_mut_ptr().cast(), 8, 0) };
        assert_eq!(n, 8, "getrandom must give eight bytes");
        u64::from_le_bytes(raw)
    }
}

/// The finalizer of SplitMix64: spreads the bits of a number.
pub fn mix(seed: u64) -> u64 {
    let mut z = seed;
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// A hash that is equal on all nodes and releases; `salt` selects one of many independent hashes (FNV-1a,
/// then `mix`).
pub fn hash(text: &str, salt: u64) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64 ^ mix(salt);
    for b in text.bytes() {
        h = (h ^ b as u64).wrapping_mul(0x100_0000_01b3);
    }
    mix(h)
}
