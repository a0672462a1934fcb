//! The cost of calls, by the platform's protocol: a message for each proxy concerned, a line of each at every proxy
//! that uses the table, and for a binding one line plus one for each line and level of the table.

use craneknot::interface::*;
use craneknot_node::call_cost::CallCost;
use craneknot_node::relay_state::{Execution, RelayState};

const LINES_PER_MESSAGE: f64 = 3.0;
const TABLE: TableId = TableId(4);
const OTHER_TABLE: TableId = TableId(5);

fn line(server: &str, weight: f64) -> Order {
    Order::Line { table: TABLE, server: ServerId(server.into()), weight }
}

fn level(class: u8) -> Order {
    Order::Level { table: TABLE, classes: ClassSet::of(ClassId(class)), level: 1.0, retries: Retries::Never }
}

fn bind(proxy: u16, table: TableId) -> Order {
    Order::Bind { proxy: ProxyId(proxy), classes: ClassSet::of(ClassId(0)), table }
}

fn mark() -> Order {
    Order::Mark { mark: 7 }
}

/// Returns the receivers and the lines of a call, and applies it.
fn call(relay: &mut RelayState, orders: &[Order], execution: Execution) -> (Vec<u16>, f64) {
    let mut cost = CallCost::default();
    orders.iter().for_each(|order| cost.add(order, relay));
    orders.iter().for_each(|order| relay.apply(order, execution));
    (cost.receivers().map(|proxy| proxy.0).collect(), cost.lines(LINES_PER_MESSAGE))
}

#[test]
fn a_call_costs_what_the_relay_writes() {
    let (mut relay, certain) = (RelayState::default(), Execution::Certain);
    let table = [line("a", 1.0), line("b", 1.0), level(0), mark()];
    assert_eq!(call(&mut relay, &table, certain), (vec![], 0.0), "nobody uses the table");
    // For each: the message, the mark, the binding, two lines and a level.
    let bindings = [bind(1, TABLE), bind(2, TABLE), mark()];
    assert_eq!(call(&mut relay, &bindings, certain), (vec![1, 2], 2.0 * (3.0 + 1.0 + 1.0 + 3.0)));
    // A binding gets what the call has set before, and its proxy what the call sets after.
    let mixed = [line("c", 1.0), bind(3, TABLE), level(1)];
    assert_eq!(call(&mut relay, &mixed, certain), (vec![1, 2, 3], 3.0 * 3.0 + 2.0 + (1.0 + 4.0) + 3.0));
    let removal = [line("a", 0.0), line("b", 0.0)];
    assert_eq!(call(&mut relay, &removal, certain), (vec![1, 2, 3], 3.0 * (3.0 + 2.0)));
    // One line and two levels are left.
    assert_eq!(call(&mut relay, &[bind(4, TABLE)], certain), (vec![4], 3.0 + 1.0 + 3.0));
    // Who is bound elsewhere is no longer concerned.
    call(&mut relay, &[bind(1, OTHER_TABLE), bind(2, OTHER_TABLE)], certain);
    assert_eq!(call(&mut relay, &[level(0)], certain), (vec![3, 4], 2.0 * (3.0 + 1.0)));
}

#[test]
fn after_a_call_in_doubt_both_outcomes_count() {
    let mut relay = RelayState::default();
    call(&mut relay, &[line("a", 1.0), bind(1, TABLE)], Execution::Certain);
    call(&mut relay, &[line("a", 0.0), line("b", 1.0), bind(1, OTHER_TABLE)], Execution::Possible);
    assert_eq!(relay.table_size(TABLE), 2);
    assert!(relay.users(TABLE).eq([ProxyId(1)]) && relay.users(OTHER_TABLE).eq([ProxyId(1)]));
    call(&mut relay, &[line("a", 0.0), line("b", 1.0), bind(1, OTHER_TABLE)], Execution::Certain);
    assert_eq!((relay.table_size(TABLE), relay.users(TABLE).len()), (1, 0));
}
