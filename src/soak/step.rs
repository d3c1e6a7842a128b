//! What a soak does to the processes of a fleet.

use std::fmt;

/// A signal to a process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Signal {
    /// Stop in order.
    Terminate,
    /// Read the settings again.
    HangUp,
    /// End at once.
    Kill,
    /// Stand still.
    Freeze,
    /// Go on after a freeze.
    Thaw,
}

impl Signal {
    /// The number of the signal.
    pub fn number(self) -> i32 {
        match self {
            Signal::Terminate => libc::SIGTERM,
            Signal::HangUp => libc::SIGHUP,
            Signal::Kill => libc::SIGKILL,
            Signal::Freeze => libc::SIGSTOP,
            Signal::Thaw => libc::SIGCONT,
        }
    }

    /// Whether a process that gets it may do less than it owes: the signal is no planned work.
    pub fn is_unplanned(self) -> bool {
        matches!(self, Signal::Kill | Signal::Freeze | Signal::Thaw)
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Signal::Terminate => "terminate",
            Signal::HangUp => "hang-up",
            Signal::Kill => "kill",
            Signal::Freeze => "freeze",
            Signal::Thaw => "thaw",
        })
    }
}

/// A way in which a runner misbehaves.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RunnerFault {
    /// It answers nothing, and its streams stand still.
    Silent,
    /// Its streams end within an event.
    Truncate,
    /// It turns requests away, after a while.
    LateRefusal,
}

impl RunnerFault {
    /// The name that a stand-in runner knows it by.
    pub fn name(self) -> &'static str {
        match self {
            RunnerFault::Silent => "dark",
            RunnerFault::Truncate => "truncate",
            RunnerFault::LateRefusal => "late-refusal",
        }
    }
}

/// A change that the operator sends.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ConfigChange {
    /// A route is added.
    AddRoute(u64),
    /// A route that was added is dropped.
    DropRoute(u64),
    /// A model is withdrawn and another is offered.
    Swap {
        /// The model that is withdrawn.
        withdrawn: String,
        /// The model that is offered.
        offered: String,
    },
    /// A configuration that must be refused.
    Invalid(u64),
    /// Two routes are added at once on top of the same version; one of them wins.
    Race(u64),
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigChange::AddRoute(n) => write!(f, "add-route n={n}"),
            ConfigChange::DropRoute(n) => write!(f, "drop-route n={n}"),
            ConfigChange::Swap { withdrawn, offered } => {
                write!(f, "swap withdrawn={withdrawn} offered={offered}")
            }
            ConfigChange::Invalid(n) => write!(f, "invalid n={n}"),
            ConfigChange::Race(n) => write!(f, "race n={n}"),
        }
    }
}

/// One thing that a soak does at its time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Step {
    /// Sends a signal to a process.
    Signal {
        /// The process.
        process: String,
        /// The signal.
        signal: Signal,
    },
    /// Starts a process as soon as it is gone.
    Restart {
        /// The process.
        process: String,
    },
    /// Empties the data folder of a process that was killed.
    Wipe {
        /// The process.
        process: String,
    },
    /// Makes a runner misbehave.
    Break {
        /// The runner.
        runner: String,
        /// How it misbehaves.
        fault: RunnerFault,
    },
    /// Makes a runner behave again.
    Mend {
        /// The runner.
        runner: String,
    },
    /// Sends a change of the configuration.
    Change(ConfigChange),
    /// Starts a new runner and lists it.
    Join {
        /// The runner.
        runner: String,
    },
    /// Marks a runner as leaving.
    MarkLeaving {
        /// The runner.
        runner: String,
    },
    /// Ends a runner that was marked and takes it off the list.
    Retire {
        /// The runner.
        runner: String,
    },
}

impl Step {
    /// The name that its kind is counted under.
    pub fn kind(&self) -> String {
        match self {
            Step::Signal { process, signal } => format!("{signal}-{}", role_of(process)),
            Step::Restart { process } => format!("restart-{}", role_of(process)),
            Step::Wipe { .. } => "wipe-controller".into(),
            Step::Break { fault, .. } => format!("runner-{}", fault.name()),
            Step::Mend { .. } => "runner-mended".into(),
            Step::Change(change) => {
                let text = change.to_string();
                format!("change-{}", text.split(' ').next().unwrap_or_default())
            }
            Step::Join { .. } => "runner-joins".into(),
            Step::MarkLeaving { .. } => "runner-leaves".into(),
            Step::Retire { .. } => "runner-retires".into(),
        }
    }
}

/// What a process is, by its name.
pub fn role_of(process: &str) -> &'static str {
    match process.chars().next() {
        Some('c') => "controller",
        Some('r') => "router",
        _ => "runner",
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Signal { process, signal } => write!(f, "signal process={process} signal={signal}"),
            Step::Restart { process } => write!(f, "restart process={process}"),
            Step::Wipe { process } => write!(f, "wipe process={process}"),
            Step::Break { runner, fault } => write!(f, "break process={runner} fault={}", fault.name()),
            Step::Mend { runner } => write!(f, "mend process={runner}"),
            Step::Change(change) => write!(f, "change what={change}"),
            Step::Join { runner } => write!(f, "join process={runner}"),
            Step::MarkLeaving { runner } => write!(f, "mark-leaving process={runner}"),
            Step::Retire { runner } => write!(f, "retire process={runner}"),
        }
    }
}
