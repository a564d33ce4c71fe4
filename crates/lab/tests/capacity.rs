//! The capacity page: it is up to date with its data, its arithmetic and checks are right, and errors about invalid files
//! name the entry that is at fault.

use std::path::{Path, PathBuf};
use std::process::Command;

use doorgrade_lab::capacity::Data;
use doorgrade_lab::capacity::check::check;
use doorgrade_lab::capacity::command::PageFiles;
use doorgrade_lab::capacity::data::Unit;
use doorgrade_lab::capacity::formatting::{format_number, format_value};
use doorgrade_lab::capacity::page::render;
use doorgrade_lab::capacity::run::Run;
use doorgrade_lab::capacity::take::take;
use serde_json::{Value, json};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// A data file with one measured slope, two calculated figures, and a use of each.
fn small_data() -> Value {
    json!({
        "format": 1,
        "quantities": {
            "fronts": {"value": 1000, "grows": true, "what": "fronts"},
            "purges_per_s": {"value": 18, "grows": true, "what": "purges a second"},
            "change_within_s": {"value": 5, "grows": false, "what": "seconds"},
            "front_bytes_per_s": {"value": 5000, "grows": false, "what": "bytes"}
        },
        "figures": [
            {"name": "heal", "line": "membership after a cut", "unit": "bytes_per_s", "base": 100, "per_front": 12,
             "half_width": 200, "source": {"measured": {"command": "doorgrade-lab scale --seed 1", "commit": "c7e0452",
             "sizes": [50, 150, 400, 1000], "seeds": [1, 2, 3], "residual": 0.02, "margin": 0.1}}},
            {"name": "change", "line": "a change in force", "unit": "seconds", "base": 90, "source": {"reckoned": {"how": "waves"}}},
            {"name": "purge", "line": "a purge", "unit": "bytes", "base": 100, "source": {"reckoned": {"how": "frame"}}}
        ],
        "requirements": [
            {"what": "a change within 5 s", "today": [{"figure": "change"}], "allowed": {"quantity": "change_within_s"},
             "mechanism": "missing: rollouts"},
            {"what": "5 KB/s", "today": [{"figure": "heal"}], "allowed": {"quantity": "front_bytes_per_s"}, "mechanism": "members"}
        ],
        "roles": [{"name": "Front", "about": "One.", "rows": [
            {"what": "membership", "is": [{"figure": "heal"}], "budget": {"quantity": "front_bytes_per_s"}, "mechanism": "members"},
            {"what": "purges", "is": [{"figure": "purge", "times": ["purges_per_s", "fronts"]}], "mechanism": "feed"}
        ]}],
        "failures": [{"what": "a cut", "happens": "{{ at(\"heal\") }}", "lasts": "30 s", "mechanism": "none"}],
        "missing": [
            {"mechanism": "a bound", "requirement": "5 KB/s", "often": "several times a year", "trouble": true, "why": "far"},
            {"mechanism": "rollouts", "requirement": "a change within 5 s", "often": "each change", "why": "slow"}
        ]
    })
}

fn parse(value: &Value) -> Result<Data, String> {
    Data::parse(&value.to_string()).map_err(|e| e.to_string())
}

/// The error of a data file with a change that makes it invalid.
fn error_after(change: impl FnOnce(&mut Value)) -> String {
    let mut value = small_data();
    change(&mut value);
    parse(&value).expect_err("this file is invalid")
}

/// A run's file with some points of one figure.
fn run_file(name: &str, points: &[(usize, f64)]) -> Value {
    let points: Vec<Value> = points.iter().map(|p| json!({"fronts": p.0, "value": p.1, "seed": 1})).collect();
    json!({"format": 1, "commit": "c7e0452", "command": "doorgrade-lab scale", "entries": [],
        "figures": [{"name": name, "unit": "bytes/s", "points": points}]})
}

fn run(points: &[(usize, f64)]) -> Run {
    Run::parse(&run_file("heal", points).to_string()).unwrap()
}

#[test]
fn the_committed_page_is_rendered_from_its_data() {
    let files = PageFiles::in_folder(&docs());
    let rendered = files.rendered().unwrap();
    let committed = std::fs::read_to_string(&files.page).unwrap();
    assert!(
        rendered == committed,
        "docs/CAPACITY.md is out of date with its data: run `doorgrade-lab capacity render`"
    );
}

#[test]
fn the_roadmap_lists_the_missing_mechanisms_in_the_order_of_the_page() {
    let roadmap = std::fs::read_to_string(docs().join("ROADMAP.md")).unwrap().to_lowercase();
    let data = Data::load(&docs().join("capacity.json")).unwrap();
    let order =
        render(&data, "{% for m in missing %}{{ m.mechanism }}\n{% endfor %}").unwrap().to_lowercase();
    let mut rest = roadmap.as_str();
    for mechanism in order.lines() {
        let at = rest.find(mechanism);
        assert!(at.is_some(), "docs/ROADMAP.md: {mechanism:?} is missing, or not in the page's order");
        rest = &rest[at.unwrap()..];
    }
}

#[test]
fn the_committed_data_loads_with_a_table_for_each_role() {
    // Loading rejects measured figures without a command or a commit.
    let data = Data::load(&docs().join("capacity.json")).unwrap();
    assert!(data.figures.len() > 20 && data.roles.len() == 7, "a role of the target has no table");
}

#[test]
fn ratios_and_columns_are_calculated_from_slopes() {
    let data = parse(&small_data()).unwrap();
    assert_eq!(data.ratio(&data.requirements[0]).unwrap(), Some(18.0));
    assert_eq!(data.ratio(&data.requirements[1]).unwrap(), Some(12_100.0 / 5_000.0));
    let [heal, purges] = [&data.roles[0].rows[0], &data.roles[0].rows[1]];
    let at = |row: &doorgrade_lab::capacity::data::Row, scale| {
        data.cell(&row.description, &row.terms, scale).unwrap()
    };
    assert_eq!([0.1, 1.0, 10.0].map(|s| at(heal, s).value), [1_300.0, 12_100.0, 120_100.0]);
    // Both the purges and the fronts grow: a hundred times as much at ten times the size.
    assert_eq!([0.1, 1.0, 10.0].map(|s| at(purges, s).value.round()), [18_000.0, 1_800_000.0, 180_000_000.0]);
    assert_eq!(at(purges, 1.0).unit, Unit::BytesPerS);
    assert!(at(heal, 1.0).measured && !at(purges, 1.0).measured);
    // 100 + 12 N = 5,000 at 408 fronts.
    let exhausted = data.exhausted_at("", &heal.terms, heal.budget.as_ref().unwrap()).unwrap().unwrap();
    assert!((exhausted * 1_000.0 - 408.3).abs() < 5.0, "{exhausted}");
}

#[test]
fn the_ratio_of_a_minimum_is_inverted() {
    let mut value = small_data();
    value["requirements"][0]["at_least"] = json!(true);
    assert_eq!(
        parse(&value).unwrap().ratio(&parse(&value).unwrap().requirements[0]).unwrap(),
        Some(5.0 / 90.0)
    );
    value["figures"][1]["base"] = json!(0);
    let data = parse(&value).unwrap();
    assert_eq!(data.ratio(&data.requirements[0]).unwrap(), Some(f64::INFINITY));
    value["requirements"][0]["today"] = json!([]);
    value["requirements"][0]["note"] = json!("nobody knows");
    let data = parse(&value).unwrap();
    assert_eq!(data.ratio(&data.requirements[0]).unwrap(), None);
}

#[test]
fn a_superlinear_figure_is_calculated_with_its_exponent() {
    let mut value = small_data();
    value["figures"][0]["power"] = json!(2);
    let data = parse(&value).unwrap();
    assert_eq!(data.figures[0].value(100.0), 100.0 + 12.0 * 10_000.0);
}

#[test]
fn mechanisms_that_an_ordinary_day_needs_come_first() {
    let page = render(
        &parse(&small_data()).unwrap(),
        "{% for m in missing %}{{ m.mechanism }} {{ m.ratio }};{% endfor %}",
    )
    .unwrap();
    assert_eq!(page, "rollouts **18**;a bound **2.42**;");
}

#[test]
fn a_figure_outside_its_interval_is_reported_with_its_line() {
    let data = parse(&small_data()).unwrap();
    // At 1,000 fronts the page has 12,100; the tolerance is 200 plus a tenth.
    assert_eq!(check(&data, &run(&[(1_000, 13_500.0)])).confirmed, ["heal"]);
    let report = check(&data, &run(&[(400, 4_900.0), (1_000, 13_600.0)]));
    assert_eq!((report.confirmed.len(), report.outdated.len()), (0, 1));
    let message = report.outdated[0].to_string();
    assert!(
        message.contains("membership after a cut")
            && message.contains("heal")
            && message.contains("1000 fronts"),
        "{message}"
    );
    assert!(message.contains("13.6 KB/s") && message.contains("12.1 KB/s"), "{message}");
    // A lower value is out of date, too.
    assert_eq!(check(&data, &run(&[(1_000, 10_000.0)])).outdated.len(), 1);
    // The mean over the seeds of a size is compared.
    let seeds = [(1_000, 14_000.0), (1_000, 11_000.0), (1_000, 11_300.0)];
    assert_eq!(check(&data, &run(&seeds)).outdated.len(), 0);
}

#[test]
fn figures_of_only_the_run_or_only_the_page_are_reported() {
    let data = parse(&small_data()).unwrap();
    let mut other = run_file("new", &[(50, 1.0)]);
    other["figures"].as_array_mut().unwrap().push(run_file("change", &[(50, 1.0)])["figures"][0].clone());
    let report = check(&data, &Run::parse(&other.to_string()).unwrap());
    assert_eq!(report.not_on_page, ["new", "change"], "a calculated figure is not compared with a run");
    assert_eq!(report.not_in_run, ["heal"]);
}

/// A run's file with an entry of the line 50 + 10 N, and points of a function.
fn run_file_with_slope(id: &str, shape: &str, value: fn(f64) -> f64) -> Value {
    let sizes = [50, 150, 400, 1_000];
    let mut run = run_file(id, &sizes.map(|n| (n, value(n as f64))));
    run["entries"] = json!([{"id": id, "role": "membership", "quantity": "said", "unit": "bytes/s", "slope": 10.0,
        "interval": [9.5, 10.5], "intercept": 50.0, "intercept_interval": [0.0, 100.0], "residual": 30.0, "shape": shape,
        "sizes": sizes, "seeds": [1, 2, 3], "basis": "measured", "command": "doorgrade-lab scale --seed 1 --only members",
        "commit": "27a2f61"}]);
    run
}

fn take_valid(run: &Value, into: &mut Value) -> Vec<String> {
    let new = take(into, &Run::parse(&run.to_string()).unwrap()).unwrap();
    parse(into).unwrap();
    new
}

#[test]
fn a_runs_figures_replace_those_of_the_same_name() {
    let mut data = small_data();
    data["figures"][0]["source"]["measured"]["margin"] = json!(0.4);
    assert_eq!(take_valid(&run_file_with_slope("heal", "linear", |n| 50.0 + 10.0 * n), &mut data), [""; 0]);
    let figure = &data["figures"][0];
    assert_eq!((&figure["base"], &figure["per_front"]), (&json!(50.0), &json!(10.0)));
    assert_eq!(figure["line"], json!("membership after a cut"), "the name of the line stays");
    assert_eq!(figure["source"]["measured"]["margin"], json!(0.4));
    assert_eq!(figure["source"]["measured"]["commit"], json!("27a2f61"));
    assert_eq!(figure["source"]["measured"]["residual"], json!(0.0));
    // 1.96 x 30 x sqrt(1/4 + 600^2 / 540,000).
    let half = figure["half_width"].as_f64().unwrap();
    assert!((half - 1.96 * 30.0 * (0.25f64 + 360_000.0 / 540_000.0).sqrt()).abs() < 1.0, "{half}");
    // A calculated figure is replaced, too.
    take_valid(&run_file_with_slope("change", "linear", |n| 50.0 + 10.0 * n), &mut data);
    assert!(
        data["figures"][1]["source"]["reckoned"].is_null()
            && data["figures"][1]["line"] == json!("a change in force")
    );
}

#[test]
fn flat_figures_are_taken_as_their_mean_and_superlinear_ones_with_their_exponent() {
    let mut data = small_data();
    assert_eq!(take_valid(&run_file_with_slope("new.flat", "flat", |_| 7.0), &mut data), ["new.flat"]);
    assert_eq!(
        take_valid(&run_file_with_slope("new.worse", "worse", |n| 0.5 * n * n), &mut data),
        ["new.worse"]
    );
    let [flat, worse] = [&data["figures"][3], &data["figures"][4]];
    assert_eq!(
        (&flat["base"], &flat["per_front"], &flat["line"]),
        (&json!(7.0), &json!(0.0), &json!("said"))
    );
    let read = |key: &str| worse[key].as_f64().unwrap();
    assert!((read("power") - 2.0).abs() < 1e-9 && (read("per_front") - 0.5).abs() < 1e-9, "{worse}");
}

#[test]
fn a_run_in_another_unit_is_converted_to_the_pages() {
    let mut data = small_data();
    let mut run = run_file_with_slope("new", "flat", |_| 7.0);
    run["entries"][0]["unit"] = json!("ms");
    run["figures"][0]["unit"] = json!("ms");
    take_valid(&run, &mut data);
    assert_eq!(
        (&data["figures"][3]["unit"], &data["figures"][3]["base"]),
        (&json!("seconds"), &json!(0.007))
    );
    let checked = check(&parse(&data).unwrap(), &Run::parse(&run.to_string()).unwrap());
    assert_eq!(checked.confirmed, ["new"]);
}

#[test]
fn a_run_with_an_unknown_unit_or_without_points_is_not_taken() {
    let mut run = run_file_with_slope("heal", "linear", |n| n);
    run["entries"][0]["unit"] = json!("furlongs");
    let rejection = |run: &Value| {
        take(&mut small_data(), &Run::parse(&run.to_string()).unwrap()).unwrap_err().to_string()
    };
    assert!(rejection(&run).contains("heal: is in \"furlongs\""));
    let mut run = run_file_with_slope("heal", "linear", |n| n);
    run["figures"][0]["name"] = json!("other");
    assert!(rejection(&run).contains("heal: has no points"));
}

#[test]
fn a_figure_may_be_over_another_quantity_than_fronts() {
    let mut value = small_data();
    value["figures"][0]["over"] = json!("purges_per_s");
    let data = parse(&value).unwrap();
    let row = &data.roles[0].rows[0];
    assert_eq!(data.cell("", &row.terms, 10.0).unwrap().value, 100.0 + 12.0 * 180.0);
    value["figures"][0]["over"] = json!("none");
    assert!(parse(&value).unwrap_err().contains("no quantity \"none\""));
}

#[test]
fn the_exit_code_tells_the_result_of_the_command() {
    let folder = std::env::temp_dir().join(format!("doorgrade-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let put = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    put("capacity.json", &small_data().to_string());
    put("capacity.md.template", "{{ at(\"heal\", 10) }}\n");
    let lab = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_doorgrade-lab"))
            .args(args)
            .arg("--docs")
            .arg(&folder)
            .output()
            .unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap() + &String::from_utf8(out.stderr).unwrap())
    };
    assert_eq!(lab(&["capacity", "render"]).0, Some(0));
    assert_eq!(std::fs::read_to_string(folder.join("CAPACITY.md")).unwrap(), "120 KB/s\n");
    let file = folder.join("run.json");
    let file = file.to_str().unwrap();
    let run = |value| run_file("heal", &[(50, value)]);
    put("run.json", &run(705.0).to_string());
    assert_eq!(lab(&["capacity", "check", file]).0, Some(0));
    put("run.json", &run(5_000.0).to_string());
    let (code, message) = lab(&["capacity", "check", file]);
    assert_eq!(code, Some(3), "{message}");
    assert!(message.contains("out of date: \"membership after a cut\" (heal)"), "{message}");
    put("run.json", "{\"format\": 7}");
    let (code, message) = lab(&["capacity", "check", file]);
    assert_eq!(code, Some(1), "{message}");
    assert!(message.contains("key 'format': is 7: expected 1"), "{message}");
    let (code, message) = lab(&["capacity", "check", "/no/such/file"]);
    assert_eq!(code, Some(1));
    assert!(message.contains("/no/such/file: can't be read"), "{message}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_measured_figure_without_command_or_commit_is_rejected() {
    let measured = |key: &str, to: Value| error_after(|v| v["figures"][0]["source"]["measured"][key] = to);
    assert!(measured("command", json!(" ")).contains("figure heal: is measured, and its 'command' is empty"));
    for commit in ["", "c7e", "not a hash"] {
        assert!(
            measured("commit", json!(commit)).contains("figure heal: is measured on commit"),
            "{commit:?}"
        );
    }
    assert!(measured("seeds", json!([])).contains("without sizes or seeds"));
    assert!(
        measured("sizes", json!([50, 150, 400])).contains("is a slope of 3 sizes: expected at least four")
    );
    assert!(measured("sizes", json!([50, 50, 50, 50])).contains("is a slope of 1 sizes"));
    for key in ["command", "commit", "sizes", "seeds", "margin"] {
        let message = error_after(|v| {
            v["figures"][0]["source"]["measured"].as_object_mut().unwrap().remove(key);
        });
        assert!(message.contains(key), "{message}");
    }
    assert!(
        error_after(|v| v["figures"][1]["source"]["reckoned"]["how"] = json!(""))
            .contains("is reckoned, and its 'how' is empty")
    );
}

#[test]
fn an_unknown_format_is_rejected_whatever_else_the_file_has() {
    assert!(error_after(|v| v["format"] = json!(2)).contains("key 'format': is 2: expected 1"));
    assert!(error_after(|v| *v = json!({"format": 9, "all": "new"})).contains("key 'format': is 9"));
    for none in [json!({}), json!([]), json!({"format": "1"}), json!({"format": -1}), json!({"format": 1.5})]
    {
        assert!(Data::parse(&none.to_string()).unwrap_err().to_string().contains("'format'"), "{none}");
        assert!(Run::parse(&none.to_string()).unwrap_err().to_string().contains("'format'"), "{none}");
    }
}

#[test]
fn the_error_about_an_invalid_value_names_its_key() {
    for (key, value) in
        [("base", 1e300), ("per_front", -1e300), ("power", 9.0), ("power", -1.0), ("half_width", -1.0)]
    {
        let message = error_after(|v| v["figures"][0][key] = json!(value));
        assert!(message.contains("figure heal") && message.contains(key), "{message}");
    }
    for (key, value) in [("margin", 1.5), ("margin", -0.1), ("residual", -1.0)] {
        let message = error_after(|v| v["figures"][0]["source"]["measured"][key] = json!(value));
        assert!(message.contains("figure heal") && message.contains(key), "{message}");
    }
    assert!(error_after(|v| v["quantities"]["fronts"]["value"] = json!(-1)).contains("quantity fronts"));
    assert!(
        error_after(|v| v["quantities"].as_object_mut().unwrap().clear()).contains("no quantity \"fronts\"")
    );
    assert!(error_after(|v| v["roles"][0]["rows"][0]["is"] = json!([])).contains("has no terms"));
    assert!(
        error_after(|v| v["roles"][0]["rows"][0]["is"][0]["figure"] = json!("none"))
            .contains("no figure \"none\"")
    );
    assert!(
        error_after(|v| v["roles"][0]["rows"][1]["is"][0]["times"][0] = json!("none"))
            .contains("no quantity \"none\"")
    );
    let times = json!(["fronts", "fronts", "fronts", "fronts", "fronts"]);
    assert!(
        error_after(|v| v["roles"][0]["rows"][1]["is"][0]["times"] = times).contains("too many quantities")
    );
    assert!(error_after(|v| v["requirements"][0]["allowed"] = json!({})).contains("both or neither"));
    assert!(
        error_after(|v| v["missing"][0]["requirement"] = json!("none")).contains("no requirement \"none\"")
    );
    assert!(error_after(|v| v["figures"][1]["name"] = json!("heal")).contains("is defined twice"));
    assert!(error_after(|v| v["figures"][0]["unit"] = json!("furlongs")).contains("furlongs"));
    let seconds = json!([{"figure": "heal"}, {"figure": "change"}]);
    assert!(
        error_after(|v| v["roles"][0]["rows"][0]["is"] = seconds).contains("adds change to another unit")
    );
    for (name, _) in small_data().as_object().unwrap() {
        let message = error_after(|v| {
            v.as_object_mut().unwrap().remove(name);
        });
        assert!(message.contains(name.as_str()), "{name}: {message}");
    }
}

#[test]
fn malformed_text_gives_errors_and_no_panic() {
    let whole = small_data().to_string();
    for end in (0..whole.len()).step_by(7) {
        assert!(Data::parse(&whole[..end]).is_err() && Run::parse(&whole[..end]).is_err());
    }
    for bad in ["NaN", "1e999", "-1e999", "null", "\"1\"", "[]", "Infinity"] {
        let text = whole.replacen("\"base\":100", &format!("\"base\":{bad}"), 1);
        assert_ne!(text, whole);
        assert!(Data::parse(&text).is_err(), "{bad}");
        let run = run_file("heal", &[(50, 7.0)]).to_string().replacen("7.0", bad, 1);
        assert!(Run::parse(&run).is_err(), "{bad}");
    }
    assert!(Data::parse(&"[".repeat(100_000)).is_err());
    for points in [
        json!([]),
        json!([{"fronts": -1, "value": 1, "seed": 1}]),
        json!([{"fronts": 1e30, "value": 1, "seed": 1}]),
        json!([{"fronts": 9e9 as u64, "value": 1, "seed": 1}]),
    ] {
        let mut run = run_file("heal", &[]);
        run["figures"][0]["points"] = points;
        assert!(Run::parse(&run.to_string()).is_err(), "{run}");
    }
    // The greatest values that are accepted can still be rendered.
    let mut value = small_data();
    value["figures"][0]["per_front"] = json!(1e18);
    value["figures"][0]["power"] = json!(4);
    value["quantities"]["fronts"]["value"] = json!(1e18);
    value["roles"][0]["rows"][0]["is"][0]["times"] = json!(["fronts", "fronts", "fronts"]);
    let page =
        render(&parse(&value).unwrap(), "{% for r in roles %}{{ r.rows[0].at[2] }}{% endfor %}").unwrap();
    assert!(page.contains("e"), "{page}");
}

#[test]
fn a_template_with_unknown_names_is_rejected() {
    let data = parse(&small_data()).unwrap();
    for template in ["{{ at(\"none\") }}", "{{ nothing_there }}", "{% for", "{{ at() }}"] {
        assert!(render(&data, template).is_err(), "{template}");
    }
    let mut value = small_data();
    value["failures"][0]["happens"] = json!("{{ at(\"none\") }}");
    assert!(render(&parse(&value).unwrap(), "").unwrap_err().to_string().contains("no figure \"none\""));
}

#[test]
fn a_file_over_the_maximum_size_is_not_read() {
    let file = std::env::temp_dir().join(format!("doorgrade-capacity-long-{}", std::process::id()));
    std::fs::File::create(&file).unwrap().set_len(1 << 30).unwrap();
    let message = Data::load(&file).unwrap_err().to_string();
    std::fs::remove_file(&file).unwrap();
    assert!(message.contains("1073741824 bytes: expected 4194304 at most"), "{message}");
}

#[test]
fn numbers_are_formatted_with_three_digits_and_a_unit() {
    for (value, text) in [
        (0.0, "0"),
        (65_536.0, "65,536"),
        (1_507_328.0, "1,510,000"),
        (0.05238, "0.0524"),
        (4.6, "4.6"),
        (18.0, "18"),
        (1234.5, "1,230"),
    ] {
        assert_eq!(format_number(value), text);
    }
    for (value, unit, text) in [
        (12_800.0, Unit::BytesPerS, "12.8 KB/s"),
        (0.0011, Unit::Core, "0.11% of a core"),
        (1.0, Unit::Core, "1 core"),
        (0.00035, Unit::Seconds, "350 µs"),
        (5_529.6, Unit::Seconds, "92.2 min"),
        (0.5814, Unit::Share, "58.1%"),
        (f64::INFINITY, Unit::Seconds, "without end"),
    ] {
        assert_eq!(format_value(value, unit), text);
    }
}
