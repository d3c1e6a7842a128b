//! The signals that a process is told something by.
#![deny(missing_docs)]

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that tell a process something; one that comes before they are caught ends it.
pub struct Signals {
    /// Read the settings again.
    pub hang_up: Signal,
    /// Stop in order.
    pub terminate: Signal,
    /// Stop in order.
    pub interrupt: Signal,
}

impl Signals {
    /// From now on they are caught, and kept until somebody waits for them.
    pub fn catch() -> Signals {
        let catch = |kind| signal(kind).expect("signals can be caught");
        Signals {
            hang_up: catch(SignalKind::hangup()),
            terminate: catch(SignalKind::terminate()),
            interrupt: catch(SignalKind::interrupt()),
        }
    }
}
