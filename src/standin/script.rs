use crate::json::Tree;
use crate::kernel::rand::{hash, mix};

#[derive(Clone, PartialEq, Debug)]
pub struct Script {
    pub seed: u64,
    pub model: String,
    pub adapter: String,
    pub prefix: String,
    pub tokens: u64,
    pub stream: bool,
}

impl Script {
    pub fn read(body: &str) -> Option<Script> {
        let t = Tree::parse(body).ok()?;
        let text = |k: &str| t.text(k).unwrap_or("").to_string();
        let (model, adapter) = (text("model"), text("adapter"));
        let seed = hash(body, hash(&model, hash(&adapter, 7)));
        let tokens = t.num("tokens").unwrap_or(32);
        let stream = t.flag("stream").unwrap_or(true);
        Some(Script { seed, model, adapter, prefix: text("prefix"), tokens, stream })
    }

    pub fn word(&self, n: u64) -> String {
        format!("{:08x}", mix(self.seed ^ mix(n)) as u32)
    }

    pub fn event(&self, n: u64) -> String {
        if n > self.tokens {
            return format!("id: {n}\nevent: done\ndata: {}\n\n", self.word(n));
        }
        format!("id: {n}\ndata: {}\n\n", self.word(n))
    }

    pub fn whole_stream(&self, after: u64) -> String {
        (after + 1..=self.tokens + 1).map(|n| self.event(n)).collect()
    }

    pub fn whole(&self) -> String {
        let words: Vec<String> = (1..=self.tokens).map(|n| self.word(n)).collect();
        format!("{{\"text\":\"{}\"}}", words.join(" "))
    }
}

/// The lines of a plain answer whose path names no other number.
const PLAIN_LINES: u64 = 64;

/// The body of a plain answer; a path that ends in `lines-N` asks for `N` lines of 17 bytes.
pub fn plain(path: &str) -> String {
    let seed = hash(path, 3);
    let asked = path.rsplit('/').next().and_then(|last| last.strip_prefix("lines-"));
    let lines = asked.and_then(|n| n.parse().ok()).unwrap_or(PLAIN_LINES);
    let words: Vec<String> = (0..lines).map(|n| format!("{:016x}", mix(seed ^ mix(n)))).collect();
    words.join("\n")
}
