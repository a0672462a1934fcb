//! Hosts isolated controllers on the simulator's wire: JSON lines in, JSON lines out.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use craneknot::interface::Nanos;
use craneknot::Controller;
use serde_json::{json, Value};

use craneknot_settings::instance::{self, InstanceNames as Names};
use wire::{Fault, Fields, Sheets};

/// One instance: its controller and the names it has met.
struct Instance {
    controller: Controller,
    names: Names,
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("craneknot-wirehost: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Fault> {
    panic::set_hook(Box::new(|info| eprintln!("craneknot-wirehost: decision failed: {info}")));
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let mut sheets = Sheets::default();
    let mut batch: Option<(Nanos, Value)> = None;
    let mut waiting: Vec<(String, Vec<craneknot::interface::Event>)> = Vec::new();
    let mut text = Vec::new();
    for number in 1.. {
        text.clear();
        let read = input.read_until(b'\n', &mut text).map_err(|e| Fault::at(number, e.to_string()))?;
        if read == 0 {
            return match batch {
                None => Ok(()),
                Some(_) => Err(Fault::at(number, "input ends inside a batch".into())),
            };
        }
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let message: Value =
            serde_json::from_slice(&text).map_err(|e| Fault::at(number, format!("not a JSON value: {e}")))?;
        let fields = Fields::new(&message).map_err(|what| Fault::at(number, what))?;
        match (fields.name, &batch) {
            ("TICK", None) => {
                let now = fields.time(1).map_err(|what| Fault::at(number, what))?;
                let round = fields.raw(2).map_err(|what| Fault::at(number, what))?.clone();
                batch = Some((now, round));
            }
            ("TICK", Some(_)) => return Err(Fault::at(number, "TICK inside a batch".into())),
            (name, None) => return Err(Fault::at(number, format!("{name} outside a batch"))),
            ("YOUR_TURN", Some((now, round))) => {
                for (name, events) in waiting.drain(..) {
                    answer(&mut instances, &name, *now, &events, &mut output)
                        .map_err(|e| Fault::at(number, e.to_string()))?;
                }
                writeln!(output, "{}", json!(["OK", round]))
                    .and_then(|()| output.flush())
                    .map_err(|e| Fault::at(number, e.to_string()))?;
                batch = None;
            }
            ("SNAPSHOT_ROWS", Some(_)) => sheets.set(&fields).map_err(|what| Fault::at(number, what))?,
            (name, Some((now, _))) if wire::known(name) => {
                let instance = fields.text(1).map_err(|what| Fault::at(number, what))?;
                match name {
                    "SPAWN" => {
                        let born = spawn(&fields, *now).map_err(|what| Fault::at(number, what))?;
                        instances.insert(instance.to_owned(), born);
                        waiting.retain(|(name, _)| name != instance);
                    }
                    "DESTROY" => {
                        instances.remove(instance);
                        waiting.retain(|(name, _)| name != instance);
                    }
                    _ => {
                        let Some(known) = instances.get_mut(instance) else { continue };
                        let event = wire::event(&fields, &mut known.names, &sheets)
                            .map_err(|what| Fault::at(number, what))?;
                        match waiting.iter_mut().find(|(name, _)| name == instance) {
                            Some((_, events)) => events.extend(event),
                            None => waiting.push((instance.to_owned(), event.into_iter().collect())),
                        }
                    }
                }
            }
            // An event of a later wire.
            (_, Some(_)) => {}
        }
    }
    Ok(())
}

fn spawn(fields: &Fields, now: Nanos) -> Result<Instance, String> {
    let seed = fields.seed(2)?;
    let mut names = Names::default();
    let settings =
        instance::parse_settings(fields.raw(3)?, &mut names).map_err(|what| format!("SPAWN: {what}"))?;
    Ok(Instance { controller: Controller::new(settings, seed, now), names })
}

/// Lets one instance decide and writes its orders; a decision that fails is reported as its own.
fn answer(
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
