use crate::daemon::assemble::Policy;

#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub zones: usize,
    pub routers: usize,
    pub core: usize,
    pub assistants: usize,
    pub plains: usize,
    pub models: usize,
    pub adapters: usize,
    pub plain_service: &'static str,
    pub plain_per_s: f64,
    pub flows: Vec<FlowSpec>,
    pub room_mb: u64,
    pub plain_us: u64,
    pub text: Option<String>,
    pub policy: Policy,
}

#[derive(Clone, Debug)]
pub struct FlowSpec {
    pub prefix: &'static str,
    pub class: &'static str,
    pub resumable: bool,
    pub due_ms: u64,
    pub per_s: f64,
    pub tokens: u64,
}

fn flow(prefix: &'static str, class: &'static str, due_ms: u64, per_s: f64, tokens: u64) -> FlowSpec {
    FlowSpec { prefix, class, resumable: class != "counter", due_ms, per_s, tokens }
}

pub fn vanua() -> Deployment {
    Deployment {
        name: "vanua",
        zones: 3,
        routers: 6,
        core: 3,
        assistants: 9,
        plains: 3,
        models: 50,
        adapters: 30,
        plain_service: "tiles",
        plain_per_s: 17.0,
        flows: vec![
            flow("/chat", "chat", 15_000, 8.0, 40),
            flow("/digests", "normal", 30_000, 3.0, 80),
            flow("/summaries", "bulk", 60_000, 1.0, 120),
        ],
        room_mb: 80_000,
        plain_us: 5000,
        text: None,
        policy: Policy::Move,
    }
}

pub fn quebec() -> Deployment {
    Deployment {
        name: "quebec",
        zones: 4,
        routers: 9,
        core: 4,
        assistants: 12,
        plains: 4,
        models: 40,
        adapters: 40,
        plain_service: "recipes",
        plain_per_s: 28.0,
        flows: vec![
            flow("/counter", "counter", 8_000, 10.0, 20),
            flow("/batch", "bulk", 60_000, 4.0, 80),
            flow("/heritage", "normal", 30_000, 2.0, 120),
        ],
        room_mb: 80_000,
        plain_us: 5000,
        text: None,
        policy: Policy::Move,
    }
}

pub fn small() -> Deployment {
    Deployment {
        name: "small",
        zones: 3,
        routers: 3,
        core: 3,
        assistants: 3,
        plains: 1,
        models: 4,
        adapters: 4,
        flows: vec![flow("/chat", "chat", 20_000, 4.0, 40), flow("/counter", "counter", 20_000, 4.0, 10)],
        ..vanua()
    }
}

pub fn by_name(name: &str) -> Option<Deployment> {
    match name {
        "vanua" => Some(vanua()),
        "quebec" => Some(quebec()),
        "small" => Some(small()),
        _ => None,
    }
}

impl Deployment {
    pub fn zone(&self, n: usize) -> String {
        format!("z{}", n % self.zones + 1)
    }

    pub fn model(&self, n: usize) -> String {
        format!("m{:02}", n % self.models)
    }

    pub fn config(&self) -> String {
        if let Some(text) = &self.text {
            return text.clone();
        }
        let models: Vec<String> = (0..self.models)
            .map(|n| {
                let mb = 8000 + (n as u64 * 7 % 5) * 4000;
                format!("{{\"name\":\"m{n:02}\",\"weight_mb\":{mb},\"load_ms\":{}}}", 500 + mb / 20)
            })
            .collect();
        let adapters: Vec<String> = (0..self.adapters)
            .map(|n| {
                let base = n % 10.min(self.models);
                format!("{{\"name\":\"a{n:02}\",\"model\":\"m{base:02}\",\"weight_mb\":200,\"load_ms\":200}}")
            })
            .collect();
        let quote = |rows: Vec<String>| rows.iter().map(|r| format!("\"{r}\"")).collect::<Vec<_>>().join(",");
        let routes: Vec<String> = self
            .flows
            .iter()
            .map(|f| {
                format!(
                    "{{\"prefix\":\"{}\",\"class\":\"{}\",\"resumable\":{},\"due_ms\":{}}}",
                    f.prefix, f.class, f.resumable, f.due_ms
                )
            })
            .collect();
        let names = quote((0..self.models).map(|n| format!("m{n:02}")).collect());
        let extra = quote((0..self.adapters).map(|n| format!("a{n:02}")).collect());
        format!(
            "{{\"store\":{{\"loads_per_minute\":120,\"burst\":6}},\n\
             \"budget\":{{\"percent\":20,\"allowance\":30}},\n\
             \"rollout\":{{\"samples\":[{{\"service\":\"assistant\",\"model\":\"m00\"}}]}},\n\
             \"models\":[{}],\n\"adapters\":[{}],\n\
             \"services\":[{{\"name\":\"assistant\",\"sort\":\"assistant\",\"inbox\":256,\"slots\":8,\n\
             \"models\":[{names}],\n\"adapters\":[{extra}],\n\"routes\":[{}]}},\n\
             {{\"name\":\"{}\",\"sort\":\"plain\",\"inbox\":64,\"slots\":16,\n\
             \"routes\":[{{\"prefix\":\"/{}\",\"class\":\"chat\",\"due_ms\":5000}}]}}]}}",
            models.join(","),
            adapters.join(","),
            routes.join(","),
            self.plain_service,
            self.plain_service
        )
    }
}
