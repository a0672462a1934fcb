//! Calls to the relay: orders as a form, answered in XML.

use craneknot::interface::*;
use craneknot_settings::given::GivenNames;
use quick_xml::events::Event as Xml;
use quick_xml::Reader;

pub const PATH: &str = "/api/";
pub const CONTENT_TYPE: &str = "application/x-www-form-urlencoded";
/// Bytes of orders that one call carries.
pub const MAX_CALL_BYTES: usize = 60_000;

/// One order in the relay's words; nothing for what is no order to proxies.
pub fn encode_order(order: &Order, names: &GivenNames) -> Option<String> {
    let classes = |set: ClassSet| names.classes_in(set).collect::<Vec<&str>>().join("+");
    match order {
        Order::Line { table, server, weight } => Some(format!("share,{},{},{weight}", table.0, server.0)),
        Order::Bind { proxy, classes: set, table } => {
            Some(format!("bind,{},{},{}", proxy.0, table.0, classes(*set)))
        }
        Order::Level { table, classes: set, level, tries } => {
            let how = match tries {
                FurtherTries::Never => 0,
                FurtherTries::Unrun => 1,
                FurtherTries::Once => 2,
                FurtherTries::Twice => 3,
            };
            Some(format!("admit,{},{},{level},{how}", table.0, classes(*set)))
        }
        Order::Mark { mark } => Some(format!("mark,{mark},0")),
        Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => None,
    }
}

/// What an order sets, where a later one that sets the same leaves nothing of it.
pub fn coalescing_key(order: &Order) -> Option<String> {
    match order {
        Order::Line { table, server, .. } => Some(format!("share,{},{}", table.0, server.0)),
        Order::Bind { proxy, classes, .. } => Some(format!("bind,{},{}", proxy.0, classes.0)),
        Order::Level { table, classes, .. } => Some(format!("admit,{},{}", table.0, classes.0)),
        // Each mark is answered.
        Order::Mark { .. } | Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => None,
    }
}

/// The body of a call that carries these orders.
pub fn call_body(orders: &[&str]) -> String {
    let mut form = form_urlencoded::Serializer::new(String::new());
    form.append_pair("Action", "ApplyOrders").append_pair("ops", &orders.join(";"));
    form.finish()
}

/// What the relay says to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// So many orders were taken, counting from the first.
    Accepted(usize),
    /// Turned away as a whole.
    Rejected(Rejection),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It takes no calls yet, or too many have come.
    Throttled,
    /// It has not been carried out, by no fault of the call's.
    Transient,
    /// It was no call that the relay knows.
    Invalid,
}

/// Reads the answer to a call of so many orders; an answer that counts more is not believed.
pub fn parse_answer(body: &[u8], orders: usize) -> Result<Answer, String> {
    let mut reader = Reader::from_reader(body);
    let (mut within, mut taken, mut refusal) = (Vec::new(), None, None);
    loop {
        match reader.read_event().map_err(|cause| format!("answer: not XML: {cause}"))? {
            Xml::Start(start) => within.push(start.name().as_ref().to_vec()),
            Xml::End(_) => {
                within.pop();
            }
            Xml::Text(text) => {
                let text = std::str::from_utf8(&text).map_err(|_| "answer: not UTF-8")?.trim();
                if within.last().is_some_and(|name| name == b"ok_count") {
                    taken = Some(text.parse::<usize>().map_err(|_| format!("answer: ok_count is {text:?}"))?);
                }
                refusal = refusal.or(match text {
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
    match (taken, refusal) {
        (Some(taken), _) if taken <= orders => Ok(Answer::Accepted(taken)),
        (Some(taken), _) => Err(format!("answer: {taken} orders taken of {orders}")),
        (None, Some(refusal)) => Ok(Answer::Rejected(refusal)),
        (None, None) => Err("answer: neither a count nor an error".into()),
    }
}
