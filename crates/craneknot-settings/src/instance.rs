//! Parser for the settings that a controller instance receives at its start. The first message of the simulator and
//! the platform's configuration share this format.

use craneknot::interface::*;
use serde_json::Value;

use crate::coordinator::Names;

/// The zones, kinds, classes and report values of one instance, by the names used on the wire.
#[derive(Default)]
pub struct InstanceNames {
    names: Names,
    reports: Vec<String>,
}

impl InstanceNames {
    /// The id of a zone; an unknown name is added with the next id.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        self.names.zone(name)
    }

    /// The id of a kind; an unknown name is added with the next id.
    pub fn kind(&mut self, name: &str) -> KindId {
        self.names.kind(name)
    }

    /// The id of a class; none for an unknown name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.names.class(name).and_then(|index| u8::try_from(index).ok()).map(ClassId)
    }

    /// The names of the classes in a set.
    pub fn class_names(&self, set: ClassSet) -> impl Iterator<Item = &str> {
        let all = self.names.classes.iter().enumerate();
        all.filter(move |(index, _)| set.has(ClassId(*index as u8))).map(|(_, name)| name.as_str())
    }

    /// Builds a load report; `read` returns the value at an index of the report, given the index and the name that the
    /// settings list there.
    pub fn report(&self, read: impl Fn(usize, &str) -> Option<f64>) -> LoadReport {
        let value = |name: &str| {
            let index = self.reports.iter().position(|known| known == name)?;
            read(index, name)
        };
        LoadReport {
            busy: value("busy"),
            in_flight: value("rif"),
            service_time: value("lat_ms").map(|ms| Nanos::from_secs(ms / 1e3)),
        }
    }

    /// The id of a zone listed in the settings; none for any other name.
    pub fn known_zone(&self, name: &str) -> Option<ZoneId> {
        let index = self.names.zones.iter().position(|known| known == name)?;
        u16::try_from(index).ok().map(ZoneId)
    }
}

/// Parses the settings of an instance. A missing setting is an error; it gets no default.
pub fn parse_settings(config: &Value, names: &mut InstanceNames) -> Result<Settings, String> {
    let at = |path: &str| -> Result<&Value, String> {
        let found = path.split('.').try_fold(config, |value, key| value.get(key));
        found.ok_or_else(|| format!("setting {path} is missing"))
    };
    let number = |path: &str| at(path)?.as_f64().ok_or_else(|| format!("setting {path} must be a number"));
    let time = |path: &str| number(path).map(Nanos::from_secs);
    let text = |path: &str| at(path)?.as_str().ok_or_else(|| format!("setting {path} must be text"));
    let list = |path: &str| at(path)?.as_array().ok_or_else(|| format!("setting {path} must be a list"));
    let strings = |value: &Value| -> Vec<String> {
        let items = value.as_array().into_iter().flatten();
        items.filter_map(Value::as_str).map(str::to_owned).collect()
    };

    names.names.zones = strings(at("localities")?);
    names.names.kinds = strings(at("kinds")?);
    names.reports = at("reporting.names").map(&strings).unwrap_or_default();
    let home_only = list("extra.home-only")?;
    let profiles = list("profiles")?;
    if profiles.len() > 32 {
        return Err("more than 32 classes".into());
    }
    let mut classes = Vec::new();
    for (index, profile) in profiles.iter().enumerate() {
        let missing = |key: &str| format!("setting profiles[{index}].{key} is missing or malformed");
        let number = |key: &str| profile.get(key).and_then(Value::as_f64).ok_or_else(|| missing(key));
        let text = |key: &str| profile.get(key).and_then(Value::as_str).ok_or_else(|| missing(key));
        let only = |key: &str| profile.get(key).map(strings).unwrap_or_default();
        names.names.classes.push(text("name")?.to_owned());
        classes.push(ClassSettings {
            latency_goal: Nanos::from_secs(number("aim")?),
            deadline: Nanos::from_secs(number("deadline")?),
            importance: number("worth")?,
            repeats: match text("semantics")? {
                "free" => Repeats::Safe,
                "guarded" => Repeats::Guarded,
                "single_shot" => Repeats::Never,
                other => return Err(format!("profiles[{index}].semantics: unknown {other}")),
            },
            only_zones: only("only-zones").iter().map(|zone| names.zone(zone)).collect(),
            only_kinds: only("only-kinds").iter().map(|kind| names.kind(kind)).collect(),
            home_only: home_only.get(index).and_then(Value::as_bool).unwrap_or(false),
        });
    }
    Ok(Settings {
        classes,
        controllers: number("balancers")? as u32,
        proxies: number("extra.data-plane-size")? as u32,
        list_on_request: match text("registry-mode")? {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("setting registry-mode: unknown {other}")),
        },
        list_known_within: time("rules.ask-within").unwrap_or(Nanos(u64::MAX)),
        drain_grace: time("rules.stop-sending-within")?,
        cold_share: number("rules.cold-share")?,
        warm_after: time("rules.ramp-time")?,
        overload_multiple: number("rules.fall-multiple")?,
        overload_window: time("rules.fall")?,
        no_line_limit: time("extra.bare")?,
        level_unit: match text("extra.admission")? {
            "ratio" => LevelUnit::Share,
            "rps" => LevelUnit::Rate,
            "none" => LevelUnit::Ignored,
            other => return Err(format!("setting extra.admission: unknown {other}")),
        },
        channel_lines_per_second: number("extra.egress-per-s")?,
        channel_lines_limit: number("extra.queue-cap")?,
        lines_per_message: number("extra.envelope")?,
        message_limit: number("extra.update-cap")? as u32,
        message_span: time("extra.reload-span")?,
        report_period: time("extra.interval")?,
        probes: at("caps.probing")?.as_bool().ok_or("setting caps.probing must be true or false")?,
        slices: number("extra.slices")? as u32,
    })
}
