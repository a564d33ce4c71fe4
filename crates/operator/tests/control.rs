//! The settings of the configuration service: rollout modes and trials, and errors with their positions.

use doorgrade_operator::control::{Control, Rollout, ThinTraffic, Trials};

const CONTROL: &str = "control {\n listen = \"127.0.0.1:1\"\n operators_listen = \"127.0.0.1:2\"\n certificate = \"c\"\n \
     key = \"k\"\n fronts_authority = \"f\"\n operators_authority = \"o\"\n seal_keys = \"s\"\n store = \"v\"\n}\n";

fn read(publication: &str) -> Result<Control, Vec<String>> {
    let text = format!("publication {{\n  {publication}\n}}\n{CONTROL}");
    Control::read("c.hcl", &text).map_err(|problems| problems.0.iter().map(ToString::to_string).collect())
}

#[test]
fn rollout_defaults_to_waves() {
    let default = read("").unwrap().publication;
    assert_eq!((default.rollout, &default.trials), (Rollout::Waves, &Trials::default()));
    let text = "rollout = \"evidence\"\n trial_canaries = 6\n trial_share = 0.2\n watch_ms = 0\n \
                evidence_within_ms = 2000\n thin_traffic = \"go_on\"\n false_stop = 0.001";
    let publication = read(text).unwrap().publication;
    let trials = Trials {
        canaries: 6,
        share: 0.2,
        watch_ms: 0,
        evidence_timeout_ms: 2_000,
        thin_traffic: ThinTraffic::Continue,
        false_stop: 0.001,
    };
    assert_eq!((publication.rollout, publication.trials), (Rollout::Evidence, trials));
}

#[test]
fn errors_name_file_line_key_and_expectation() {
    for (setting, message) in [
        ("rollout = \"waves_\"", "rollout': expected one of \"waves\", \"evidence\", got \"waves_\""),
        ("trial_canaries = 0", "trial_canaries': expected a whole number from 1 to 1000, got 0"),
        ("trial_canaries = -4", "trial_canaries': expected a whole number from 1 to 1000, got -4"),
        ("trial_canaries = 1001", "trial_canaries': expected a whole number from 1 to 1000, got 1001"),
        ("trial_share = 0", "trial_share': expected a number from 0.001 to 0.5, got 0"),
        ("trial_share = -0.1", "trial_share': expected a number from 0.001 to 0.5, got -0.1"),
        ("trial_share = 0.6", "trial_share': expected a number from 0.001 to 0.5, got 0.6"),
        ("watch_ms = -1", "watch_ms': expected a whole number from 0 to 86400000, got -1"),
        ("evidence_within_ms = 0", "evidence_within_ms': expected a whole number from 500 to 3600000, got 0"),
        ("thin_traffic = \"no\"", "thin_traffic': expected one of \"wait\", \"go_on\", got \"no\""),
        ("false_stop = 0", "false_stop': expected a number from 0.000000001 to 0.1, got 0"),
        ("false_stop = 1", "false_stop': expected a number from 0.000000001 to 0.1, got 1"),
    ] {
        let problems = read(setting).unwrap_err();
        let key = setting.split(' ').next().unwrap();
        let column = 3 + key.len() + 3;
        let expected = [format!("c.hcl:2:{column}: key 'publication.{message}")];
        assert_eq!(problems, expected, "{setting}");
    }
}
