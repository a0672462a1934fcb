//! Corrupt responses and files are rejected with a cause, without a panic, and the current resources stay.

use craneknot_agent::proxy_resources::{ProxyResources, Verdict};
use craneknot_xds::convert::{self, Admission, Line};
use craneknot_xds::discovery::{file_text, read_file, DiscoveryResponse, Kind};
use craneknot_xds::resources::HealthStatus;
use quickcheck::QuickCheck;

fn resource(kind: Kind) -> String {
    let line = |server| Line { server, zone: "north", weight: 1.0, health: HealthStatus::Healthy };
    let lines = [line("127.0.0.1:9001"), line("127.0.0.1:9002")];
    let all = Admission::unlimited(craneknot::interface::LevelUnit::Ignored);
    match kind {
        Kind::Endpoints => serde_json::to_string(&convert::table("t", &lines)),
        Kind::Routes => serde_json::to_string(&convert::routes("t", [("read", all)].into_iter())),
        Kind::Clusters => serde_json::to_string(&convert::cluster("read", "t", "RANDOM")),
    }
    .unwrap()
}

fn response(kind: Kind) -> Vec<u8> {
    let (url, resource) = (kind.type_url(), resource(kind));
    format!(r#"{{"version_info":"a-1/7","type_url":"{url}","nonce":"1","resources":[{resource}]}}"#)
        .into_bytes()
}

fn changed(mut text: Vec<u8>, changes: &[(u16, u8)]) -> Vec<u8> {
    let length = text.len();
    changes.iter().for_each(|(at, byte)| text[usize::from(*at) % length] = *byte);
    text
}

#[test]
fn changed_responses_are_accepted_whole_or_rejected_with_a_cause() {
    fn keeps_resources(kind: u8, changes: Vec<(u16, u8)>) -> bool {
        let kind = Kind::ALL[usize::from(kind) % 3];
        let mut resources = ProxyResources::default();
        for kind in [Kind::Endpoints, Kind::Clusters] {
            let whole: DiscoveryResponse = serde_json::from_slice(&response(kind)).unwrap();
            let Ok(Verdict::Swap(staged)) = resources.evaluate(kind, &whole) else { return false };
            resources.commit(staged);
        }
        let before = resources.lines("read");
        let text = changed(response(kind), &changes);
        let Ok(read) = serde_json::from_slice::<DiscoveryResponse>(&text) else { return true };
        let verdict = resources.evaluate(kind, &read);
        let has_cause =
            verdict.as_ref().err().is_none_or(|status| !status.message.is_empty() && status.code != 0);
        // Evaluating a response alone changes nothing.
        has_cause && resources.lines("read") == before
    }
    QuickCheck::new().tests(3_000).quickcheck(keeps_resources as fn(u8, Vec<(u16, u8)>) -> bool);
}

#[test]
fn changed_files_are_never_accepted() {
    fn is_rejected(kind: u8, at: u16, byte: u8) -> bool {
        let kind = Kind::ALL[usize::from(kind) % 3];
        let resource = resource(kind);
        let text = file_text(kind, "a-1", 7, &[&resource]).into_bytes();
        let from = text.windows(11).position(|part| part == b"\"resources\"").unwrap();
        let to = text.windows(resource.len()).position(|part| part == resource.as_bytes()).unwrap()
            + resource.len();
        let index = from + 14 + usize::from(at) % (to - from - 14);
        let corrupt = changed(text.clone(), &[(index as u16, byte)]);
        let is_blank = |text: &[u8]| text[index].is_ascii_whitespace();
        corrupt == text || is_blank(&corrupt) && is_blank(&text) || read_file(kind, &corrupt).is_err()
    }
    QuickCheck::new().tests(3_000).quickcheck(is_rejected as fn(u8, u16, u8) -> bool);
}
