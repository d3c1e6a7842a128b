// The cases; included by stage.rs.

const HOST: &str = "viewer.example";

fn models(names: &[&str]) -> String {
    let rows: Vec<String> = names
        .iter()
        .map(|n| format!("{{\"Name\":\"{n}\",\"WeightsMb\":72700.0,\"LoadTimeS\":1.6,\"Adapters\":0,\"AdapterSizeMb\":66.0}}"))
        .collect();
    rows.join(",")
}

fn engine(name: &str, slots: u64) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthCheck\":\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"CapacitySlots\":{slots},\"KvCapacity\":135472,\"KvTokenBytes\":163840,\"LinkMbps\":1100000.0,\"Stride\":5,\"Models\":[{}],\"WeightsMb\":230000.0,\"AdapterCapacity\":8,\"LoadRateS\":3.6}}}}",
        models(&["m0", "m1", "m2", "m3"])
    )
}

fn plain(name: &str) -> String {
    format!("{{\"Name\":\"{name}\",\"HealthCheck\":\"/health\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}}")
}

fn stream_route(name: &str, prefix: &str, to: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Vhost\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"RouteType\":\"streaming\",\"TimeoutMs\":20000,\"TargetLatencyMs\":2500,\"Priority\":0,\"Backend\":\"{to}\",\"MaxRetries\":1,\"SessionAffinity\":true,\"Resumable\":false,\"TargetGapMs\":300}}"
    )
}

fn plain_route(name: &str, prefix: &str, to: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Vhost\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"RouteType\":\"idempotent\",\"TimeoutMs\":2500,\"TargetLatencyMs\":150,\"Priority\":2,\"Backend\":\"{to}\",\"MaxRetries\":2}}"
    )
}

fn config(revision: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"Revision\":{revision},\"RouteMap\":[{}],\"Backends\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn patch(revision: u64, upsert_routes: &[String]) -> String {
    format!("{{\"Revision\":{revision},\"Upsert\":{{\"RouteMap\":[{}]}}}}", upsert_routes.join(","))
}

#[allow(clippy::too_many_arguments)]
fn runner(site: &Site, n: usize, service: &str, is_engine: bool, slots: u64, holds: &[&str], work: u64, events: u64, runs: &Arc<Runs>) -> Arc<Runner> {
    let stock = Stock { holds: holds.iter().map(|h| h.to_string()).collect(), ..Stock::default() };
    let runner = Arc::new(Runner {
        id: format!("i-{:04x}{n:04x}", std::process::id() & 0xffff),
        service: service.into(),
        zone: ZONES[n % 3].into(),
        addr: site.runner_addr(n),
        is_engine,
        slots,
        load: ms(1600),
        work: Mutex::new(ms(work)),
        events,
        stock: Mutex::new(stock),
        active: AtomicU64::new(0),
        draining: AtomicBool::new(false),
        runs: runs.clone(),
        log: site.log.clone(),
    });
    runner.start();
    runner
}

/// Starts three controllers and `routers` routers, sets the first configuration, and waits until all are ready.
fn begin(site: &mut Site, routers: usize, first: &str) {
    for n in 0..3 {
        site.start_controller(n);
    }
    for n in 0..routers {
        site.start_router(n);
    }
    if site.operate("PUT", 0, first) != 200 {
        cannot_run("the first configuration was not taken");
    }
    for n in 0..routers {
        if !site.wait_ready(n, Duration::from_secs(15)) {
            cannot_run("a router isn't ready");
        }
    }
}

/// A route moves to another service while requests on it wait for a model.
fn moved_route(site: &mut Site, trouble: bool) -> bool {
    let runs = Arc::new(Runs::default());
    let list = vec![
        runner(site, 0, "alpha", true, 64, &["m0", "m2", "m3"], 20, 10, &runs),
        runner(site, 1, "beta", false, 6, &[], 30, 0, &runs),
    ];
    start_platform(site.platform, Arc::new(Mutex::new(list)));
    let services = [engine("alpha", 64), plain("beta")];
    begin(site, 1, &config(3, &[stream_route("r-chat", "/chat/", "alpha"), stream_route("r-other", "/other/", "beta")], &services));
    thread::sleep(ms(8000));
    let to = site.front_of(0);
    let extra = |m: &str| format!("X-Model: {m}\r\nX-Token-Count: 826,58\r\nX-Prompt-Prefix: 5c1e07a2:198,91bd3f06:628\r\n");
    let warm = request(&site.log, to, HOST, "/chat/0", &extra("m0"), "{}", 20_000);
    if warm.status != 200 {
        cannot_run("a first request isn't served");
    }
    let mut clients = Vec::new();
    for n in 0..40u64 {
        let (log, extra) = (site.log.clone(), extra("m1"));
        clients.push(thread::spawn(move || {
            thread::sleep(ms(n * 20));
            request(&log, to, HOST, &format!("/chat/{n}"), &extra, "{}", 20_000)
        }));
    }
    thread::sleep(ms(900));
    let change = match trouble {
        true => patch(5, &[stream_route("r-chat", "/chat/", "beta")]),
        false => patch(5, &[stream_route("r-more", "/more/", "beta")]),
    };
    if site.operate("PATCH", 3, &change) != 200 {
        cannot_run("the change was not taken");
    }
    let ended: Vec<Ended> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
    let after = request(&site.log, to, HOST, "/chat/after", &extra("m0"), "{}", 20_000);
    site.log.line(&format!("a request on the same route right after the change: {}", after.status));
    let denied = ended.iter().filter(|e| e.status == 404).count();
    let good = ended.iter().filter(|e| e.status == 200 && e.whole).count();
    let all = ended.len() + 2;
    site.log.line(&format!("of {all} proper requests {good} were served and {denied} got 404; allowed are 5 + {all}/500"));
    denied * 500 > 5 * 500 + all
}

/// How much later than 0.1 s after the last start the disruption comes, for trials by hand: LATER_MS, 0 if it isn't set.
fn later() -> Duration {
    ms(std::env::var("LATER_MS").ok().and_then(|n| n.parse().ok()).unwrap_or(0))
}

/// Sends the first configuration for 50 s, then 20 requests, and reads the configuration back. Returns whether the
/// configuration was never acknowledged, no request was served and nothing could be read.
fn never_serves(site: &mut Site) -> bool {
    let first = config(3, &[plain_route("r-tile", "/tile/", "beta")], &[plain("beta")]);
    let until = Instant::now() + Duration::from_secs(50);
    let mut status = 0;
    while status != 200 && Instant::now() < until {
        status = site.operate("PUT", 0, &first);
    }
    site.log.line(&format!("the first configuration: {status} (0: never acknowledged)"));
    thread::sleep(ms(3000));
    let mut served = 0;
    for n in 0..20 {
        let got = request(&site.log, site.front_of(0), HOST, &format!("/tile/{n}"), "", "{}", 2500);
        served += u32::from(got.status == 200 && got.whole);
        thread::sleep(ms(50));
    }
    let read = format!("GET /spindledock/config HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", site.control_of(0));
    let back = (0..3).filter_map(|n| call(site.control_of(n), &read, ms(2000))).map(|m| m.status()).collect::<Vec<_>>();
    let running = (0..4).filter(|n| site.is_running(&format!("core-{n}"))).count();
    site.log.line(&format!("{served} of 20 requests were served; reads of the configuration got {back:?}; {running} controllers run"));
    status != 200 && served == 0 && !back.contains(&200)
}

/// All processes of the core are killed at once while the system starts for the first time, and return within a second.
fn killed_at_start(site: &mut Site, trouble: bool) -> bool {
    let runs = Arc::new(Runs::default());
    let list = vec![runner(site, 1, "beta", false, 6, &[], 30, 0, &runs)];
    start_platform(site.platform, Arc::new(Mutex::new(list)));
    site.start_router(0);
    for n in 0..3 {
        site.start_controller(n);
        thread::sleep(ms(100));
    }
    thread::sleep(later());
    if trouble {
        for n in 0..3 {
            site.signal(&format!("core-{n}"), SIGKILL);
        }
        for n in 0..3 {
            site.wait_end(&format!("core-{n}"));
        }
        thread::sleep(ms(500));
        site.bootstrap = false;
        for n in 0..3 {
            let files = std::fs::read_dir(site.dir.join(format!("data-{n}"))).map_or(0, |rows| rows.count());
            site.log.line(&format!("core-{n} comes back, its disk holds {files} files"));
            site.start_controller(n);
        }
    }
    never_serves(site)
}

/// One machine of the core is lost for good while the system starts for the first time; an empty one comes at another
/// address.
fn lost_at_start(site: &mut Site, trouble: bool) -> bool {
    let runs = Arc::new(Runs::default());
    let list = vec![runner(site, 1, "beta", false, 6, &[], 30, 0, &runs)];
    start_platform(site.platform, Arc::new(Mutex::new(list)));
    site.start_router(0);
    for n in 0..3 {
        site.start_controller(n);
        thread::sleep(ms(100));
    }
    thread::sleep(later());
    if trouble {
        site.signal("core-2", SIGKILL);
        site.wait_end("core-2");
        site.log.line("core-2 is removed for good");
        thread::sleep(ms(1000));
        site.bootstrap = false;
        site.start_controller(3);
    }
    never_serves(site)
}

/// The leader of the core freezes as the operator sends the first configuration, just before traffic starts.
fn no_configuration_yet(site: &mut Site, trouble: bool) -> bool {
    let runs = Arc::new(Runs::default());
    let list = vec![
        runner(site, 1, "beta", false, 6, &[], 30, 0, &runs),
        runner(site, 2, "beta", false, 6, &[], 30, 0, &runs),
    ];
    start_platform(site.platform, Arc::new(Mutex::new(list)));
    let began = Instant::now();
    for n in 0..3 {
        site.start_controller(n);
    }
    site.start_router(0);
    site.start_router(1);
    // Traffic starts 10 s after the machines do; the first configuration is sent before.
    thread::sleep(ms(9900).saturating_sub(began.elapsed()));
    let Some(head) = site.controller_at("head") else { cannot_run("no controller tells which is the head") };
    site.log.line(&format!("core-{head} leads; ready: {} {}", site.wait_ready(0, ms(300)), site.wait_ready(1, ms(300))));
    if trouble {
        site.signal(&format!("core-{head}"), SIGSTOP);
    }
    let fronts = [site.front_of(0), site.front_of(1)];
    let log = site.log.clone();
    let traffic = thread::spawn(move || {
        thread::sleep(ms(10_000).saturating_sub(began.elapsed()));
        let mut clients = Vec::new();
        for n in 0..160usize {
            let (log, to) = (log.clone(), fronts[n % 2]);
            clients.push(thread::spawn(move || request(&log, to, HOST, &format!("/tile/{n}"), "", "{}", 2500)));
            thread::sleep(ms(25));
        }
        clients.into_iter().map(|c| c.join().expect("a client")).collect::<Vec<Ended>>()
    });
    let first = config(3, &[plain_route("r-tile", "/tile/", "beta")], &[plain("beta")]);
    let thaw_at = Instant::now() + ms(4000);
    let status = site.operate("PUT", 0, &first);
    site.log.line(&format!("the first configuration: {status}"));
    thread::sleep(thaw_at.saturating_duration_since(Instant::now()));
    if trouble {
        site.signal(&format!("core-{head}"), SIGCONT);
    }
    let ended = traffic.join().expect("the traffic");
    if status != 200 {
        cannot_run("the first configuration was not taken");
    }
    let count = |status: u16| ended.iter().filter(|e| e.status == status).count();
    let (denied, served, refused) = (count(404), count(200), count(503));
    let all = ended.len();
    site.log.line(&format!("of {all} proper requests {served} got 200, {refused} got 503 and {denied} got 404; allowed are ten 404"));
    denied > 10
}

/// The last tenant is withdrawn; requests with its key, with a key that never was, and without a key follow.
fn last_tenant(site: &mut Site, trouble: bool) -> bool {
    let runs = Arc::new(Runs::default());
    let list = vec![
        runner(site, 1, "beta", false, 6, &[], 30, 0, &runs),
        runner(site, 2, "beta", false, 6, &[], 30, 0, &runs),
    ];
    start_platform(site.platform, Arc::new(Mutex::new(list)));
    let routes = [plain_route("r-tile", "/tile/", "beta")];
    let open = config(3, &routes, &[plain("beta")]);
    let tenants = "\"Tenants\":[{\"Name\":\"coop\",\"ApiKeys\":[\"k-held-7f31\"],\"Priority\":0}]";
    let first = format!("{},{tenants}}}", &open[..open.len() - 1]);
    begin(site, 2, &first);
    thread::sleep(ms(2000));
    let round = |site: &Site, what: &str| {
        let mut served = [0u32; 3];
        for n in 0..20usize {
            let keys = ["Api-Key: k-held-7f31\r\n", "Api-Key: k-never-held\r\n", ""];
            for (k, key) in keys.iter().enumerate() {
                let e = request(&site.log, site.front_of(n % 2), HOST, &format!("/tile/{n}"), key, "{}", 2500);
                let ran = runs.began.lock().unwrap().contains_key(&e.id);
                if e.status == 200 || ran {
                    served[k] += 1;
                }
            }
        }
        let [held, never, none] = served;
        site.log.line(&format!("{what}: run of 20 each: with the tenant's key {held}, with a key that no configuration held {never}, without a key {none}"));
        served
    };
    let before = round(site, "before the change");
    if before != [20, 0, 0] {
        cannot_run("keys don't work before the change");
    }
    let change = match trouble {
        true => "{\"Revision\":5,\"Withdraw\":{\"Tenants\":[\"coop\"]}}".to_string(),
        false => patch(5, &[plain_route("r-more", "/more/", "beta")]),
    };
    if site.operate("PATCH", 3, &change) != 200 {
        cannot_run("the change was not taken");
    }
    // ConvergenceMs is 2,000.
    thread::sleep(ms(3000));
    let read = format!("GET /spindledock/config HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", site.control_of(0));
    let held = call(site.control_of(0), &read, ms(2000)).map(|m| m.text()).unwrap_or_default();
    site.log.line(&format!("the configuration read back names Tenants: {}", held.contains("\"Tenants\":[")));
    let after = round(site, "3 s after the acknowledgement");
    let dropped = if trouble { after[0] } else { 0 };
    dropped + after[1] + after[2] > 0
}

/// A client of the crowd: what it has yet to send.
struct Sender {
    tcp: TcpStream,
    data: Vec<u8>,
    sent: usize,
}

/// One request inside the limits of the configuration: a head of up to 16,384 bytes with many headers, a body of 46,000.
fn crowd_request(n: usize) -> Vec<u8> {
    let body = 46_000;
    let mut head = format!(
        "POST /sheet/{n} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: 14000\r\nContent-Length: {body}\r\n",
        new_id()
    );
    for k in 0..92 {
        head.push_str(&format!("x{k:x}: {k}\r\n"));
    }
    let pad = 16_200 - head.len() - 20;
    head.push_str(&format!("X-Pad: {}\r\n\r\n", "p".repeat(pad)));
    let mut raw = head.into_bytes();
    raw.resize(raw.len() + body, b'x');
    raw
}

/// Many clients send requests of legal size to one router at once and stay open without reading. The platform's part is
/// played as DEPLOY.md says: a process that goes over MemoryMb is killed, and started again after a short delay.
fn crowd(site: &mut Site, trouble: bool) -> bool {
    let (clients, waves) = (if trouble { 840 } else { 20 }, if trouble { 10 } else { 6 });
    if raise_descriptors() < 4000 {
        cannot_run("fewer than 4,000 descriptors");
    }
    // The edge machines of the grown and the shared fleets have 160 MB.
    site.memory_mb = 160;
    let runs = Arc::new(Runs::default());
    let list = (1..15).map(|n| runner(site, n, "beta", false, 64, &[], 2500, 0, &runs)).collect();
    start_platform(site.platform, Arc::new(Mutex::new(list)));
    let route = plain_route("r-sheet", "/sheet/", "beta").replace("idempotent", "non_idempotent");
    let route = route.replace("\"TimeoutMs\":2500,\"TargetLatencyMs\":150", "\"TimeoutMs\":15000,\"TargetLatencyMs\":5000");
    let service = plain("beta").replace("\"MaxConnections\":96", "\"MaxConnections\":360");
    begin(site, 2, &config(3, &[route], &[service]));
    site.bootstrap = false;
    thread::sleep(ms(2000));
    let limit = site.memory_mb * 1024;
    let mut ends = [0u32; 2];
    let (mut cut, mut asked) = (0, 0);
    for wave in 0..waves {
        let router = wave % 2;
        if ends[router] >= 3 {
            continue;
        }
        let name = format!("edge-{router}");
        let to = site.front_of(router);
        let log = site.log.clone();
        let ordinary = thread::spawn(move || {
            let one = |n: u64| {
                let log = log.clone();
                thread::spawn(move || {
                    thread::sleep(ms(n * 100));
                    request(&log, to, HOST, "/sheet/ordinary", "", "{}", 10_000)
                })
            };
            (0..10).map(one).collect::<Vec<_>>().into_iter().map(|c| c.join().expect("a client")).collect::<Vec<Ended>>()
        });
        let began = Instant::now();
        let (mut senders, mut peak) = (Vec::new(), 0);
        let mut killed = false;
        while began.elapsed() < ms(7000) && !killed {
            for _ in 0..50 {
                if senders.len() < clients
                    && let Ok(tcp) = TcpStream::connect_timeout(&to, ms(500))
                {
                    let _ = tcp.set_nonblocking(true);
                    senders.push(Sender { tcp, data: crowd_request(senders.len()), sent: 0 });
                }
            }
            for sender in senders.iter_mut().filter(|s| s.sent < s.data.len()) {
                if let Ok(n) = sender.tcp.write(&sender.data[sender.sent..]) {
                    sender.sent += n;
                }
            }
            let now = site.memory_kb(&name);
            peak = peak.max(now);
            if now > limit {
                site.log.line(&format!("{name} has {now} kB, over MemoryMb ({limit} kB): the platform kills it"));
                site.signal(&name, SIGKILL);
                killed = true;
            }
            thread::sleep(ms(if senders.len() < clients { 1 } else { 10 }));
        }
        let whole = senders.iter().filter(|s| s.sent == s.data.len()).count();
        let open = senders.len();
        drop(senders);
        let lost = ordinary.join().expect("the ordinary clients").iter().filter(|e| !e.whole).count();
        cut += lost;
        asked += 10;
        site.log.line(&format!(
            "wave {wave} on {name}: {open} clients, {whole} whole requests sent, peak {peak} kB of {limit}, killed {killed}; {lost} of 10 ordinary requests got no whole answer"
        ));
        if killed {
            ends[router] += 1;
            site.wait_end(&name);
            thread::sleep(ms(500));
            site.start_router(router);
        }
        if !site.wait_ready(router, ms(8000)) {
            site.log.line(&format!("{name} isn't ready"));
        }
        // The runners work off what they have.
        thread::sleep(ms(if killed { 3500 } else { 2000 }));
    }
    site.log.line(&format!(
        "ended by their memory: edge-0 {} times, edge-1 {} times; {cut} of {asked} ordinary requests got no whole answer",
        ends[0], ends[1]
    ));
    ends.iter().all(|n| *n >= 3)
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let record = PathBuf::from(std::env::args().nth(2).unwrap_or("record.txt".into()));
    let dir = PathBuf::from(std::env::args().nth(3).unwrap_or_else(|| cannot_run("no temporary folder")));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let log = Log::new(&record);
    let mut site = Site::new(&dir, log.clone());
    log.line(&format!("case {case} trouble={trouble}"));
    let broken = match case.as_str() {
        "moved-route" => moved_route(&mut site, trouble),
        "killed-at-start" => killed_at_start(&mut site, trouble),
        "lost-at-start" => lost_at_start(&mut site, trouble),
        "no-configuration-yet" => no_configuration_yet(&mut site, trouble),
        "last-tenant" => last_tenant(&mut site, trouble),
        "crowd" => crowd(&mut site, trouble),
        _ => cannot_run("no such case"),
    };
    log.line(if broken { "the rule was broken" } else { "the rule held" });
    site.stop_all();
    std::process::exit(i32::from(broken));
}
