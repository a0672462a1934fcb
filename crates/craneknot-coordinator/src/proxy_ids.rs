//! Proxies' names to the numbers by which the decisions know them.

use std::collections::{HashMap, VecDeque};

use craneknot::interface::ProxyId;

/// Numbers are given in order of first sight and kept; once all are given, that of the proxy that has been gone
/// longest goes to the next newcomer.
#[derive(Default)]
pub struct ProxyIds {
    numbers: HashMap<String, ProxyId>,
    names: Vec<String>,
    gone: VecDeque<ProxyId>,
}

const NUMBERS: usize = 1 << 16; // proxies that the decisions can tell apart

impl ProxyIds {
    /// The number of a proxy that joins; nothing where all numbers are in use.
    pub fn join(&mut self, name: &str) -> Option<ProxyId> {
        if let Some(id) = self.numbers.get(name) {
            self.gone.retain(|gone| gone != id);
            return Some(*id);
        }
        let id = match u16::try_from(self.names.len()) {
            Ok(number) if self.names.len() < NUMBERS => {
                self.names.push(name.to_owned());
                ProxyId(number)
            }
            Ok(_) | Err(_) => {
                let id = self.gone.pop_front()?;
                let old = std::mem::replace(&mut self.names[usize::from(id.0)], name.to_owned());
                self.numbers.remove(&old);
                id
            }
        };
        self.numbers.insert(name.to_owned(), id);
        Some(id)
    }

    pub fn leave(&mut self, id: ProxyId) {
        if !self.gone.contains(&id) {
            self.gone.push_back(id);
        }
    }

    pub fn find(&self, name: &str) -> Option<ProxyId> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, id: ProxyId) -> &str {
        self.names.get(usize::from(id.0)).map_or("", String::as_str)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_keeps_its_number_until_numbers_run_out() {
        let mut ids = ProxyIds::default();
        for number in 0..NUMBERS {
            assert_eq!(ids.join(&format!("proxy-{number}")), Some(ProxyId(number as u16)));
        }
        assert_eq!(ids.join("one-more"), None);
        ids.leave(ProxyId(7));
        ids.leave(ProxyId(3));
        assert_eq!(ids.join("proxy-7"), Some(ProxyId(7)));
        assert_eq!(ids.join("one-more"), Some(ProxyId(3)));
        assert_eq!((ids.find("proxy-3"), ids.name(ProxyId(3))), (None, "one-more"));
    }
}
