//! One event loop on the `polling` crate: sockets, one timer queue in whole nanoseconds, signals and watched
//! folders, with bounded buffers and back pressure. No thread and no async runtime; the owner asks
//! [`Reactor::poll`] for what has happened and acts on it.

mod clock;
mod conn;
mod counter;
mod files;
mod reactor;
mod signals;
pub mod system_errors;
mod timers;
mod watch;

pub use clock::{Clock, ManualClock, SteadyClock};
pub use counter::Counter;
pub use files::read_regular_file;
pub use reactor::{reserve, CloseCause, ConnId, Limits, ListenerId, Reactor, ReactorEvent, SendError};
pub use signals::SignalFlags;
pub use timers::{TimerId, Timers};
pub use watch::FolderWatch;
