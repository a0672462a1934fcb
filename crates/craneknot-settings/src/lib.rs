//! Settings as JSON. The schema is made from the types; [`load`] checks a file against it and then against what a
//! schema cannot say, and every error names the file, the place (a JSON pointer, or line and column) and the mend.

mod agent;
mod check;
mod coordinator;
pub mod instance;
mod span;

pub use agent::{AgentSettings, CoordinatorAddress, NodeSettings};
pub use check::{load, parse, schema_text, Check, Problem, Problems};
pub use coordinator::{
    ChannelSettings, ClassSettings, CoordinatorSettings, CrossingSettings, FleetSettings, LedgerSettings,
    LevelUnit, MemberSettings, Names, ProbeSettings, Repeats, RosterSettings, RuleSettings, SharedSettings,
    SolverSettings, StreamSettings,
};
pub use span::Span;
