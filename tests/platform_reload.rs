#[path = "platform_given/folder.rs"]
mod folder;
mod platform_given;

use folder::Folder;
use platform_given::router;
use spindledock::json::Tree;
use spindledock::platform::settings::PATH_VARIABLE;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(30);

fn free() -> u16 {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address").port()
}

struct Router {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Router {
    fn start(file: &str) -> Router {
        let mut c = Command::new(env!("CARGO_BIN_EXE_spindledock-router"));
        c.arg("--platform").env(PATH_VARIABLE, file).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = c.spawn().expect("it starts");
        let (tx, lines) = mpsc::channel();
        let out: [Option<Box<dyn Read + Send>>; 2] = [
            child.stdout.take().map(|s| Box::new(s) as Box<dyn Read + Send>),
            child.stderr.take().map(|s| Box::new(s) as Box<dyn Read + Send>),
        ];
        for pipe in out.into_iter().flatten() {
            let tx = tx.clone();
            std::thread::spawn(move || {
                BufReader::new(pipe).lines().map_while(Result::ok).all(|l| tx.send(l).is_ok());
            });
        }
        Router { child, lines }
    }

    fn line(&self, word: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LONG).unwrap_or_else(|_| panic!("no line says {word}"));
            if line.contains(word) {
                return line;
            }
        }
    }

    fn hangup(&self) {
        assert_eq!(unsafe { libc::kill(self.child.id() as i32, libc::SIGHUP) }, 0);
    }
}

#[test]
fn given_a_running_process_when_its_file_turns_faulty_then_it_says_so_and_keeps_the_old_settings() {
    let dir = Folder::new("reload");
    let (front, ready, port) = (free(), free(), free());
    let good = router(front, ready, port);
    let file = dir.write(&good);
    let r = Router::start(&file);
    r.line("event=started");
    dir.write(&good.replace("Zone: \"hall-a\"", "Zone: 3"));
    r.hangup();
    let told = r.line("settings-kept");
    assert!(told.contains("Zone"), "{told}");
    let mut link = TcpStream::connect(("127.0.0.1", ready)).expect("it serves on");
    link.write_all(b"GET /spindledock/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").expect("sent");
    let mut answer = String::new();
    link.read_to_string(&mut answer).expect("read");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(Tree::parse(answer.split("\r\n\r\n").nth(1).unwrap_or("")).is_ok(), "{answer}");
    dir.write(&good.replace("127.0.0.3:8146", "127.0.0.9:8146"));
    r.hangup();
    let told = r.line("settings-taken");
    assert!(told.contains(&format!("127.0.0.9:{port}")), "{told}");
}

// Guards against: a SIGHUP that comes as soon as a process has said that it started ends it.
#[test]
fn given_a_process_that_has_just_started_when_it_is_told_to_read_its_file_then_it_does_and_runs_on() {
    let dir = Folder::new("reload-early");
    for _ in 0..40 {
        let text = router(free(), free(), free());
        let file = dir.write(&text);
        let mut process = Router::start(&file);
        process.line("event=started");
        process.hangup();
        dir.write(&text.replace("Zone: \"hall-a\"", "Zone: 3"));
        process.hangup();
        process.line("settings-kept");
        assert!(matches!(process.child.try_wait(), Ok(None)), "it ended");
    }
}
