//! The commands as scripts use them: exit codes, standard output, JSON.

use std::path::PathBuf;
use std::process::{Command, Output};

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn run(working_directory: &PathBuf, args: &[&str]) -> (i32, String, String) {
    let variables = ["PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN", "DOORGRADE_SETTINGS"];
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
    for name in variables {
        command.env_remove(name);
    }
    let Output { status, stdout, stderr } =
        command.args(args).current_dir(working_directory).output().unwrap();
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
    let directory = folder("shapes");
    let sound =
        member("archive", 1, 3, "") + &member("up", 1, 2, "\"archive\"") + &member("a", 1, 1, "\"up\"");
    let cyclic = sound.clone() + &member("a", 2, 1, "\"b\"") + &member("b", 1, 1, "\"a\"");
    std::fs::write(directory.join("sound.hcl"), &sound).unwrap();
    std::fs::write(directory.join("cyclic.hcl"), &cyclic).unwrap();
    std::fs::write(directory.join("faulty.hcl"), sound.replace("tier = 2", "tire = 2")).unwrap();

    let (code, out, _) = run(&directory, &["shape", "show", "sound.hcl"]);
    assert_eq!((code, &*out), (0, "archive (tier 3)\n└─ up (tier 2)\n   └─ a (tier 1)\n"));
    let (code, out, _) = run(&directory, &["shape", "show", "--table", "sound.hcl"]);
    assert!(
        code == 0
            && out.lines().count() == 4
            && out.contains("a        1     in_service  1            1       up"),
        "{out}"
    );
    let (code, out, _) = run(&directory, &["shape", "check", "sound.hcl"]);
    assert_eq!((code, &*out), (0, "sound: 3 members, 3 deep\n"));

    let (code, out, _) = run(&directory, &["shape", "check", "cyclic.hcl"]);
    assert_eq!(code, 3);
    assert!(
        out.contains(
            "it would close a ring: a -> b -> a\n    ┌→ a  fills from\n    └─ b  fills from the first\n"
        ),
        "{out}"
    );
    let (code, out, _) = run(&directory, &["shape", "check", "--json", "cyclic.hcl"]);
    assert!(
        code == 3
            && out
                .contains(r#""aside":[{"member":"a","incarnation":1,"number":2,"why":{"ring":["a","b"]}}]"#),
        "{out}"
    );

    let (code, out, _) = run(&directory, &["shape", "diff", "sound.hcl", "cyclic.hcl"]);
    assert!(code == 4 && out.contains("+  b  tier 1, in_service, fills from a"), "{out}");
    assert!(out.contains("tier 1: 50.0% of the objects move; 50.0% is the least possible"), "{out}");
    assert_eq!(run(&directory, &["shape", "diff", "sound.hcl", "sound.hcl"]).0, 0);

    let (code, _, err) = run(&directory, &["shape", "show", "faulty.hcl"]);
    assert!(
        code == 1 && err.contains("faulty.hcl:10:3: key 'member.up.tire': unknown key: expected 'tier'?"),
        "{err}"
    );
    assert_eq!(run(&directory, &["shape", "show", "nowhere.hcl"]).0, 1);
    assert_eq!(run(&directory, &["shape", "paint"]).0, 2);
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn the_settings_are_found_at_their_default_path_and_checked_with_their_shape() {
    let directory = folder("check");
    std::fs::create_dir_all(directory.join("deploy")).unwrap();
    let (code, out, _) = run(&directory, &["check"]);
    assert!(code == 0 && out.contains("the hierarchy is off"), "{out}");
    std::fs::write(
        directory.join("deploy/doorgrade.hcl"),
        "hierarchy {\n  enabled = true\n  shape = \"shape.hcl\"\n}\n",
    )
    .unwrap();
    let (code, out, _) = run(&directory, &["check"]);
    assert!(code == 3 && out.contains("deploy/shape.hcl: can't be read"), "{out}");
    std::fs::write(
        directory.join("deploy/shape.hcl"),
        member("archive", 1, 2, "") + &member("t", 1, 1, "\"archive\""),
    )
    .unwrap();
    let (code, out, _) = run(&directory, &["check"]);
    assert!(code == 0 && out.contains("the hierarchy is on, 2 members in shape.hcl"), "{out}");
    assert_eq!(run(&directory, &["shape", "check"]).1, "sound: 2 members, 2 deep\n");
    // A front also refuses to start with invalid settings, and names the position.
    std::fs::write(directory.join("deploy/doorgrade.hcl"), "log {\n  level = \"loud\"\n}\n").unwrap();
    std::fs::write(directory.join("config.json"), include_str!("../../../examples/config.json")).unwrap();
    let (code, _, err) = run(&directory, &["--config", "config.json"]);
    assert!(
        code == 1 && err.contains("deploy/doorgrade.hcl:2:11: key 'log.level': expected one of"),
        "{err}"
    );
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn keys_creates_certificates_and_reports_when_they_expire() {
    let directory = folder("certificates");
    assert_eq!(run(&directory, &["keys", "authority", "ca", "--called", "fronts"]).0, 0);
    let issue = |prefix: &str, days: &str| {
        run(&directory, &["keys", "issue", prefix, "--authority", "ca", "--for", "*.hill", "--days", days])
    };
    assert_eq!((issue("long", "90").0, issue("short", "5").0), (0, 0));
    let (code, _, err) = issue("long", "90");
    assert!(code == 1 && err.contains("long.key") && err.contains("exists"), "no file is overwritten: {err}");
    assert_eq!(run(&directory, &["keys", "show", "ca.pem", "long.pem"]).0, 0);
    let (code, out, _) = run(&directory, &["keys", "show", "long.pem", "short.pem"]);
    assert!(code == 3 && out.contains("expires in 4 days"), "{out}");
    let (code, out, _) = run(&directory, &["keys", "seal", "7"]);
    assert!(code == 0 && out.starts_with("key \"7\" { secret = \"") && out.trim_end().len() == 87, "{out}");
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn completions_and_manual_pages_are_written() {
    let directory = folder("written");
    for shell in ["bash", "zsh", "fish"] {
        let (code, out, _) = run(&directory, &["completions", shell]);
        assert!(code == 0 && out.contains("shape"), "{shell}");
    }
    assert_eq!(run(&directory, &["man", "pages"]).0, 0);
    assert!(
        std::fs::read_to_string(directory.join("pages/doorgrade-shape-diff.1")).unwrap().contains("moves")
    );
    std::fs::remove_dir_all(directory).unwrap();
}
