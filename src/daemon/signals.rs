//! The signals that a process reacts to.
#![deny(missing_docs)]

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a process handles. One that arrives before [`Signals::catch`] ends the process.
pub struct Signals {
    /// SIGHUP: reload the settings.
    pub hang_up: Signal,
    /// SIGTERM: shut down in order.
    pub terminate: Signal,
    /// SIGINT: shut down in order.
    pub interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. From now on signals are kept until somebody waits for them.
    pub fn catch() -> Signals {
        let catch = |kind| signal(kind).expect("signals can be caught");
        Signals {
            hang_up: catch(SignalKind::hangup()),
            terminate: catch(SignalKind::terminate()),
            interrupt: catch(SignalKind::interrupt()),
        }
    }
}
