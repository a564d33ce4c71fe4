//! The commands as a script meets them: exit codes, standard output, JSON.

use std::path::PathBuf;
use std::process::{Command, Output};

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn run(in_folder: &PathBuf, args: &[&str]) -> (i32, String, String) {
    let clean = ["PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN", "DOORGRADE_SETTINGS"];
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
    for name in clean {
        command.env_remove(name);
    }
    let Output { status, stdout, stderr } = command.args(args).current_dir(in_folder).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code().unwrap(), text(stdout), text(stderr))
}

fn member(name: &str, number: u64, tier: u8, sources: &str) -> String {
    format!(
        "member \"{name}\" {{\n  incarnation = 1\n  number = {number}\n  tier = {tier}\n  fills_from = [{sources}]\n}}\n"
    )
}

#[test]
fn shapes_are_shown_checked_and_compared() {
    let at = folder("shapes");
    let sound =
        member("archive", 1, 3, "") + &member("up", 1, 2, "\"archive\"") + &member("a", 1, 1, "\"up\"");
    let looped = sound.clone() + &member("a", 2, 1, "\"b\"") + &member("b", 1, 1, "\"a\"");
    std::fs::write(at.join("sound.hcl"), &sound).unwrap();
    std::fs::write(at.join("looped.hcl"), &looped).unwrap();
    std::fs::write(at.join("faulty.hcl"), sound.replace("tier = 2", "tire = 2")).unwrap();

    let (code, out, _) = run(&at, &["shape", "show", "sound.hcl"]);
    assert_eq!((code, &*out), (0, "archive (tier 3)\n└─ up (tier 2)\n   └─ a (tier 1)\n"));
    let (code, out, _) = run(&at, &["shape", "show", "--table", "sound.hcl"]);
    assert!(
        code == 0
            && out.lines().count() == 4
            && out.contains("a        1     in_service  1            1       up"),
        "{out}"
    );
    let (code, out, _) = run(&at, &["shape", "check", "sound.hcl"]);
    assert_eq!((code, &*out), (0, "sound: 3 members, 3 deep\n"));

    let (code, out, _) = run(&at, &["shape", "check", "looped.hcl"]);
    assert_eq!(code, 3);
    assert!(
        out.contains(
            "it would close a ring: a -> b -> a\n    ┌→ a  fills from\n    └─ b  fills from the first\n"
        ),
        "{out}"
    );
    let (code, out, _) = run(&at, &["shape", "check", "--json", "looped.hcl"]);
    assert!(
        code == 3
            && out
                .contains(r#""aside":[{"member":"a","incarnation":1,"number":2,"why":{"ring":["a","b"]}}]"#),
        "{out}"
    );

    let (code, out, _) = run(&at, &["shape", "diff", "sound.hcl", "looped.hcl"]);
    assert!(code == 4 && out.contains("+  b  tier 1, in_service, fills from a"), "{out}");
    assert!(out.contains("tier 1: 50.0% of the objects move; 50.0% is the least possible"), "{out}");
    assert_eq!(run(&at, &["shape", "diff", "sound.hcl", "sound.hcl"]).0, 0);

    let (code, _, err) = run(&at, &["shape", "show", "faulty.hcl"]);
    assert!(
        code == 1 && err.contains("faulty.hcl:10:3: key 'member.up.tire': unknown key: expected 'tier'?"),
        "{err}"
    );
    assert_eq!(run(&at, &["shape", "show", "nowhere.hcl"]).0, 1);
    assert_eq!(run(&at, &["shape", "paint"]).0, 2);
    std::fs::remove_dir_all(at).unwrap();
}

#[test]
fn the_settings_are_found_where_they_usually_stand_and_checked_with_their_shape() {
    let at = folder("check");
    std::fs::create_dir_all(at.join("deploy")).unwrap();
    let (code, out, _) = run(&at, &["check"]);
    assert!(code == 0 && out.contains("the hierarchy is off"), "{out}");
    std::fs::write(
        at.join("deploy/doorgrade.hcl"),
        "hierarchy {\n  enabled = true\n  shape = \"shape.hcl\"\n}\n",
    )
    .unwrap();
    let (code, out, _) = run(&at, &["check"]);
    assert!(code == 3 && out.contains("deploy/shape.hcl: can't be read"), "{out}");
    std::fs::write(
        at.join("deploy/shape.hcl"),
        member("archive", 1, 2, "") + &member("t", 1, 1, "\"archive\""),
    )
    .unwrap();
    let (code, out, _) = run(&at, &["check"]);
    assert!(code == 0 && out.contains("the hierarchy is on, 2 members in shape.hcl"), "{out}");
    assert_eq!(run(&at, &["shape", "check"]).1, "sound: 2 members, 2 deep\n");
    // What is wrong ends the start, too, with its place.
    std::fs::write(at.join("deploy/doorgrade.hcl"), "log {\n  level = \"loud\"\n}\n").unwrap();
    std::fs::write(at.join("config.json"), include_str!("../../../examples/config.json")).unwrap();
    let (code, _, err) = run(&at, &["--config", "config.json"]);
    assert!(
        code == 1 && err.contains("deploy/doorgrade.hcl:2:11: key 'log.level': expected one of"),
        "{err}"
    );
    std::fs::remove_dir_all(at).unwrap();
}

#[test]
fn an_installation_makes_its_own_papers_and_sees_when_they_end() {
    let at = folder("papers");
    assert_eq!(run(&at, &["keys", "authority", "ca", "--called", "fronts"]).0, 0);
    let issue = |prefix: &str, days: &str| {
        run(&at, &["keys", "issue", prefix, "--authority", "ca", "--for", "*.hill", "--days", days])
    };
    assert_eq!((issue("long", "90").0, issue("short", "5").0), (0, 0));
    let (code, _, err) = issue("long", "90");
    assert!(code == 1 && err.contains("long.key") && err.contains("exists"), "none is written over: {err}");
    assert_eq!(run(&at, &["keys", "show", "ca.pem", "long.pem"]).0, 0);
    let (code, out, _) = run(&at, &["keys", "show", "long.pem", "short.pem"]);
    assert!(code == 3 && out.contains("expires in 4 days"), "{out}");
    let (code, out, _) = run(&at, &["keys", "seal", "7"]);
    assert!(code == 0 && out.starts_with("key \"7\" { secret = \"") && out.trim_end().len() == 87, "{out}");
    std::fs::remove_dir_all(at).unwrap();
}

#[test]
fn completions_and_the_manual_are_made() {
    let at = folder("made");
    for shell in ["bash", "zsh", "fish"] {
        let (code, out, _) = run(&at, &["completions", shell]);
        assert!(code == 0 && out.contains("shape"), "{shell}");
    }
    assert_eq!(run(&at, &["man", "pages"]).0, 0);
    assert!(std::fs::read_to_string(at.join("pages/doorgrade-shape-diff.1")).unwrap().contains("moves"));
    std::fs::remove_dir_all(at).unwrap();
}
