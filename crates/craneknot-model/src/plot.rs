//! One page with everything on it: SVG charts within a self-contained HTML file.

use std::fmt::Write;

use craneknot_rehearsal::recording::Recording;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::experiment::{number_of, Arm, CostFigures, Estimate, Outcome};
use crate::timeline::{Second, Timeline};

const SIZE: (u32, u32) = (960, 260); // pixels of a chart
const GROUND: RGBColor = RGBColor(255, 255, 255);
const TROUBLE: RGBColor = RGBColor(214, 120, 60);
const OURS: RGBColor = RGBColor(30, 90, 160);
const OTHERS: [RGBColor; 4] =
    [RGBColor(120, 120, 120), RGBColor(60, 150, 90), RGBColor(170, 80, 140), RGBColor(20, 20, 20)];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), Box<dyn std::error::Error>>;

/// What a page shows.
pub enum Input {
    Recording(String, Box<Recording>),
    Outcome(String, Box<Outcome>),
}

fn svg(size: (u32, u32), draw: impl FnOnce(&Area) -> Drawn) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&GROUND).map_err(|cause| cause.to_string())?;
        draw(&area).map_err(|cause| cause.to_string())?;
        area.present().map_err(|cause| cause.to_string())?;
    }
    Ok(text)
}

/// A value over the seconds of a run, with its troubles marked.
fn over_time(
    line: &Timeline,
    title: &str,
    unit: &str,
    top: Option<f64>,
    of: impl Fn(&Second) -> f64,
) -> Result<String, String> {
    let values: Vec<(f64, f64)> =
        line.seconds.iter().enumerate().map(|(k, second)| (k as f64 + 0.5, of(second))).collect();
    let most = top.unwrap_or(values.iter().map(|value| value.1).fold(0.0, f64::max) * 1.08).max(1e-9);
    svg(SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..line.seconds.len() as f64, 0.0..most)?;
        chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("s").y_desc(unit).draw()?;
        for (_, from, to) in &line.troubles {
            let style = TROUBLE.mix(0.13).filled();
            chart.draw_series([Rectangle::new([(*from, 0.0), (*to, most)], style)])?;
        }
        for (place, (name, from, _)) in line.troubles.iter().enumerate() {
            // Names that begin close by stand on lines of their own.
            let height = most * (0.08 + 0.09 * (place % 4) as f64);
            let style = ("sans-serif", 11).into_font().color(&TROUBLE);
            chart.draw_series([Text::new(name.clone(), (*from, height), style)])?;
        }
        chart.draw_series(LineSeries::new(values.iter().copied(), OURS.stroke_width(2)))?;
        Ok(())
    })
}

/// Good answers by server and second: a row a server, the darker the more.
fn by_server(line: &Timeline) -> Result<String, String> {
    let rows = line.servers.len();
    let most = line.servers.values().flatten().copied().max().unwrap_or(1).max(1);
    let height = (rows as u32 * 9 + 80).clamp(140, 1_400);
    svg((SIZE.0, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("Good answers a second by server (darkest: {most})"), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..line.seconds.len() as f64, 0.0..rows.max(1) as f64)?;
        chart.configure_mesh().disable_mesh().x_desc("s").y_desc("server").draw()?;
        for (row, counts) in line.servers.values().enumerate() {
            let cells = counts.iter().enumerate().filter(|(_, count)| **count > 0).map(|(second, count)| {
                let part = f64::from(*count) / f64::from(most);
                let (x, y) = (second as f64, row as f64);
                Rectangle::new([(x, y), (x + 1.0, y + 0.92)], OURS.mix(0.08 + 0.92 * part).filled())
            });
            chart.draw_series(cells)?;
        }
        Ok(())
    })
}

/// Estimates side by side, with their bars.
fn bars(title: &str, all: &[(String, Estimate, bool)]) -> Result<String, String> {
    let reach = |estimate: &Estimate| estimate.half_width.unwrap_or(0.0);
    let low = all.iter().map(|(_, e, _)| e.mean - reach(e)).fold(f64::INFINITY, f64::min);
    let high = all.iter().map(|(_, e, _)| e.mean + reach(e)).fold(f64::NEG_INFINITY, f64::max);
    let room = ((high - low) * 0.1).max(1e-3);
    let height = all.len() as u32 * 26 + 90;
    svg((SIZE.0, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(10)
            .build_cartesian_2d(low - room..high + room, -0.6..all.len() as f64 - 0.2)?;
        chart.configure_mesh().disable_y_mesh().disable_y_axis().light_line_style(TRANSPARENT).draw()?;
        for (place, (name, estimate, ours)) in all.iter().enumerate() {
            let y = (all.len() - 1 - place) as f64;
            let (from, to) = (estimate.mean - reach(estimate), estimate.mean + reach(estimate));
            let color = if *ours { OURS } else { OTHERS[0] };
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

/// Estimates over the first swept setting, a curve for ours and one for each that stands beside.
fn curve(
    title: &str,
    arms: &[Arm],
    pick: impl Fn(&Arm) -> Vec<(String, Estimate)>,
) -> Result<String, String> {
    // By name: places, means and half-widths.
    let mut curves: Vec<(String, Points)> = Vec::new();
    for arm in arms {
        let Some(x) = arm.put.values().next().and_then(number_of) else { continue };
        for (name, estimate) in pick(arm) {
            let place = curves.iter().position(|(of, _)| *of == name).unwrap_or_else(|| {
                curves.push((name, Vec::new()));
                curves.len() - 1
            });
            curves[place].1.push((x, estimate.mean, estimate.half_width.unwrap_or(0.0)));
        }
    }
    let points = || curves.iter().flat_map(|(_, points)| points);
    let (left, right) =
        points().fold((f64::INFINITY, f64::NEG_INFINITY), |(l, r), point| (l.min(point.0), r.max(point.0)));
    let (low, high) = points().fold((f64::INFINITY, f64::NEG_INFINITY), |(l, h), point| {
        (l.min(point.1 - point.2), h.max(point.1 + point.2))
    });
    let room = ((high - low) * 0.08).max(1e-3);
    let pointer = arms.first().and_then(|arm| arm.put.keys().next().cloned()).unwrap_or_default();
    svg((SIZE.0, 320), |area| {
        let x_room = ((right - left) * 0.03).max(1e-6);
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(left - x_room..right + x_room, low - room..high + room)?;
        chart.configure_mesh().light_line_style(TRANSPARENT).x_desc(pointer).draw()?;
        for (place, (name, points)) in curves.iter().enumerate() {
            let color = if place == 0 { OURS } else { OTHERS[(place - 1) % OTHERS.len()] };
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
pub fn of_recording(recording: &Recording) -> Result<Vec<String>, String> {
    let line = Timeline::from_recording(recording);
    Ok(vec![
        over_time(
            &line,
            "Service by importance, of operations asked for in each second",
            "",
            Some(1.05),
            |s| s.service(),
        )?,
        over_time(&line, "Operations asked for", "a second", None, |s| f64::from(s.asked))?,
        over_time(&line, "Refused, failed and given up", "a second", None, |s| {
            f64::from(s.refused + s.failed)
        })?,
        by_server(&line)?,
        over_time(&line, "Servers gained or lost by proxies' tables", "a second", None, |s| {
            f64::from(s.moved)
        })?,
        over_time(&line, "Longest queue of a channel", "lines", None, |s| s.queue)?,
    ])
}

/// The charts of an experiment.
pub fn of_outcome(outcome: &Outcome) -> Result<Vec<String>, String> {
    let mut charts = Vec::new();
    let mut all = Vec::new();
    for arm in &outcome.arms {
        all.push((arm.name.clone(), arm.service, true));
        all.extend(arm.beside.iter().map(|(name, estimate)| (format!("  {name}"), *estimate, false)));
    }
    charts.push(bars("Service by importance, 95% intervals", &all)?);
    if !outcome.differences.is_empty() {
        let of = |d: &crate::experiment::Difference| (format!("{} less {}", d.arm, d.less), d.service, true);
        charts.push(bars(
            "Difference on the same random numbers",
            &outcome.differences.iter().map(of).collect::<Vec<_>>(),
        )?);
    }
    if let Some(forecast) = outcome.forecast {
        let mut both = vec![("forecast of one run".to_owned(), forecast.next, true)];
        if let Some(mean) = forecast.measured {
            both.push(("measured".to_owned(), Estimate { mean, half_width: None, runs: 1 }, false));
        }
        charts.push(bars("Forecast against the recorded run", &both)?);
    }
    let swept =
        outcome.arms.iter().filter(|arm| arm.put.values().next().and_then(number_of).is_some()).count();
    if swept > 1 {
        let service = |arm: &Arm| {
            let beside = arm.beside.iter().map(|(name, estimate)| (name.clone(), *estimate));
            std::iter::once(("ours".to_owned(), arm.service)).chain(beside).collect()
        };
        charts.push(curve("Service", &outcome.arms, service)?);
        charts.push(curve("Lines sent a second", &outcome.arms, |arm| {
            vec![("all coordinators".to_owned(), arm.lines_per_second)]
        })?);
        // As far as it was asked for.
        let cost = |pick: fn(&CostFigures) -> (f64, f64)| {
            move |arm: &Arm| {
                let of = |part: fn((f64, f64)) -> f64| {
                    let figures = arm.singles.iter().filter_map(|single| single.cost.as_ref());
                    Estimate::of(&figures.map(|cost| part(pick(cost))).collect::<Vec<f64>>())
                };
                vec![("half".to_owned(), of(|both| both.0)), ("99 of 100".to_owned(), of(|both| both.1))]
            }
        };
        if outcome.arms.iter().all(|arm| arm.singles.iter().all(|single| single.cost.is_some())) {
            charts.push(curve("Time of a coordinator's turn, us", &outcome.arms, cost(|c| c.turn_us))?);
            charts.push(curve("Age of what a turn learns, s", &outcome.arms, cost(|c| c.age_s))?);
        }
        charts.push(curve("99th percentile of answers, ms", &outcome.arms, |arm| {
            vec![("ours".to_owned(), arm.p99_ms)]
        })?);
    }
    Ok(charts)
}

/// The whole page.
pub fn page(inputs: &[Input]) -> Result<String, String> {
    let mut text = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>craneknot</title>\n<style>body{font-family:\
         sans-serif;max-width:980px;margin:2em auto}svg{display:block;margin:0.7em 0}</style></head><body>\n<p>Figures are \
         of simulated servers.</p>\n",
    );
    for input in inputs {
        let (name, note, charts) = match input {
            Input::Recording(name, recording) => {
                let Recording { head, lines } = recording.as_ref();
                let note = format!(
                    "{} ({}), seed {}: service {}, {} lines, every rule kept: {}",
                    head.script.name,
                    head.source,
                    head.script.seed,
                    head.service.map_or("not known".to_owned(), |service| format!("{service:.4}")),
                    lines.len(),
                    head.passed
                );
                (name, note, of_recording(recording)?)
            }
            Input::Outcome(name, outcome) => {
                let broken = outcome.broken().count();
                let note = format!("{} scripts, runs in which a rule broke: {broken}", outcome.arms.len());
                (name, note, of_outcome(outcome)?)
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
    use crate::experiment::{run, sweep, Asked};
    use crate::hosted::Build;
    use crate::world::{play_with_options, RunOptions};
    use craneknot_rehearsal::Script;
    use craneknot_settings::Span;

    #[test]
    fn a_page_holds_a_chart_for_everything_and_nothing_from_outside() {
        let script =
            Script { length: Span::millis(6_000), troubles: Vec::new(), ..Script::built_in().unwrap() };
        let played = play_with_options(&script, RunOptions::default());
        let recording =
            Recording::from_records("model", &script, played.begin, &played.records, &played.report);
        let asked = Asked { least: 2, most: 2, narrow: 1.0, baselines: true, cost: true };
        let one = run(&script, &Build::Own, asked, |_| {});
        let axes = ["/clients/rate=50,100".parse().unwrap()];
        let swept = sweep(&script, &axes, Asked { baselines: false, ..asked }, |_, _| {}).unwrap();
        let inputs = [
            Input::Recording("a <b>".to_owned(), Box::new(recording)),
            Input::Outcome("one".to_owned(), Box::new(one)),
            Input::Outcome("swept".to_owned(), Box::new(swept)),
        ];
        let page = page(&inputs).unwrap();
        assert_eq!(page.matches("<svg").count(), 6 + 1 + 7);
        assert!(page.contains("a &lt;b&gt;") && page.contains("random over all"));
        let outside = page.matches("http").count() - page.matches("http://www.w3.org/2000/svg").count();
        assert_eq!(outside, 0);
    }
}
