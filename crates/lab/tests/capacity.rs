//! The page of the size to carry: that it is what its data renders to, that arithmetic and checks are right, that hostile
//! files are refused by name.

use std::path::{Path, PathBuf};
use std::process::Command;

use doorgrade_lab::capacity::Data;
use doorgrade_lab::capacity::check::check;
use doorgrade_lab::capacity::command::Files;
use doorgrade_lab::capacity::data::Unit;
use doorgrade_lab::capacity::page::render;
use doorgrade_lab::capacity::run::Run;
use doorgrade_lab::capacity::show::{digits, shown};
use doorgrade_lab::capacity::take::take;
use serde_json::{Value, json};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// A file with one measured slope, one reckoned figure, and a use of each.
fn small() -> Value {
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
    Data::parse(&value.to_string()).map_err(|why| why.to_string())
}

fn refusal(change: impl FnOnce(&mut Value)) -> String {
    let mut value = small();
    change(&mut value);
    parse(&value).expect_err("this file is wrong")
}

/// What a run writes, of some points of one figure.
fn written(name: &str, points: &[(usize, f64)]) -> Value {
    let points: Vec<Value> = points.iter().map(|p| json!({"fronts": p.0, "value": p.1, "seed": 1})).collect();
    json!({"format": 1, "commit": "c7e0452", "command": "doorgrade-lab scale", "entries": [],
        "figures": [{"name": name, "unit": "bytes/s", "points": points}]})
}

fn run(points: &[(usize, f64)]) -> Run {
    Run::parse(&written("heal", points).to_string()).unwrap()
}

#[test]
fn the_committed_page_is_what_its_data_renders_to() {
    let files = Files::in_folder(&docs());
    let rendered = files.rendered().unwrap();
    let committed = std::fs::read_to_string(&files.page).unwrap();
    assert!(
        rendered == committed,
        "docs/CAPACITY.md is not what its data makes: run `doorgrade-lab capacity render`"
    );
}

#[test]
fn the_roadmap_has_the_missing_mechanisms_in_the_pages_order() {
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
    // Whatever is measured without a command or a commit is refused at load.
    let data = Data::load(&docs().join("capacity.json")).unwrap();
    assert!(data.figures.len() > 20 && data.roles.len() == 7, "a role of the letter has no table");
}

#[test]
fn ratios_and_columns_come_out_of_slopes() {
    let data = parse(&small()).unwrap();
    assert_eq!(data.ratio(&data.requirements[0]).unwrap(), Some(18.0));
    assert_eq!(data.ratio(&data.requirements[1]).unwrap(), Some(12_100.0 / 5_000.0));
    let [heal, purges] = [&data.roles[0].rows[0], &data.roles[0].rows[1]];
    let at = |row: &doorgrade_lab::capacity::data::Row, scale| data.cell(&row.what, &row.is, scale).unwrap();
    assert_eq!([0.1, 1.0, 10.0].map(|s| at(heal, s).value), [1_300.0, 12_100.0, 120_100.0]);
    // Both the purges and the fronts grow: a hundred times as much at ten times the size.
    assert_eq!([0.1, 1.0, 10.0].map(|s| at(purges, s).value.round()), [18_000.0, 1_800_000.0, 180_000_000.0]);
    assert_eq!(at(purges, 1.0).unit, Unit::BytesPerS);
    assert!(at(heal, 1.0).measured && !at(purges, 1.0).measured);
    // 100 + 12 N = 5,000 at 408 fronts.
    let spent = data.spent_at("", &heal.is, heal.budget.as_ref().unwrap()).unwrap().unwrap();
    assert!((spent * 1_000.0 - 408.3).abs() < 5.0, "{spent}");
}

#[test]
fn what_must_be_there_at_least_is_missed_the_other_way() {
    let mut value = small();
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
fn a_slope_worse_than_linear_is_worked_out_with_its_power() {
    let mut value = small();
    value["figures"][0]["power"] = json!(2);
    let data = parse(&value).unwrap();
    assert_eq!(data.figures[0].value(100.0), 100.0 + 12.0 * 10_000.0);
}

#[test]
fn what_an_ordinary_day_misses_comes_first() {
    let page = render(
        &parse(&small()).unwrap(),
        "{% for m in missing %}{{ m.mechanism }} {{ m.ratio }};{% endfor %}",
    )
    .unwrap();
    assert_eq!(page, "rollouts **18**;a bound **2.42**;");
}

#[test]
fn a_figure_that_left_its_interval_is_named_with_its_line() {
    let data = parse(&small()).unwrap();
    // At 1,000 fronts the page has 12,100, and allows 200 and a tenth.
    assert_eq!(check(&data, &run(&[(1_000, 13_500.0)])).held, ["heal"]);
    let came = check(&data, &run(&[(400, 4_900.0), (1_000, 13_600.0)]));
    assert_eq!((came.held.len(), came.out_of_date.len()), (0, 1));
    let told = came.out_of_date[0].to_string();
    assert!(
        told.contains("membership after a cut") && told.contains("heal") && told.contains("1000 fronts"),
        "{told}"
    );
    assert!(told.contains("13.6 KB/s") && told.contains("12.1 KB/s"), "{told}");
    // Less than it says is as much out of date.
    assert_eq!(check(&data, &run(&[(1_000, 10_000.0)])).out_of_date.len(), 1);
    // Seeds of one size count as their mean.
    let seeds = [(1_000, 14_000.0), (1_000, 11_000.0), (1_000, 11_300.0)];
    assert_eq!(check(&data, &run(&seeds)).out_of_date.len(), 0);
}

#[test]
fn a_run_without_a_figure_and_a_figure_without_a_line_are_told() {
    let data = parse(&small()).unwrap();
    let mut other = written("new", &[(50, 1.0)]);
    other["figures"].as_array_mut().unwrap().push(written("change", &[(50, 1.0)])["figures"][0].clone());
    let came = check(&data, &Run::parse(&other.to_string()).unwrap());
    assert_eq!(came.not_on_page, ["new", "change"], "a reckoned line is nothing to hold a run to");
    assert_eq!(came.not_in_run, ["heal"]);
}

/// What a run writes of a slope: 50 + 10 N, and its points.
fn slope(id: &str, shape: &str, value: fn(f64) -> f64) -> Value {
    let sizes = [50, 150, 400, 1_000];
    let mut run = written(id, &sizes.map(|n| (n, value(n as f64))));
    run["entries"] = json!([{"id": id, "role": "membership", "quantity": "said", "unit": "bytes/s", "slope": 10.0,
        "interval": [9.5, 10.5], "intercept": 50.0, "intercept_interval": [0.0, 100.0], "residual": 30.0, "shape": shape,
        "sizes": sizes, "seeds": [1, 2, 3], "basis": "measured", "command": "doorgrade-lab scale --seed 1 --only members",
        "commit": "27a2f61"}]);
    run
}

fn taken(run: &Value, into: &mut Value) -> Vec<String> {
    let new = take(into, &Run::parse(&run.to_string()).unwrap()).unwrap();
    parse(into).unwrap();
    new
}

#[test]
fn a_run_is_taken_into_the_data_in_place_of_what_stood_there() {
    let mut data = small();
    data["figures"][0]["source"]["measured"]["margin"] = json!(0.4);
    assert_eq!(taken(&slope("heal", "linear", |n| 50.0 + 10.0 * n), &mut data), [""; 0]);
    let figure = &data["figures"][0];
    assert_eq!((&figure["base"], &figure["per_front"]), (&json!(50.0), &json!(10.0)));
    assert_eq!(figure["line"], json!("membership after a cut"), "the page's own words stay");
    assert_eq!(figure["source"]["measured"]["margin"], json!(0.4));
    assert_eq!(figure["source"]["measured"]["commit"], json!("27a2f61"));
    assert_eq!(figure["source"]["measured"]["residual"], json!(0.0));
    // 1.96 x 30 x sqrt(1/4 + 600^2 / 540,000).
    let half = figure["half_width"].as_f64().unwrap();
    assert!((half - 1.96 * 30.0 * (0.25f64 + 360_000.0 / 540_000.0).sqrt()).abs() < 1.0, "{half}");
    // A reckoned one gives way, too.
    taken(&slope("change", "linear", |n| 50.0 + 10.0 * n), &mut data);
    assert!(
        data["figures"][1]["source"]["reckoned"].is_null()
            && data["figures"][1]["line"] == json!("a change in force")
    );
}

#[test]
fn what_is_flat_is_taken_as_its_mean_and_what_is_worse_with_its_power() {
    let mut data = small();
    assert_eq!(taken(&slope("new.flat", "flat", |_| 7.0), &mut data), ["new.flat"]);
    assert_eq!(taken(&slope("new.worse", "worse", |n| 0.5 * n * n), &mut data), ["new.worse"]);
    let [flat, worse] = [&data["figures"][3], &data["figures"][4]];
    assert_eq!(
        (&flat["base"], &flat["per_front"], &flat["line"]),
        (&json!(7.0), &json!(0.0), &json!("said"))
    );
    let read = |key: &str| worse[key].as_f64().unwrap();
    assert!((read("power") - 2.0).abs() < 1e-9 && (read("per_front") - 0.5).abs() < 1e-9, "{worse}");
}

#[test]
fn a_run_in_other_steps_of_a_unit_is_taken_and_checked_in_the_pages() {
    let mut data = small();
    let mut run = slope("new", "flat", |_| 7.0);
    run["entries"][0]["unit"] = json!("ms");
    run["figures"][0]["unit"] = json!("ms");
    taken(&run, &mut data);
    assert_eq!(
        (&data["figures"][3]["unit"], &data["figures"][3]["base"]),
        (&json!("seconds"), &json!(0.007))
    );
    let checked = check(&parse(&data).unwrap(), &Run::parse(&run.to_string()).unwrap());
    assert_eq!(checked.held, ["new"]);
}

#[test]
fn a_run_that_does_not_fit_the_page_is_not_taken() {
    let mut run = slope("heal", "linear", |n| n);
    run["entries"][0]["unit"] = json!("furlongs");
    let refused =
        |run: &Value| take(&mut small(), &Run::parse(&run.to_string()).unwrap()).unwrap_err().to_string();
    assert!(refused(&run).contains("heal: is in \"furlongs\""));
    let mut run = slope("heal", "linear", |n| n);
    run["figures"][0]["name"] = json!("other");
    assert!(refused(&run).contains("heal: has no points"));
}

#[test]
fn a_figure_may_be_over_another_quantity_than_fronts() {
    let mut value = small();
    value["figures"][0]["over"] = json!("purges_per_s");
    let data = parse(&value).unwrap();
    let row = &data.roles[0].rows[0];
    assert_eq!(data.cell("", &row.is, 10.0).unwrap().value, 100.0 + 12.0 * 180.0);
    value["figures"][0]["over"] = json!("none");
    assert!(parse(&value).unwrap_err().contains("no quantity \"none\""));
}

#[test]
fn the_command_says_it_by_its_exit_code() {
    let folder = std::env::temp_dir().join(format!("doorgrade-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let put = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    put("capacity.json", &small().to_string());
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
    let run = |value| written("heal", &[(50, value)]);
    put("run.json", &run(705.0).to_string());
    assert_eq!(lab(&["capacity", "check", file]).0, Some(0));
    put("run.json", &run(5_000.0).to_string());
    let (code, told) = lab(&["capacity", "check", file]);
    assert_eq!(code, Some(3), "{told}");
    assert!(told.contains("out of date: \"membership after a cut\" (heal)"), "{told}");
    put("run.json", "{\"format\": 7}");
    let (code, told) = lab(&["capacity", "check", file]);
    assert_eq!(code, Some(1), "{told}");
    assert!(told.contains("key 'format': is 7: expected 1"), "{told}");
    let (code, told) = lab(&["capacity", "check", "/no/such/file"]);
    assert_eq!(code, Some(1));
    assert!(told.contains("/no/such/file: can't be read"), "{told}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn measured_without_command_or_commit_is_refused() {
    let measured = |key: &str, to: Value| refusal(|v| v["figures"][0]["source"]["measured"][key] = to);
    assert!(measured("command", json!(" ")).contains("figure heal: is measured, without a command"));
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
        let told = refusal(|v| {
            v["figures"][0]["source"]["measured"].as_object_mut().unwrap().remove(key);
        });
        assert!(told.contains(key), "{told}");
    }
    assert!(
        refusal(|v| v["figures"][1]["source"]["reckoned"]["how"] = json!("")).contains("doesn't say how")
    );
}

#[test]
fn an_unknown_format_is_refused_by_name_whatever_else_is_in_it() {
    assert!(refusal(|v| v["format"] = json!(2)).contains("key 'format': is 2: expected 1"));
    assert!(refusal(|v| *v = json!({"format": 9, "all": "new"})).contains("key 'format': is 9"));
    for none in [json!({}), json!([]), json!({"format": "1"}), json!({"format": -1}), json!({"format": 1.5})]
    {
        assert!(Data::parse(&none.to_string()).unwrap_err().to_string().contains("'format'"), "{none}");
        assert!(Run::parse(&none.to_string()).unwrap_err().to_string().contains("'format'"), "{none}");
    }
}

#[test]
fn hostile_figures_are_errors_that_name_the_key() {
    for (key, value) in
        [("base", 1e300), ("per_front", -1e300), ("power", 9.0), ("power", -1.0), ("half_width", -1.0)]
    {
        let told = refusal(|v| v["figures"][0][key] = json!(value));
        assert!(told.contains("figure heal") && told.contains(key), "{told}");
    }
    for (key, value) in [("margin", 1.5), ("margin", -0.1), ("residual", -1.0)] {
        let told = refusal(|v| v["figures"][0]["source"]["measured"][key] = json!(value));
        assert!(told.contains("figure heal") && told.contains(key), "{told}");
    }
    assert!(refusal(|v| v["quantities"]["fronts"]["value"] = json!(-1)).contains("quantity fronts"));
    assert!(refusal(|v| v["quantities"].as_object_mut().unwrap().clear()).contains("no quantity \"fronts\""));
    assert!(refusal(|v| v["roles"][0]["rows"][0]["is"] = json!([])).contains("has no terms"));
    assert!(
        refusal(|v| v["roles"][0]["rows"][0]["is"][0]["figure"] = json!("none"))
            .contains("no figure \"none\"")
    );
    assert!(
        refusal(|v| v["roles"][0]["rows"][1]["is"][0]["times"][0] = json!("none"))
            .contains("no quantity \"none\"")
    );
    let times = json!(["fronts", "fronts", "fronts", "fronts", "fronts"]);
    assert!(refusal(|v| v["roles"][0]["rows"][1]["is"][0]["times"] = times).contains("too many quantities"));
    assert!(refusal(|v| v["requirements"][0]["allowed"] = json!({})).contains("both or neither"));
    assert!(refusal(|v| v["missing"][0]["requirement"] = json!("none")).contains("no requirement \"none\""));
    assert!(refusal(|v| v["figures"][1]["name"] = json!("heal")).contains("stands twice"));
    assert!(refusal(|v| v["figures"][0]["unit"] = json!("furlongs")).contains("furlongs"));
    let seconds = json!([{"figure": "heal"}, {"figure": "change"}]);
    assert!(refusal(|v| v["roles"][0]["rows"][0]["is"] = seconds).contains("adds change to another unit"));
    for (name, _) in small().as_object().unwrap() {
        let told = refusal(|v| {
            v.as_object_mut().unwrap().remove(name);
        });
        assert!(told.contains(name.as_str()), "{name}: {told}");
    }
}

#[test]
fn broken_text_gives_errors_and_no_panic() {
    let whole = small().to_string();
    for end in (0..whole.len()).step_by(7) {
        assert!(Data::parse(&whole[..end]).is_err() && Run::parse(&whole[..end]).is_err());
    }
    for bad in ["NaN", "1e999", "-1e999", "null", "\"1\"", "[]", "Infinity"] {
        let text = whole.replacen("\"base\":100", &format!("\"base\":{bad}"), 1);
        assert_ne!(text, whole);
        assert!(Data::parse(&text).is_err(), "{bad}");
        let run = written("heal", &[(50, 7.0)]).to_string().replacen("7.0", bad, 1);
        assert!(Run::parse(&run).is_err(), "{bad}");
    }
    assert!(Data::parse(&"[".repeat(100_000)).is_err());
    for points in [
        json!([]),
        json!([{"fronts": -1, "value": 1, "seed": 1}]),
        json!([{"fronts": 1e30, "value": 1, "seed": 1}]),
        json!([{"fronts": 9e9 as u64, "value": 1, "seed": 1}]),
    ] {
        let mut run = written("heal", &[]);
        run["figures"][0]["points"] = points;
        assert!(Run::parse(&run.to_string()).is_err(), "{run}");
    }
    // The greatest that is let through still renders.
    let mut value = small();
    value["figures"][0]["per_front"] = json!(1e18);
    value["figures"][0]["power"] = json!(4);
    value["quantities"]["fronts"]["value"] = json!(1e18);
    value["roles"][0]["rows"][0]["is"][0]["times"] = json!(["fronts", "fronts", "fronts"]);
    let page =
        render(&parse(&value).unwrap(), "{% for r in roles %}{{ r.rows[0].at[2] }}{% endfor %}").unwrap();
    assert!(page.contains("e"), "{page}");
}

#[test]
fn a_template_that_names_what_is_not_there_is_refused() {
    let data = parse(&small()).unwrap();
    for template in ["{{ at(\"none\") }}", "{{ nothing_there }}", "{% for", "{{ at() }}"] {
        assert!(render(&data, template).is_err(), "{template}");
    }
    let mut value = small();
    value["failures"][0]["happens"] = json!("{{ at(\"none\") }}");
    assert!(render(&parse(&value).unwrap(), "").unwrap_err().to_string().contains("no figure \"none\""));
}

#[test]
fn a_file_too_long_is_not_read() {
    let file = std::env::temp_dir().join(format!("doorgrade-capacity-long-{}", std::process::id()));
    std::fs::File::create(&file).unwrap().set_len(1 << 30).unwrap();
    let told = Data::load(&file).unwrap_err().to_string();
    std::fs::remove_file(&file).unwrap();
    assert!(told.contains("1073741824 bytes: expected 4194304 at most"), "{told}");
}

#[test]
fn figures_read_well() {
    for (value, text) in [
        (0.0, "0"),
        (65_536.0, "65,536"),
        (1_507_328.0, "1,510,000"),
        (0.05238, "0.0524"),
        (4.6, "4.6"),
        (18.0, "18"),
        (1234.5, "1,230"),
    ] {
        assert_eq!(digits(value), text);
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
        assert_eq!(shown(value, unit), text);
    }
}
