//! What a coordinator is told at its start, and again whenever its configuration is replaced.

use std::net::SocketAddr;

use craneknot::interface::Settings;
use craneknot_settings::given::{self, GivenNames};
use serde_json::Value;

use crate::discovery::{self, Roster};
use crate::fields::Object;

/// The least and most of what the platform may limit a coordinator to.
const SOCKETS: (u64, u64) = (16, 1 << 20);

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where the relay listens.
    pub relay: SocketAddr,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub socket_limit: usize,
    pub settings: Settings,
    pub names: GivenNames,
    /// The list as this coordinator last had it; it may be old.
    pub known_roster: Option<Roster>,
    /// What of it can't be read, and is done without: discovery tells the list anyway.
    pub warnings: Vec<String>,
}

impl Config {
    pub fn parse(text: &[u8]) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(text).map_err(|cause| format!("not JSON: {cause}"))?;
        let object = Object::new("configuration", &value)?;
        let address = |object: &Object, key: &str| -> Result<SocketAddr, String> {
            object.text(key)?.parse().map_err(|_| object.wrong(key, "an address such as 10.0.0.4:9000"))
        };
        let relay = Object::new("configuration: distributor", object.need("distributor")?)?;
        let limits = Object::new("configuration: limits", object.need("limits")?)?;
        let seed = object.text("seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| object.wrong("seed", "up to 16 hex digits"))?;
        let mut names = GivenNames::default();
        let mut settings = given::settings(object.need("settings")?, &mut names)
            .map_err(|what| format!("configuration: settings: {what}"))?;
        // Whatever the settings say of a simulator's list, here discovery tells only who asks: where the list counted
        // as pushed nobody asked, and drains were never heard of.
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
            socket_limit: limits.whole("sockets", SOCKETS.1)?.max(SOCKETS.0) as usize,
            settings,
            names,
            known_roster,
            warnings,
        })
    }
}
