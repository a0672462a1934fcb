//! Hosts isolated controllers for the simulator: it reads events as JSON lines and writes actions as JSON
//! lines.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use craneknot::interface::Nanos;
use craneknot::Controller;
use serde_json::{json, Value};

use craneknot_settings::instance::{self, InstanceNames as Names};
use wire::{Fields, InputError, ServerLists};

/// One hosted controller, with the names of zones, kinds and classes that its messages have used.
struct Instance {
    controller: Controller,
    names: Names,
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("craneknot-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), InputError> {
    panic::set_hook(Box::new(|info| eprintln!("craneknot-wirehost: decision failed: {info}")));
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let mut lists = ServerLists::default();
    let mut batch: Option<(Nanos, Value)> = None;
    let mut pending: Vec<(String, Vec<craneknot::interface::Event>)> = Vec::new();
    let mut text = Vec::new();
    for line in 1.. {
        text.clear();
        let length = input.read_until(b'\n', &mut text).map_err(|e| InputError::at(line, e.to_string()))?;
        if length == 0 {
            return match batch {
                None => Ok(()),
                Some(_) => Err(InputError::at(line, "input ends inside a batch".into())),
            };
        }
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let message: Value = serde_json::from_slice(&text)
            .map_err(|e| InputError::at(line, format!("not a JSON value: {e}")))?;
        let fields = Fields::new(&message).map_err(|error| InputError::at(line, error))?;
        match (fields.name, &batch) {
            ("TICK", None) => {
                let now = fields.time(1).map_err(|error| InputError::at(line, error))?;
                let tick = fields.raw(2).map_err(|error| InputError::at(line, error))?.clone();
                batch = Some((now, tick));
            }
            ("TICK", Some(_)) => return Err(InputError::at(line, "TICK inside a batch".into())),
            (name, None) => return Err(InputError::at(line, format!("{name} outside a batch"))),
            ("YOUR_TURN", Some((now, tick))) => {
                for (name, events) in pending.drain(..) {
                    run_step(&mut instances, &name, *now, &events, &mut output)
                        .map_err(|e| InputError::at(line, e.to_string()))?;
                }
                writeln!(output, "{}", json!(["OK", tick]))
                    .and_then(|()| output.flush())
                    .map_err(|e| InputError::at(line, e.to_string()))?;
                batch = None;
            }
            ("SNAPSHOT_ROWS", Some(_)) => lists.set(&fields).map_err(|error| InputError::at(line, error))?,
            (name, Some((now, _))) if wire::is_known(name) => {
                let instance = fields.text(1).map_err(|error| InputError::at(line, error))?;
                match name {
                    "SPAWN" => {
                        let spawned = spawn(&fields, *now).map_err(|error| InputError::at(line, error))?;
                        instances.insert(instance.to_owned(), spawned);
                        pending.retain(|(name, _)| name != instance);
                    }
                    "DESTROY" => {
                        instances.remove(instance);
                        pending.retain(|(name, _)| name != instance);
                    }
                    _ => {
                        let Some(target) = instances.get_mut(instance) else { continue };
                        let event = wire::event(&fields, &mut target.names, &lists)
                            .map_err(|error| InputError::at(line, error))?;
                        match pending.iter_mut().find(|(name, _)| name == instance) {
                            Some((_, events)) => events.extend(event),
                            None => pending.push((instance.to_owned(), event.into_iter().collect())),
                        }
                    }
                }
            }
            // An event of a later version of the protocol.
            (_, Some(_)) => {}
        }
    }
    Ok(())
}

fn spawn(fields: &Fields, now: Nanos) -> Result<Instance, String> {
    let seed = fields.seed(2)?;
    let mut names = Names::default();
    let settings =
        instance::parse_settings(fields.raw(3)?, &mut names).map_err(|error| format!("SPAWN: {error}"))?;
    Ok(Instance { controller: Controller::new(settings, seed, now), names })
}

/// Runs one step of an instance and writes its orders. A panic is reported as that instance's INTERNAL_ERROR,
/// and the instance is removed.
fn run_step(
    instances: &mut BTreeMap<String, Instance>,
    name: &str,
    now: Nanos,
    events: &[craneknot::interface::Event],
    output: &mut impl Write,
) -> io::Result<()> {
    let Some(instance) = instances.get_mut(name) else { return Ok(()) };
    match panic::catch_unwind(AssertUnwindSafe(|| instance.controller.step(now, events))) {
        Ok(orders) => {
            for order in &orders {
                writeln!(output, "{}", wire::action(name, order))?;
            }
        }
        Err(cause) => {
            let text = cause
                .downcast_ref::<String>()
                .map(String::as_str)
                .or_else(|| cause.downcast_ref::<&str>().copied())
                .unwrap_or("decision failed");
            writeln!(output, "{}", json!(["INTERNAL_ERROR", name, text]))?;
            instances.remove(name);
        }
    }
    Ok(())
}
