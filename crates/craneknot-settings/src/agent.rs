//! What an agent is started with.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::check::{Check, Problem};
use crate::span::Span;

/// One proxy that an agent stands beside.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The proxy's name; no two of a fleet share one.
    #[schemars(length(min = 1, max = 128))]
    pub id: String,
    pub zone: String,
    /// Operations a second that it usually gets; rough.
    #[schemars(range(min = 0.0))]
    #[serde(default = "one")]
    pub usual_rate: f64,
    /// The folder of the files that the proxy follows. Relative to the settings' folder.
    pub folder: PathBuf,
}

/// Where a coordinator listens; its name, where coordinators that share a fleet send agents to one another.
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
    pub fn address(&self) -> SocketAddr {
        match self {
            CoordinatorAddress::Plain(address) | CoordinatorAddress::Named { address, .. } => *address,
        }
    }

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

/// An agent, beside one proxy or several.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    #[schemars(length(min = 1))]
    pub nodes: Vec<NodeSettings>,
    /// In order of preference; the agent follows one at a time.
    #[schemars(length(min = 1))]
    pub coordinators: Vec<CoordinatorAddress>,
    /// Where proxies send their load reports; port 0: any free one.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Written once it listens. Relative to the settings' folder.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_file: Option<PathBuf>,
    /// The first wait before a coordinator is dialled again; it doubles up to `redial_most`.
    #[serde(default = "redial_least")]
    pub redial_least: Span,
    #[serde(default = "redial_most")]
    pub redial_most: Span,
    /// A coordinator that leaves a report unanswered for so long is held to be gone.
    #[serde(default = "silent_after")]
    pub silent_after: Span,
    /// Files are synced to the disk before their rename; false: only a machine that loses power can tell.
    #[serde(default = "yes")]
    pub sync: bool,
    /// Of its random numbers; left out: from the clock.
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
        for (k, node) in self.nodes.iter().enumerate() {
            if !ids.insert(&node.id) {
                let what = format!("{:?} is named twice", node.id);
                found.push(Problem::new(format!("/nodes/{k}/id"), what, "give each proxy a name of its own"));
            }
            if !folders.insert(&node.folder) {
                let what = format!("{:?} serves two proxies", node.folder);
                found.push(Problem::new(
                    format!("/nodes/{k}/folder"),
                    what,
                    "give each proxy a folder of its own",
                ));
            }
        }
        if self.redial_most < self.redial_least {
            let what = format!("{} is under redial_least of {}", self.redial_most, self.redial_least);
            found.push(Problem::new("/redial_most", what, "give that or more"));
        }
        for (place, span) in [("/redial_least", self.redial_least), ("/silent_after", self.silent_after)] {
            if span <= Span::millis(0) {
                found.push(Problem::new(place, "is nothing", "give a span above 0"));
            }
        }
        found
    }
}
