//! Parses orders of the relay's text form into those of the workload.

use super::deployment::CLASSES;
use crate::workload::Order;

/// Parses one order; returns `None` if the text is not a valid order.
pub fn parse_order(text: &str) -> Option<Order> {
    let fields: Vec<&str> = text.split(',').collect();
    match fields[..] {
        ["share", table, server, weight] => Some(Order::SetLine {
            table: table.parse().ok()?,
            server: server.to_owned(),
            weight: parse_amount(weight)?,
        }),
        ["clear", table] => Some(Order::ClearTable { table: table.parse().ok()? }),
        ["bind", proxy, table, classes] => Some(Order::Bind {
            proxy: proxy.parse().ok()?,
            table: table.parse().ok()?,
            classes: parse_classes(classes)?,
        }),
        ["withdraw", server] => Some(Order::Withdraw { server: server.to_owned() }),
        ["restore", server] => Some(Order::Restore { server: server.to_owned() }),
        ["admit", table, classes, level, retry] => Some(Order::Admit {
            table: parse_table(table)?,
            classes: parse_classes(classes)?,
            level: parse_amount(level)?,
            retry: retry.parse().ok().filter(|retry| *retry <= 3)?,
        }),
        ["mark", mark, all] => Some(Order::Mark { mark: mark.parse().ok()?, all: parse_flag(all)? }),
        _ => None,
    }
}

fn parse_amount(text: &str) -> Option<f64> {
    text.parse().ok().filter(|amount: &f64| amount.is_finite() && *amount >= 0.0)
}

/// Parses the number of a table; `*` means all tables.
fn parse_table(text: &str) -> Option<Option<u16>> {
    if text == "*" {
        return Some(None);
    }
    text.parse().ok().map(Some)
}

/// Parses names of classes into indices; `*` means all classes, which the workload expects as an empty list.
fn parse_classes(text: &str) -> Option<Vec<usize>> {
    if text == "*" {
        return Some(Vec::new());
    }
    text.split('+').map(|name| CLASSES.iter().position(|class| *class == name)).collect()
}

fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}
