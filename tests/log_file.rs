//! The log file after every power loss, failed write and damage that its folder can produce: what was
//! acknowledged is read back, or a fault names the file.

use spindledock::kernel::disk::{Disk, LogFile};
use spindledock::kernel::fault::Kind;
use spindledock::kernel::folder::Folder;
use spindledock::kernel::ids::NodeId;
use spindledock::kernel::log_format;
use spindledock::msg::Record;
use spindledock::sim::folder::{Files, SimFolder};

/// A call of the log: an append of two records, or a rewrite that keeps only one.
#[derive(Clone, Copy, Debug)]
enum Call {
    Add(u64),
    Rewrite(u64),
}

const CALLS: [Call; 8] = [
    Call::Add(1),
    Call::Add(2),
    Call::Rewrite(3),
    Call::Add(4),
    Call::Rewrite(5),
    Call::Rewrite(6),
    Call::Add(7),
    Call::Add(8),
];

fn record(n: u64) -> Record {
    Record::Ident { node: NodeId(n) }
}

fn perform(log: &mut LogFile, call: Call) -> bool {
    let done = match call {
        Call::Add(n) => log.add(&[record(n), record(n)]),
        Call::Rewrite(n) => log.rewrite(&[record(n)]),
    };
    done.is_ok()
}

/// The records that the log holds after the call.
fn after(before: &[Record], call: Call) -> Vec<Record> {
    match call {
        Call::Add(n) => [before, &[record(n), record(n)]].concat(),
        Call::Rewrite(n) => vec![record(n)],
    }
}

fn open_log(folder: &SimFolder) -> LogFile {
    LogFile::inside(Box::new(folder.clone()))
}

/// Reads what a power loss left, and appends a batch to see that the log still works.
fn read_back(files: Files) -> Vec<Record> {
    let folder = SimFolder::default();
    folder.set_files(files.clone());
    let names: Vec<(&String, usize)> = files.iter().map(|(name, raw)| (name, raw.len())).collect();
    let mut log = open_log(&folder);
    let rows = log.load().unwrap_or_else(|fault| panic!("{fault}: {names:?}"));
    log.add(&[record(99)]).expect("appends still work");
    let more = open_log(&folder).load().expect("sound");
    assert_eq!(more, [&rows[..], &[record(99)]].concat(), "{names:?}");
    rows
}

/// Checks that each state that a power loss may leave holds what was acknowledged, with or without the call under way.
fn check_every_loss(folder: &SimFolder, acknowledged: &[Record], pending: &[Record]) -> usize {
    let left = folder.after_any_loss();
    for files in &left {
        let rows = match files.iter().all(|(_, raw)| raw.is_empty()) {
            true => vec![],
            false if acknowledged.is_empty() => continue,
            false => read_back(files.iter().cloned().collect()),
        };
        assert!(
            rows == acknowledged || rows == pending,
            "{rows:?} instead of {acknowledged:?} or {pending:?}"
        );
    }
    left.len()
}

#[test]
fn given_appends_and_rewrites_when_power_goes_at_any_step_then_what_was_acknowledged_is_there() {
    let folder = SimFolder::default();
    let mut log = open_log(&folder);
    let (mut held, mut states) = (log.load().expect("empty"), 0);
    for call in CALLS {
        folder.reach();
        assert!(perform(&mut log, call));
        let next = after(&held, call);
        states += check_every_loss(&folder, &held, &next);
        held = next;
        folder.reach();
        check_every_loss(&folder, &held, &held);
    }
    println!("{states} states");
}

#[test]
fn given_any_step_that_fails_when_the_calls_are_repeated_and_power_goes_then_nothing_acknowledged_is_lost() {
    let mut states = 0;
    for call in 1..CALLS.len() {
        for step in 0..12 {
            let folder = SimFolder::default();
            let mut log = open_log(&folder);
            let mut held = log.load().expect("empty");
            for done in &CALLS[..call] {
                assert!(perform(&mut log, *done));
                held = after(&held, *done);
            }
            folder.reach();
            folder.fail_after(step);
            let next = after(&held, CALLS[call]);
            let done = perform(&mut log, CALLS[call]);
            if folder.failure_is_due() {
                break;
            }
            states += check_every_loss(&folder, &held, &next);
            folder.reach();
            let mut held = if done { next } else { held };
            for more in [&[Call::Add(50)][..], &CALLS[call..]].concat().iter() {
                assert!(perform(&mut log, *more), "calls succeed after the failure");
                let next = after(&held, *more);
                states += check_every_loss(&folder, &held, &next);
                held = next;
                folder.reach();
            }
        }
    }
    println!("{states} states");
}

#[test]
fn given_a_killed_process_when_it_reads_on_and_power_goes_then_what_it_read_is_still_there() {
    for call in CALLS {
        for step in 0..12 {
            let folder = SimFolder::default();
            let mut log = open_log(&folder);
            log.load().expect("empty");
            assert!(perform(&mut log, Call::Add(20)));
            folder.reach();
            folder.fail_after(step);
            perform(&mut log, call);
            if folder.failure_is_due() {
                break;
            }
            let read = open_log(&folder).load().expect("sound");
            folder.reach();
            for files in folder.after_any_loss() {
                assert_eq!(read_back(files.into_iter().collect()), read, "{call:?} failed at step {step}");
            }
        }
    }
}

#[test]
fn given_a_disk_that_fills_when_a_rewrite_comes_then_the_older_file_stays_and_appends_go_on_with_room() {
    let folder = SimFolder::default();
    let mut log = open_log(&folder);
    log.load().expect("empty");
    assert!(perform(&mut log, Call::Add(1)));
    let old = log.name();
    folder.set_full(true);
    assert!(!perform(&mut log, Call::Rewrite(2)));
    assert!(!perform(&mut log, Call::Add(3)));
    assert_eq!(log.name(), old);
    folder.set_full(false);
    assert!(perform(&mut log, Call::Add(4)));
    assert_eq!(open_log(&folder).load().expect("sound"), [record(1), record(1), record(4), record(4)]);
}

#[test]
fn given_a_file_without_a_header_when_opened_then_it_is_read_and_written_in_the_new_format() {
    let folder = SimFolder::default();
    let rows: Vec<Record> = (1..5).map(record).collect();
    let raw = log_format::write_format_one(&rows);
    let torn = [&raw[..], &raw[..7]].concat();
    folder.set_files(Files::from([(log_format::FORMAT_ONE_NAME.to_string(), torn)]));
    let mut log = open_log(&folder);
    assert_eq!(log.load().expect("read"), rows);
    assert_eq!(log.name().as_deref(), Some("core.1.log"));
    for files in folder.after_any_loss() {
        assert_eq!(read_back(files.into_iter().collect()), rows);
    }
}

#[test]
fn given_a_file_of_a_later_format_when_opened_then_it_is_refused_by_name_and_left_alone() {
    let mut raw = log_format::begin(4, &[record(1)]);
    raw[8] = 9;
    let sum = crc32fast::hash(&raw[..log_format::HEADER_LEN - 4]).to_le_bytes();
    raw[log_format::HEADER_LEN - 4..log_format::HEADER_LEN].copy_from_slice(&sum);
    let folder = SimFolder::default();
    let files = Files::from([("core.4.log".to_string(), raw)]);
    folder.set_files(files.clone());
    let fault = open_log(&folder).load().expect_err("refused");
    assert_eq!(fault.kind, Kind::Format);
    assert!(fault.to_string().contains("core.4.log") && fault.to_string().contains("format 9"), "{fault}");
    assert_eq!(folder.files(), files);
}

#[test]
fn given_a_damaged_only_file_when_opened_then_it_is_named_and_kept() {
    let folder = SimFolder::default();
    let mut raw = log_format::begin(1, &[record(1)]);
    let last = raw.len() - 1;
    raw[last] ^= 1;
    folder.set_files(Files::from([("core.1.log".to_string(), raw.clone())]));
    let mut log = open_log(&folder);
    let fault = log.load().expect_err("refused");
    assert_eq!(fault.kind, Kind::Damage);
    assert!(fault.to_string().contains("restore"), "{fault}");
    assert_eq!(log.set_aside().expect("set aside"), "core.bad.1");
    assert_eq!(folder.clone().read("core.bad.1").expect("kept"), raw);
    assert!(log.load().expect("empty").is_empty());
}

#[test]
fn given_records_that_hold_batches_when_one_is_torn_then_its_content_is_not_taken_for_a_later_batch() {
    let mut raw = log_format::begin(1, &[record(1)]);
    let whole = raw.len();
    raw.extend(&log_format::batch(1, whole as u64, &[record(2)])[..9]);
    raw.extend(log_format::batch(1, 999, &[record(7)]));
    raw.extend(log_format::batch(2, raw.len() as u64, &[record(8)]));
    assert_eq!(log_format::read(1, &raw), log_format::Content::Whole(vec![record(1)], whole));
}
