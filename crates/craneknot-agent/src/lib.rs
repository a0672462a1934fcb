//! The agent beside a proxy: it follows a coordinator, swaps the files that the proxy reads, acknowledges only
//! what stands on the disk, and brings the proxy's sums back. It decides nothing about traffic; what it has to
//! judge stands in modules without I/O: what may be swapped in ([`proxy_resources`]), whom to dial and when ([`dialer`]), and
//! what becomes of sums that could not be sent ([`load_totals`]).

pub mod dialer;
pub mod load_totals;
pub mod proxy_resources;
pub mod shell;
