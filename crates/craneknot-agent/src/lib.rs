//! The agent beside a proxy. It follows a coordinator, replaces the files that the proxy reads, acknowledges
//! a resource only once its file is written, and forwards the proxy's load reports. It makes no traffic
//! decisions. Its own decisions are made in modules without I/O: which resources may be applied
//! ([`proxy_resources`]), which coordinator to connect to and when ([`dialer`]), and how unsent load reports
//! are kept ([`load_totals`]).

pub mod dialer;
pub mod load_totals;
pub mod proxy_resources;
pub mod shell;
