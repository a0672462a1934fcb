//! Calls to the relay: orders are sent as a form and answered in XML.

use craneknot::interface::*;
use craneknot_settings::instance::InstanceNames;
use quick_xml::events::Event as Xml;
use quick_xml::Reader;

/// The path of a call.
pub const PATH: &str = "/api/";
/// The content type of a call's body.
pub const CONTENT_TYPE: &str = "application/x-www-form-urlencoded";
/// Maximum number of bytes of orders in one call.
pub const MAX_CALL_BYTES: usize = 60_000;

/// Encodes an order for the relay; `None` for orders that are not addressed to proxies.
pub fn encode_order(order: &Order, names: &InstanceNames) -> Option<String> {
    let classes = |set: ClassSet| names.class_names(set).collect::<Vec<&str>>().join("+");
    match order {
        Order::Line { table, server, weight } => Some(format!("share,{},{},{weight}", table.0, server.0)),
        Order::Bind { proxy, classes: set, table } => {
            Some(format!("bind,{},{},{}", proxy.0, table.0, classes(*set)))
        }
        Order::Level { table, classes: set, level, retries } => {
            let retry_mode = match retries {
                Retries::Never => 0,
                Retries::IfNotExecuted => 1,
                Retries::Once => 2,
                Retries::Twice => 3,
            };
            Some(format!("admit,{},{},{level},{retry_mode}", table.0, classes(*set)))
        }
        Order::Mark { mark } => Some(encode_mark(*mark)),
        Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => None,
    }
}

/// Encodes a mark for the proxies that the other orders of a call concern.
pub fn encode_mark(mark: u16) -> String {
    format!("mark,{mark},0")
}

/// The key of what an order sets: a later order with the same key fully replaces it.
pub fn coalescing_key(order: &Order) -> Option<String> {
    match order {
        Order::Line { table, server, .. } => Some(format!("share,{},{}", table.0, server.0)),
        Order::Bind { proxy, classes, .. } => Some(format!("bind,{},{}", proxy.0, classes.0)),
        Order::Level { table, classes, .. } => Some(format!("admit,{},{}", table.0, classes.0)),
        // Every mark is acknowledged, so none replaces another.
        Order::Mark { .. } | Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => None,
    }
}

/// The form body of a call with these encoded orders.
pub fn call_body(orders: &[&str]) -> String {
    let mut form = form_urlencoded::Serializer::new(String::new());
    form.append_pair("Action", "ApplyOrders").append_pair("ops", &orders.join(";"));
    form.finish()
}

/// The relay's answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The number of orders that were accepted, counted from the first.
    Accepted(usize),
    /// The call was rejected as a whole.
    Rejected(Rejection),
}

/// Why the relay rejected a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The relay accepts no calls yet, or has received too many.
    Throttled,
    /// The call was not carried out, for a reason that does not lie in the call.
    Transient,
    /// The relay does not recognise the call.
    Invalid,
}

/// Parses the answer to a call with this number of orders; an answer that counts more is rejected.
pub fn parse_answer(body: &[u8], orders: usize) -> Result<Answer, String> {
    let mut reader = Reader::from_reader(body);
    let (mut open_elements, mut accepted, mut rejection) = (Vec::new(), None, None);
    loop {
        match reader.read_event().map_err(|cause| format!("answer: not XML: {cause}"))? {
            Xml::Start(start) => open_elements.push(start.name().as_ref().to_vec()),
            Xml::End(_) => {
                open_elements.pop();
            }
            Xml::Text(text) => {
                let text = std::str::from_utf8(&text).map_err(|_| "answer: not UTF-8")?.trim();
                if open_elements.last().is_some_and(|name| name == b"ok_count") {
                    accepted =
                        Some(text.parse::<usize>().map_err(|_| format!("answer: ok_count is {text:?}"))?);
                }
                rejection = rejection.or(match text {
                    "throttled" => Some(Rejection::Throttled),
                    "conflict" | "internal" => Some(Rejection::Transient),
                    "invalid" => Some(Rejection::Invalid),
                    _ => None,
                });
            }
            Xml::Eof => break,
            Xml::Empty(_) | Xml::Decl(_) | Xml::PI(_) | Xml::DocType(_) | Xml::Comment(_) => {}
            Xml::CData(_) | Xml::GeneralRef(_) => {}
        }
    }
    match (accepted, rejection) {
        (Some(accepted), _) if accepted <= orders => Ok(Answer::Accepted(accepted)),
        (Some(accepted), _) => Err(format!("answer: {accepted} orders accepted of {orders}")),
        (None, Some(rejection)) => Ok(Answer::Rejected(rejection)),
        (None, None) => Err("answer: neither ok_count nor a known error code".into()),
    }
}
