//! Maps proxies' names to the numeric ids that the decisions use.

use std::collections::{HashMap, VecDeque};

use craneknot::interface::ProxyId;

/// Ids are assigned in order of first arrival and kept. Once all are assigned, a new proxy gets the id of the
/// proxy that left longest ago.
#[derive(Default)]
pub struct ProxyIds {
    ids_by_name: HashMap<String, ProxyId>,
    names: Vec<String>,
    released: VecDeque<ProxyId>,
}

const MAX_PROXY_IDS: usize = 1 << 16; // the range of `ProxyId`

impl ProxyIds {
    /// The id of a proxy that joins, or `None` where all ids are in use.
    pub fn acquire(&mut self, name: &str) -> Option<ProxyId> {
        if let Some(id) = self.ids_by_name.get(name) {
            self.released.retain(|released| released != id);
            return Some(*id);
        }
        let id = match u16::try_from(self.names.len()) {
            Ok(number) if self.names.len() < MAX_PROXY_IDS => {
                self.names.push(name.to_owned());
                ProxyId(number)
            }
            Ok(_) | Err(_) => {
                let id = self.released.pop_front()?;
                let old_name = std::mem::replace(&mut self.names[usize::from(id.0)], name.to_owned());
                self.ids_by_name.remove(&old_name);
                id
            }
        };
        self.ids_by_name.insert(name.to_owned(), id);
        Some(id)
    }

    pub fn release(&mut self, id: ProxyId) {
        if !self.released.contains(&id) {
            self.released.push_back(id);
        }
    }

    pub fn find(&self, name: &str) -> Option<ProxyId> {
        self.ids_by_name.get(name).copied()
    }

    pub fn name(&self, id: ProxyId) -> &str {
        self.names.get(usize::from(id.0)).map_or("", String::as_str)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_keeps_its_id_until_ids_run_out() {
        let mut ids = ProxyIds::default();
        for number in 0..MAX_PROXY_IDS {
            assert_eq!(ids.acquire(&format!("proxy-{number}")), Some(ProxyId(number as u16)));
        }
        assert_eq!(ids.acquire("one-more"), None);
        ids.release(ProxyId(7));
        ids.release(ProxyId(3));
        assert_eq!(ids.acquire("proxy-7"), Some(ProxyId(7)));
        assert_eq!(ids.acquire("one-more"), Some(ProxyId(3)));
        assert_eq!((ids.find("proxy-3"), ids.name(ProxyId(3))), (None, "one-more"));
    }
}
