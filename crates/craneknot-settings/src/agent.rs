//! Settings of an agent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::check::{Check, Problem};
use crate::span::Span;

/// One proxy that an agent serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The proxy's name, unique within the fleet.
    #[schemars(length(min = 1, max = 128))]
    pub id: String,
    pub zone: String,
    /// Approximate usual load of the proxy, in operations per second.
    #[schemars(range(min = 0.0))]
    #[serde(default = "one")]
    pub usual_rate: f64,
    /// The folder of the files that the proxy watches. Relative to the folder of the settings file.
    pub folder: PathBuf,
}

/// The address of a coordinator. Its name is needed where coordinators share a fleet and redirect agents to one
/// another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum CoordinatorAddress {
    Plain(#[schemars(with = "String")] SocketAddr),
    Named {
        name: String,
        #[schemars(with = "String")]
        address: SocketAddr,
    },
}

impl CoordinatorAddress {
    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        match self {
            CoordinatorAddress::Plain(address) | CoordinatorAddress::Named { address, .. } => *address,
        }
    }

    /// The name, if the settings give one.
    pub fn name(&self) -> Option<&str> {
        match self {
            CoordinatorAddress::Plain(_) => None,
            CoordinatorAddress::Named { name, .. } => Some(name),
        }
    }
}

fn one() -> f64 {
    1.0
}

/// An agent, which serves one or more proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    #[schemars(length(min = 1))]
    pub nodes: Vec<NodeSettings>,
    /// In order of preference; the agent follows one at a time.
    #[schemars(length(min = 1))]
    pub coordinators: Vec<CoordinatorAddress>,
    /// The address to which proxies send their load reports; port 0: any free port.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// File written once the agent listens. Relative to the folder of the settings file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_file: Option<PathBuf>,
    /// The first delay before reconnecting to a coordinator; it doubles up to `redial_most`.
    #[serde(default = "redial_least")]
    pub redial_least: Span,
    #[serde(default = "redial_most")]
    pub redial_most: Span,
    /// A coordinator that leaves a report unanswered for this long is considered lost.
    #[serde(default = "silent_after")]
    pub silent_after: Span,
    /// Whether files are synced to disk before their rename; without it, files can be lost only if the machine loses
    /// power.
    #[serde(default = "yes")]
    pub sync: bool,
    /// Seed of the random numbers; default: from the clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

fn redial_least() -> Span {
    Span::millis(100)
}

fn redial_most() -> Span {
    Span::millis(2_000)
}

fn silent_after() -> Span {
    Span::millis(3_000)
}

fn yes() -> bool {
    true
}

impl Check for AgentSettings {
    fn check(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        let (mut ids, mut folders) = (BTreeSet::new(), BTreeSet::new());
        for (index, node) in self.nodes.iter().enumerate() {
            if !ids.insert(&node.id) {
                let message = format!("{:?} is used by two nodes", node.id);
                found.push(Problem::new(
                    format!("/nodes/{index}/id"),
                    message,
                    "give each proxy a unique name",
                ));
            }
            if !folders.insert(&node.folder) {
                let message = format!("{:?} is used by two nodes", node.folder);
                found.push(Problem::new(
                    format!("/nodes/{index}/folder"),
                    message,
                    "give each proxy its own folder",
                ));
            }
        }
        if self.redial_most < self.redial_least {
            let message = format!("{} is less than redial_least ({})", self.redial_most, self.redial_least);
            found.push(Problem::new("/redial_most", message, "give at least redial_least"));
        }
        for (pointer, span) in [("/redial_least", self.redial_least), ("/silent_after", self.silent_after)] {
            if span <= Span::millis(0) {
                found.push(Problem::new(pointer, "is zero", "give a duration above 0"));
            }
        }
        found
    }
}
