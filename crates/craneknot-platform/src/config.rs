//! The configuration of a coordinator, read at startup and again whenever it is replaced.

use std::net::SocketAddr;

use craneknot::interface::Settings;
use craneknot_settings::instance::{self, InstanceNames};
use serde_json::Value;

use crate::discovery::{self, Roster};
use crate::fields::Object;

/// Minimum and maximum of the file descriptor limit that the platform may set for a coordinator.
const SOCKET_LIMIT_RANGE: (u64, u64) = (16, 1 << 20);

/// Minimum and maximum of the memory limit that the platform may set for a coordinator, in MiB.
const MEMORY_LIMIT_RANGE: (f64, f64) = (16.0, 1_048_576.0);
/// Memory limit in MiB of a configuration that sets none.
const DEFAULT_MEMORY_LIMIT: f64 = 64.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// The parsed configuration of one coordinator.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The address at which the relay listens.
    pub relay: SocketAddr,
    pub seed: u64,
    /// Number of file descriptors that the process may hold.
    pub socket_limit: usize,
    /// Number of bytes of memory that the process may use.
    pub memory_limit: usize,
    pub settings: Settings,
    pub names: InstanceNames,
    /// The list of servers as this coordinator last knew it; it may be outdated.
    pub known_roster: Option<Roster>,
    /// Parse errors of the known list. They are not fatal, because discovery delivers the list anyway.
    pub warnings: Vec<String>,
}

impl Config {
    /// Parses the configuration from JSON; errors name the field.
    pub fn parse(text: &[u8]) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(text).map_err(|cause| format!("not JSON: {cause}"))?;
        let object = Object::new("configuration", &value)?;
        let address = |object: &Object, key: &str| -> Result<SocketAddr, String> {
            object.text(key)?.parse().map_err(|_| object.invalid(key, "an address such as 10.0.0.4:9000"))
        };
        let relay = Object::new("configuration: distributor", object.required("distributor")?)?;
        let limits = Object::new("configuration: limits", object.required("limits")?)?;
        let memory_mb = match limits.get("memory_mb") {
            Some(_) => limits.number("memory_mb", MEMORY_LIMIT_RANGE.1)?,
            None => DEFAULT_MEMORY_LIMIT,
        };
        let seed = object.text("seed")?;
        let seed =
            u64::from_str_radix(seed, 16).map_err(|_| object.invalid("seed", "up to 16 hex digits"))?;
        let mut names = InstanceNames::default();
        let mut settings = instance::parse_settings(object.required("settings")?, &mut names)
            .map_err(|cause| format!("configuration: settings: {cause}"))?;
        // The setting describes a simulator. The platform's discovery only answers requests: when the list counted as
        // pushed, it was never requested and drains went unnoticed.
        settings.list_on_request = true;
        let mut warnings = Vec::new();
        let known = object.get("known").filter(|known| !known.is_null());
        let known_roster = known.and_then(|known| match discovery::parse_value(known, &mut names) {
            Ok(roster) => {
                warnings.extend(roster.malformed.iter().map(|(_, cause)| format!("known: {cause}")));
                Some(roster)
            }
            Err(cause) => {
                warnings.push(format!("known: {cause}"));
                None
            }
        });
        Ok(Config {
            name: object.text("name")?.to_owned(),
            listen: address(&object, "listen")?,
            discovery: address(&object, "discovery")?,
            relay: address(&relay, "address")?,
            seed,
            socket_limit: limits.integer("sockets", SOCKET_LIMIT_RANGE.1)?.max(SOCKET_LIMIT_RANGE.0) as usize,
            memory_limit: (memory_mb.max(MEMORY_LIMIT_RANGE.0) * BYTES_PER_MIB) as usize,
            settings,
            names,
            known_roster,
            warnings,
        })
    }
}
