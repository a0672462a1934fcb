//! From a run to its ledgers, to weights with their causes and to a recording, by the program's own commands.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

fn craneknot(folder: &Path, arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_craneknot");
    Command::new(program).current_dir(folder).args(["--level", "error"]).args(arguments).output().unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// The built-in day, listed alike: half of the servers are in truth twice as large.
fn script(folder: &Path) {
    let mut script = craneknot_rehearsal::Script::built_in().unwrap();
    script.troubles.clear();
    script.weights = craneknot_rehearsal::script::Weights::Equal;
    script.servers[1].cores *= 2;
    script.servers[1].kind = "large".to_owned();
    fs::write(folder.join("day.json"), serde_json::to_vec(&script).unwrap()).unwrap();
}

#[test]
fn a_ledger_tells_weights_why_they_are_so_and_what_was_asked_for() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path();
    script(folder);
    let run =
        craneknot(folder, &["model", "run", "day.json", "--least", "1", "--most", "1", "--ledgers", "kept"]);
    assert!(run.status.success(), "{}", text(&run));
    let ledger = "kept/coordinator-0.ledger.gz";
    let weights = craneknot(folder, &["solve", ledger, "--json"]);
    assert!(weights.status.success(), "{}", text(&weights));
    let told: serde_json::Value = serde_json::from_slice(&weights.stdout).unwrap();
    let mean = |kind: &str| {
        let servers = told["servers"].as_array().unwrap().iter();
        let found: Vec<f64> = servers
            .filter(|server| server["kind"] == kind)
            .map(|server| server["capacity"].as_f64().unwrap())
            .collect();
        found.iter().sum::<f64>() / found.len() as f64
    };
    let ratio = mean("large") / mean("two-core");
    assert!((1.4..2.8).contains(&ratio), "{ratio}: {told}");
    let why = craneknot(folder, &["solve", ledger, "--explain"]);
    assert!(text(&why).contains("carries") && text(&why).contains("cost a second"), "{}", text(&why));
    let dear = craneknot(folder, &["solve", ledger, "--explain", "--crossing-of", "east:nowhere=1"]);
    assert_eq!(dear.status.code(), Some(3), "{}", text(&dear));
    assert!(text(&dear).contains("nowhere"));

    let feed =
        ["model", "feed", ledger, "kept/coordinator-1.ledger.gz", "--script", "day.json", "--out", "day.gz"];
    let fed = craneknot(folder, &feed);
    assert!(fed.status.success() && text(&fed).contains("operations in"), "{}", text(&fed));
    let replayed = craneknot(folder, &["model", "run", "--replay", "day.gz", "--least", "1", "--most", "1"]);
    assert!(text(&replayed).contains("forecast of one run"), "{}", text(&replayed));
}

#[test]
fn what_is_no_ledger_is_said_and_never_half_taken() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("nothing.gz"), b"[]").unwrap();
    let solved = craneknot(folder.path(), &["solve", "nothing.gz"]);
    assert_eq!(solved.status.code(), Some(3));
    assert!(text(&solved).contains("nothing.gz") && text(&solved).contains("ledger"), "{}", text(&solved));
    assert_eq!(craneknot(folder.path(), &["solve"]).status.code(), Some(3));
}
