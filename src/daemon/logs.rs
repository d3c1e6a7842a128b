//! Logging: lines of `key=value` pairs (logfmt) on stderr.

use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Installs the logger. `SPINDLEDOCK_LOG` sets the level or a filter; the default is `info`.
pub fn start() {
    let level = std::env::var("SPINDLEDOCK_LOG").unwrap_or_else(|_| "info".into());
    let filter = RustLogFilterBuilder::from_spec(&level).build();
    let append = Stderr::default().with_layout(LogfmtLayout::default());
    let logger = logforth::core::builder().dispatch(|d| d.filter(filter).append(append)).build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(log::LevelFilter::Trace);
    }
}
