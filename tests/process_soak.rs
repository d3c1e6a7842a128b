use spindledock::soak::{SoakOptions, soak};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

/// One seed of planned work alone, one of all kinds.
const SEEDS: [u64; 2] = [21, 34];

fn options(name: &str) -> SoakOptions {
    let dir = std::env::temp_dir().join(format!("spindledock-{name}-{}", std::process::id()));
    SoakOptions { from: 0, to: 0, length: Duration::from_secs(30), size: "small".into(), dir }
}

// Guards against: whatever signals, restarts, faults and changes on real processes bring about when they overlap.
#[test]
fn given_real_processes_when_signals_faults_and_changes_overlap_then_nothing_is_lost_or_left_behind() {
    let options = options("soak");
    let runtime = tokio::runtime::Runtime::new().expect("threads");
    for seed in SEEDS {
        let report =
            runtime.block_on(soak(&options, seed)).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        println!("{report}");
        assert!(report.findings.is_empty(), "{}\n{report}", options.command(seed));
    }
    let _ = std::fs::remove_dir_all(&options.dir);
}

fn fleet(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spindledock-fleet"));
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

// Guards against: a soak with a misspelt argument that plays something else, or says nothing of use.
#[test]
fn given_arguments_that_make_no_sense_when_a_soak_is_asked_for_then_it_says_why_and_starts_nothing() {
    let wrong: [(&[&str], &str); 6] = [
        (&["--soak", "x"], "names no seeds"),
        (&["--soak", "9..3"], "names no seeds"),
        (&["--soak"], "--soak"),
        (&["--soak", "1", "--soak-seconds", "3"], "give 18 to 3600"),
        (&["--soak", "1", "--soak-size", "huge"], "give small, users or many"),
        (&["--soak", "1", "--sulk"], "is not known"),
    ];
    for (args, told) in wrong {
        let out = fleet(args).output().expect("it starts");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{args:?}: {text}");
        assert!(text.contains(told), "{args:?}: {text}");
    }
}

/// The processes whose command line names this folder.
fn running(dir: &Path) -> Vec<String> {
    let name = dir.display().to_string();
    let commands = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let commands = commands.filter_map(|entry| std::fs::read_to_string(entry.path().join("cmdline")).ok());
    commands.filter(|command| command.contains(&name)).collect()
}

// Guards against: processes of a soak that go on when it is interrupted.
#[test]
fn given_a_soak_under_way_when_it_is_interrupted_then_no_process_of_it_goes_on() {
    for signal in [libc::SIGTERM, libc::SIGINT] {
        let dir = options(&format!("interrupted-{signal}")).dir;
        let mut soak =
            fleet(&["--soak", "1", "--dir", &dir.display().to_string()]).spawn().expect("it starts");
        let began = std::time::Instant::now();
        while running(&dir).len() < 8 && began.elapsed() < Duration::from_secs(20) {
            std::thread::yield_now();
        }
        assert!(running(&dir).len() >= 8, "the fleet starts");
        unsafe { libc::kill(soak.id() as i32, signal) };
        assert_eq!(soak.wait().expect("it ends").code(), Some(1));
        assert_eq!(running(&dir), Vec::<String>::new());
        let _ = std::fs::remove_dir_all(&dir);
    }
}
