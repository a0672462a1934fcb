//! An event loop on the `polling` crate: sockets, a timer queue in whole nanoseconds, signals and watched folders, with
//! bounded buffers and back pressure. It uses no threads and no async runtime; the owner calls [`Reactor::poll`] and
//! handles the events of [`Reactor::next_event`].

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
pub use reactor::{
    reserve, CloseCause, ConnId, Limits, ListenerId, Reactor, ReactorEvent, SendError, Unfinished,
};
pub use signals::SignalFlags;
pub use timers::{TimerId, Timers};
pub use watch::FolderWatch;
