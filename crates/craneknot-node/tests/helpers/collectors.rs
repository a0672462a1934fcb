//! The model's collectors: they pass the reports of proxies and servers to a coordinator. Servers have spare
//! capacity.

use bytes::BytesMut;
use craneknot_node::clients::ClientId;
use craneknot_node::coordinator::Coordinator;
use serde_json::json;

use super::ms;
use super::platform::{Platform, CLASSES, REPORT_INTERVAL};

const RATE: usize = 10; // operations a second at each proxy, of each class

impl Platform {
    /// Sends the reports of the zones' collectors.
    pub(super) fn report(&mut self, slot_index: usize, coordinator: &mut Coordinator) {
        if self.now < self.slots[slot_index].reports_at {
            return;
        }
        self.slots[slot_index].reports_at = self.now + REPORT_INTERVAL;
        let mut lines = String::new();
        for number in &self.slots[slot_index].joined {
            for class in CLASSES {
                let line = json!({"type": "client_stats", "node": number, "route": class, "total": RATE,
                                  "errors": 0, "interval": REPORT_INTERVAL});
                lines.push_str(&format!("{line}\n"));
            }
        }
        let serving = || self.servers.iter().filter(|(_, server)| server.phase == "SERVING");
        let tries =
            self.proxies.iter().filter(|proxy| proxy.joined_to.is_some()).count() * CLASSES.len() * RATE;
        let each = tries / serving().count().max(1);
        for (id, server) in serving() {
            let line = json!({"type": "upstream_stats", "locality": server.zone, "endpoint": id, "total": each,
                              "errors": 0, "rtt": 40.0, "interval": REPORT_INTERVAL,
                              "metrics": {"inflight": 3, "util": 0.5}});
            lines.push_str(&format!("{line}\n"));
        }
        coordinator.client_input(ms(self.now), ClientId(1), &mut BytesMut::from(lines.as_str()));
    }
}
