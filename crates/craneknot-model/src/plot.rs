//! Draws recordings and outcomes of experiments as SVG charts in one self-contained HTML page.

use std::fmt::Write;

use craneknot_rehearsal::recording::Recording;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::experiment::{numeric_value, Arm, CostFigures, Estimate, Outcome};
use crate::timeline::{Second, Timeline};

const CHART_SIZE: (u32, u32) = (960, 260); // in pixels
const BACKGROUND: RGBColor = RGBColor(255, 255, 255);
const FAULT_COLOUR: RGBColor = RGBColor(214, 120, 60);
const MAIN_COLOUR: RGBColor = RGBColor(30, 90, 160);
const OTHER_COLOURS: [RGBColor; 4] =
    [RGBColor(120, 120, 120), RGBColor(60, 150, 90), RGBColor(170, 80, 140), RGBColor(20, 20, 20)];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// An input file of a page, with its name.
pub enum Input {
    Recording(String, Box<Recording>),
    Outcome(String, Box<Outcome>),
}

fn svg(size: (u32, u32), draw: impl FnOnce(&Area) -> DrawResult) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&BACKGROUND).map_err(|cause| cause.to_string())?;
        draw(&area).map_err(|cause| cause.to_string())?;
        area.present().map_err(|cause| cause.to_string())?;
    }
    Ok(text)
}

/// Chart of a value over the seconds of a run, with the faults marked.
fn time_chart(
    timeline: &Timeline,
    title: &str,
    unit: &str,
    top: Option<f64>,
    of: impl Fn(&Second) -> f64,
) -> Result<String, String> {
    let values: Vec<(f64, f64)> =
        timeline.seconds.iter().enumerate().map(|(k, second)| (k as f64 + 0.5, of(second))).collect();
    let y_max = top.unwrap_or(values.iter().map(|value| value.1).fold(0.0, f64::max) * 1.08).max(1e-9);
    svg(CHART_SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..timeline.seconds.len() as f64, 0.0..y_max)?;
        chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("s").y_desc(unit).draw()?;
        for (_, from, to) in &timeline.troubles {
            let style = FAULT_COLOUR.mix(0.13).filled();
            chart.draw_series([Rectangle::new([(*from, 0.0), (*to, y_max)], style)])?;
        }
        for (index, (name, from, _)) in timeline.troubles.iter().enumerate() {
            // Staggers the names of faults, since some start close to each other.
            let height = y_max * (0.08 + 0.09 * (index % 4) as f64);
            let style = ("sans-serif", 11).into_font().color(&FAULT_COLOUR);
            chart.draw_series([Text::new(name.clone(), (*from, height), style)])?;
        }
        chart.draw_series(LineSeries::new(values.iter().copied(), MAIN_COLOUR.stroke_width(2)))?;
        Ok(())
    })
}

/// Heat map of good answers per second: one row per server, darker for more.
fn server_heatmap(timeline: &Timeline) -> Result<String, String> {
    let rows = timeline.servers.len();
    let peak = timeline.servers.values().flatten().copied().max().unwrap_or(1).max(1);
    let height = (rows as u32 * 9 + 80).clamp(140, 1_400);
    svg((CHART_SIZE.0, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("Good answers per second by server (darkest: {peak})"), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..timeline.seconds.len() as f64, 0.0..rows.max(1) as f64)?;
        chart.configure_mesh().disable_mesh().x_desc("s").y_desc("server").draw()?;
        for (row, counts) in timeline.servers.values().enumerate() {
            let cells = counts.iter().enumerate().filter(|(_, count)| **count > 0).map(|(second, count)| {
                let part = f64::from(*count) / f64::from(peak);
                let (x, y) = (second as f64, row as f64);
                Rectangle::new([(x, y), (x + 1.0, y + 0.92)], MAIN_COLOUR.mix(0.08 + 0.92 * part).filled())
            });
            chart.draw_series(cells)?;
        }
        Ok(())
    })
}

/// Chart of several estimates with their confidence intervals.
fn interval_chart(title: &str, all: &[(String, Estimate, bool)]) -> Result<String, String> {
    let half_width_or_zero = |estimate: &Estimate| estimate.half_width.unwrap_or(0.0);
    let low = all.iter().map(|(_, e, _)| e.mean - half_width_or_zero(e)).fold(f64::INFINITY, f64::min);
    let high = all.iter().map(|(_, e, _)| e.mean + half_width_or_zero(e)).fold(f64::NEG_INFINITY, f64::max);
    let room = ((high - low) * 0.1).max(1e-3);
    let height = all.len() as u32 * 26 + 90;
    svg((CHART_SIZE.0, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(10)
            .build_cartesian_2d(low - room..high + room, -0.6..all.len() as f64 - 0.2)?;
        chart.configure_mesh().disable_y_mesh().disable_y_axis().light_line_style(TRANSPARENT).draw()?;
        for (index, (name, estimate, is_main)) in all.iter().enumerate() {
            let y = (all.len() - 1 - index) as f64;
            let (from, to) =
                (estimate.mean - half_width_or_zero(estimate), estimate.mean + half_width_or_zero(estimate));
            let color = if *is_main { MAIN_COLOUR } else { OTHER_COLOURS[0] };
            chart.draw_series([PathElement::new(vec![(from, y), (to, y)], color.stroke_width(2))])?;
            chart.draw_series([Circle::new((estimate.mean, y), 4, color.filled())])?;
            let style = ("sans-serif", 12).into_font().color(&BLACK);
            let name = format!("{name}: {estimate}");
            chart.draw_series([Text::new(name, (low - room * 0.9, y + 0.42), style)])?;
        }
        Ok(())
    })
}

type Points = Vec<(f64, f64, f64)>;

/// Chart of estimates over the first setting of a sweep, with one curve per name.
fn sweep_chart(
    title: &str,
    arms: &[Arm],
    pick: impl Fn(&Arm) -> Vec<(String, Estimate)>,
) -> Result<String, String> {
    // By name: values of the setting, means and half-widths.
    let mut curves: Vec<(String, Points)> = Vec::new();
    for arm in arms {
        let Some(x) = arm.overrides.values().next().and_then(numeric_value) else { continue };
        for (name, estimate) in pick(arm) {
            let index = curves.iter().position(|(of, _)| *of == name).unwrap_or_else(|| {
                curves.push((name, Vec::new()));
                curves.len() - 1
            });
            curves[index].1.push((x, estimate.mean, estimate.half_width.unwrap_or(0.0)));
        }
    }
    let points = || curves.iter().flat_map(|(_, points)| points);
    let (left, right) =
        points().fold((f64::INFINITY, f64::NEG_INFINITY), |(l, r), point| (l.min(point.0), r.max(point.0)));
    let (low, high) = points().fold((f64::INFINITY, f64::NEG_INFINITY), |(l, h), point| {
        (l.min(point.1 - point.2), h.max(point.1 + point.2))
    });
    let room = ((high - low) * 0.08).max(1e-3);
    let pointer = arms.first().and_then(|arm| arm.overrides.keys().next().cloned()).unwrap_or_default();
    svg((CHART_SIZE.0, 320), |area| {
        let x_room = ((right - left) * 0.03).max(1e-6);
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(left - x_room..right + x_room, low - room..high + room)?;
        chart.configure_mesh().light_line_style(TRANSPARENT).x_desc(pointer).draw()?;
        for (index, (name, points)) in curves.iter().enumerate() {
            let color =
                if index == 0 { MAIN_COLOUR } else { OTHER_COLOURS[(index - 1) % OTHER_COLOURS.len()] };
            let line = points.iter().map(|point| (point.0, point.1));
            chart
                .draw_series(LineSeries::new(line, color.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
            for (x, y, half) in points {
                chart.draw_series([PathElement::new(vec![(*x, y - half), (*x, y + half)], color)])?;
                chart.draw_series([Circle::new((*x, *y), 3, color.filled())])?;
            }
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .position(SeriesLabelPosition::LowerLeft)
            .draw()?;
        Ok(())
    })
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The charts of a recording.
pub fn recording_charts(recording: &Recording) -> Result<Vec<String>, String> {
    let timeline = Timeline::from_recording(recording);
    Ok(vec![
        time_chart(
            &timeline,
            "Service weighted by importance, of operations requested in each second",
            "",
            Some(1.05),
            |s| s.service(),
        )?,
        time_chart(&timeline, "Operations requested", "per second", None, |s| f64::from(s.asked))?,
        time_chart(&timeline, "Rejected, failed and given up", "per second", None, |s| {
            f64::from(s.refused + s.failed)
        })?,
        server_heatmap(&timeline)?,
        time_chart(&timeline, "Servers added to or removed from proxies' tables", "per second", None, |s| {
            f64::from(s.moved)
        })?,
        time_chart(&timeline, "Longest queue of a channel", "lines", None, |s| s.queue)?,
    ])
}

/// The charts of an experiment.
pub fn outcome_charts(outcome: &Outcome) -> Result<Vec<String>, String> {
    let mut charts = Vec::new();
    let mut all = Vec::new();
    for arm in &outcome.arms {
        all.push((arm.name.clone(), arm.service, true));
        all.extend(arm.baselines.iter().map(|(name, estimate)| (format!("  {name}"), *estimate, false)));
    }
    charts.push(interval_chart("Service weighted by importance, with 95% intervals", &all)?);
    if !outcome.differences.is_empty() {
        let of =
            |d: &crate::experiment::Difference| (format!("{} minus {}", d.arm, d.reference), d.service, true);
        charts.push(interval_chart(
            "Difference with common random numbers",
            &outcome.differences.iter().map(of).collect::<Vec<_>>(),
        )?);
    }
    if let Some(forecast) = outcome.forecast {
        let mut both = vec![("forecast of one run".to_owned(), forecast.predicted, true)];
        if let Some(mean) = forecast.measured {
            both.push(("measured".to_owned(), Estimate { mean, half_width: None, runs: 1 }, false));
        }
        charts.push(interval_chart("Forecast and the recorded run", &both)?);
    }
    let swept = outcome
        .arms
        .iter()
        .filter(|arm| arm.overrides.values().next().and_then(numeric_value).is_some())
        .count();
    if swept > 1 {
        let service = |arm: &Arm| {
            let baselines = arm.baselines.iter().map(|(name, estimate)| (name.clone(), *estimate));
            std::iter::once(("ours".to_owned(), arm.service)).chain(baselines).collect()
        };
        charts.push(sweep_chart("Service", &outcome.arms, service)?);
        charts.push(sweep_chart("Lines sent per second", &outcome.arms, |arm| {
            vec![("all coordinators".to_owned(), arm.lines_per_second)]
        })?);
        // Only present if it was requested.
        let cost = |pick: fn(&CostFigures) -> (f64, f64)| {
            move |arm: &Arm| {
                let of = |part: fn((f64, f64)) -> f64| {
                    let figures = arm.singles.iter().filter_map(|single| single.cost.as_ref());
                    Estimate::of(&figures.map(|cost| part(pick(cost))).collect::<Vec<f64>>())
                };
                vec![
                    ("median".to_owned(), of(|both| both.0)),
                    ("99th percentile".to_owned(), of(|both| both.1)),
                ]
            }
        };
        if outcome.arms.iter().all(|arm| arm.singles.iter().all(|single| single.cost.is_some())) {
            charts.push(sweep_chart("Time of a coordinator's turn, us", &outcome.arms, cost(|c| c.turn_us))?);
            charts.push(sweep_chart("Age of reports at a turn, s", &outcome.arms, cost(|c| c.age_s))?);
        }
        charts.push(sweep_chart("99th percentile of latency, ms", &outcome.arms, |arm| {
            vec![("ours".to_owned(), arm.p99_ms)]
        })?);
    }
    Ok(charts)
}

/// The whole page.
pub fn page(inputs: &[Input]) -> Result<String, String> {
    let mut text = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>craneknot</title>\n<style>body{font-family:\
         sans-serif;max-width:980px;margin:2em auto}svg{display:block;margin:0.7em 0}</style></head><body>\n<p>Results are \
         of simulated servers.</p>\n",
    );
    for input in inputs {
        let (name, note, charts) = match input {
            Input::Recording(name, recording) => {
                let Recording { head, lines } = recording.as_ref();
                let note = format!(
                    "{} ({}), seed {}: service {}, {} lines, all rules kept: {}",
                    head.script.name,
                    head.source,
                    head.script.seed,
                    head.service.map_or("unknown".to_owned(), |service| format!("{service:.4}")),
                    lines.len(),
                    head.passed
                );
                (name, note, recording_charts(recording)?)
            }
            Input::Outcome(name, outcome) => {
                let broken = outcome.broken_runs().count();
                let note = format!("{} scripts, runs with a broken rule: {broken}", outcome.arms.len());
                (name, note, outcome_charts(outcome)?)
            }
        };
        let _ = write!(text, "<h2>{}</h2>\n<p>{}</p>\n", escaped(name), escaped(&note));
        charts.iter().for_each(|chart| {
            let _ = writeln!(text, "{chart}");
        });
    }
    text.push_str("</body></html>\n");
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::{run, sweep, ExperimentOptions};
    use crate::hosted::Build;
    use crate::world::{play_with_options, RunOptions};
    use craneknot_rehearsal::Script;
    use craneknot_settings::Span;

    #[test]
    fn a_page_has_all_charts_and_no_external_resources() {
        let script =
            Script { length: Span::millis(6_000), troubles: Vec::new(), ..Script::built_in().unwrap() };
        let played = play_with_options(&script, RunOptions::default());
        let recording =
            Recording::from_records("model", &script, played.begin, &played.records, &played.report);
        let options =
            ExperimentOptions { min_runs: 2, max_runs: 2, max_half_width: 1.0, baselines: true, cost: true };
        let outcome = run(&script, &Build::Own, options, |_| {});
        let axes = ["/clients/rate=50,100".parse().unwrap()];
        let swept =
            sweep(&script, &axes, ExperimentOptions { baselines: false, ..options }, |_, _| {}).unwrap();
        let inputs = [
            Input::Recording("a <b>".to_owned(), Box::new(recording)),
            Input::Outcome("one".to_owned(), Box::new(outcome)),
            Input::Outcome("swept".to_owned(), Box::new(swept)),
        ];
        let page = page(&inputs).unwrap();
        assert_eq!(page.matches("<svg").count(), 6 + 1 + 7);
        assert!(page.contains("a &lt;b&gt;") && page.contains("random over all"));
        let outside = page.matches("http").count() - page.matches("http://www.w3.org/2000/svg").count();
        assert_eq!(outside, 0);
    }
}
