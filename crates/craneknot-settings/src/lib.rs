//! Settings as JSON. The schema is generated from the types. [`load`] validates a file against the schema and then
//! against the rules that a schema cannot express. Every error names the file, the location (a JSON pointer, or line
//! and column) and a remedy.

mod agent;
mod check;
mod coordinator;
pub mod instance;
pub mod json_size;
mod span;

pub use agent::{AgentSettings, CoordinatorAddress, NodeSettings};
pub use check::{load, parse, schema_text, Check, Problem, Problems};
pub use coordinator::{
    ChannelSettings, ClassSettings, CoordinatorSettings, CrossingSettings, FleetSettings, LedgerSettings,
    LevelUnit, MemberSettings, Names, ProbeSettings, Repeats, RosterSettings, RuleSettings, SharedSettings,
    SolverSettings, StreamSettings,
};
pub use span::Span;
