//! Runs the model, computes and explains weights from its ledgers, and makes a recording of them, all by the commands of
//! the program.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

fn run_craneknot(folder: &Path, arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_craneknot");
    Command::new(program).current_dir(folder).args(["--level", "error"]).args(arguments).output().unwrap()
}

fn all_output(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Writes the built-in script with equal listed weights, while half of the servers have twice the cores.
fn write_script(folder: &Path) {
    let mut script = craneknot_rehearsal::Script::built_in().unwrap();
    script.troubles.clear();
    script.weights = craneknot_rehearsal::script::Weights::Equal;
    script.servers[1].cores *= 2;
    script.servers[1].kind = "large".to_owned();
    fs::write(folder.join("day.json"), serde_json::to_vec(&script).unwrap()).unwrap();
}

#[test]
fn a_ledger_yields_weights_explanations_and_a_recording() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path();
    write_script(folder);
    let run = run_craneknot(
        folder,
        &["model", "run", "day.json", "--least", "1", "--most", "1", "--ledgers", "kept"],
    );
    assert!(run.status.success(), "{}", all_output(&run));
    let ledger = "kept/coordinator-0.ledger.gz";
    let weights = run_craneknot(folder, &["solve", ledger, "--json"]);
    assert!(weights.status.success(), "{}", all_output(&weights));
    let solution: serde_json::Value = serde_json::from_slice(&weights.stdout).unwrap();
    let mean = |kind: &str| {
        let servers = solution["servers"].as_array().unwrap().iter();
        let capacities: Vec<f64> = servers
            .filter(|server| server["kind"] == kind)
            .map(|server| server["capacity"].as_f64().unwrap())
            .collect();
        capacities.iter().sum::<f64>() / capacities.len() as f64
    };
    let ratio = mean("large") / mean("two-core");
    assert!((1.4..2.8).contains(&ratio), "{ratio}: {solution}");
    let explanation = run_craneknot(folder, &["solve", ledger, "--explain"]);
    assert!(
        all_output(&explanation).contains("carries") && all_output(&explanation).contains("cost a second"),
        "{}",
        all_output(&explanation)
    );
    let invalid = run_craneknot(folder, &["solve", ledger, "--explain", "--crossing-of", "east:nowhere=1"]);
    assert_eq!(invalid.status.code(), Some(3), "{}", all_output(&invalid));
    assert!(all_output(&invalid).contains("nowhere"));

    let arguments =
        ["model", "feed", ledger, "kept/coordinator-1.ledger.gz", "--script", "day.json", "--out", "day.gz"];
    let fed = run_craneknot(folder, &arguments);
    assert!(fed.status.success() && all_output(&fed).contains("operations in"), "{}", all_output(&fed));
    let replayed =
        run_craneknot(folder, &["model", "run", "--replay", "day.gz", "--least", "1", "--most", "1"]);
    assert!(all_output(&replayed).contains("forecast of one run"), "{}", all_output(&replayed));
}

#[test]
fn a_file_that_is_no_ledger_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("nothing.gz"), b"[]").unwrap();
    let solved = run_craneknot(folder.path(), &["solve", "nothing.gz"]);
    assert_eq!(solved.status.code(), Some(3));
    assert!(
        all_output(&solved).contains("nothing.gz") && all_output(&solved).contains("ledger"),
        "{}",
        all_output(&solved)
    );
    assert_eq!(run_craneknot(folder.path(), &["solve"]).status.code(), Some(3));
}
