//! Runs the command-line tool against the stand-in store: accepts, concurrent accepts,
//! lost answers, corrupt values and outages. Also checks folders, alone and against the store.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use ragwortlb_standin::{
    ports,
    store::{self, Faults},
};

struct Site {
    folder: PathBuf,
    store: String,
    _server: dropshot::HttpServer<std::sync::Arc<store::Context>>,
}

fn document(slots: u32) -> String {
    format!(
        r#"{{"title": "t", "author": "a", "reason": "r", "services": {{"booking": {{"address": "10.1.0.1:7000",
        "targets": {{"m1": {{"address": "10.2.0.1:9000", "zone": "pa", "slots": {slots}}}}}}}}}}}"#
    )
}

impl Site {
    async fn start(name: &str) -> Site {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("10-site.jsonc"), document(3)).unwrap();
        fs::write(folder.join("notes.txt"), "not a document").unwrap();
        let address = ports::free(1).unwrap()[0];
        let server = store::serve(address).unwrap();
        Site { folder, store: format!("http://{address}"), _server: server }
    }

    fn write(&self, slots: u32) {
        fs::write(self.folder.join("10-site.jsonc"), document(slots)).unwrap();
    }

    async fn run(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortlb"));
        command.args(args).env("RAGWORTLB_STORE", &self.store);
        tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
    }

    fn dir(&self) -> &str {
        self.folder.to_str().unwrap()
    }
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_once() {
    let site = Site::start("accept-once").await;
    let first = site.run(&["accept", site.dir(), "--change", "c1"]).await;
    assert_eq!(out(&first), "accepted as revision 1 (change c1)\n");
    assert!(err(&first).contains("notes.txt: ignored, its name does not match *.jsonc"));
    let again = site.run(&["accept", site.dir(), "--change", "c1"]).await;
    assert_eq!(out(&again), "unchanged, already revision 1 (change c1)\n");
    site.write(5);
    let diff = site.run(&["diff", site.dir()]).await;
    assert!(out(&diff).contains("-          \"slots\": 3,\n+          \"slots\": 5,"), "{}", out(&diff));
    let status = site.run(&["status"]).await;
    assert!(out(&status).starts_with("accepted: revision 1, digest "));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers() {
    let site = Site::start("lost-answers").await;
    store::set_faults(&site.store, &Faults { lose_answers: 3, ..Faults::default() }).await.unwrap();
    let accepted = site.run(&["accept", site.dir(), "--change", "c1"]).await;
    assert_eq!(out(&accepted), "accepted as revision 1 (change c1)\n", "{}", err(&accepted));
    assert!(out(&site.run(&["status"]).await).contains("revision 1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_winner() {
    let site = Site::start("one-winner").await;
    let other = Site { folder: site.folder.with_extension("other"), ..Site::start("one-winner-2").await };
    fs::create_dir_all(&other.folder).unwrap();
    other.write(7);
    store::set_faults(&site.store, &Faults { slow_ms: 200, ..Faults::default() }).await.unwrap();
    let args_b = ["accept", other.dir(), "--change", "b", "--store", &site.store];
    let args_a = ["accept", site.dir(), "--change", "a"];
    let (a, b) = tokio::join!(site.run(&args_a), other.run(&args_b));
    let codes = [a.status.code(), b.status.code()];
    assert!(codes.contains(&Some(0)) && codes.contains(&Some(1)), "{codes:?}");
    let loser = if a.status.success() { &b } else { &a };
    assert!(err(loser).contains("superseded by a concurrent accept: revision 1"), "{}", err(loser));
    assert!(err(loser).contains("\"slots\""), "{}", err(loser));
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_values() {
    let site = Site::start("rubbish").await;
    site.run(&["accept", site.dir()]).await;
    store::set_faults(&site.store, &Faults { corrupt_reads: true, ..Faults::default() }).await.unwrap();
    let status = site.run(&["status"]).await;
    assert_eq!(status.status.code(), Some(1));
    assert!(out(&status).contains("cannot read the configuration head"), "{}", out(&status));
    store::set_faults(&site.store, &Faults { down: true, ..Faults::default() }).await.unwrap();
    let accept = site.run(&["accept", site.dir()]).await;
    assert_eq!(accept.status.code(), Some(1));
    assert!(err(&accept).contains("503"), "{}", err(&accept));
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes() {
    let site = Site::start("usage").await;
    assert_eq!(site.run(&["acept"]).await.status.code(), Some(2));
    assert_eq!(site.run(&["--help"]).await.status.code(), Some(0));
    site.write(0);
    let check = site.run(&["check", site.dir()]).await;
    assert_eq!(check.status.code(), Some(1));
    assert!(
        err(&check).contains("10-site.jsonc:2:79: 0 is not a whole number from 1 to 10000"),
        "{}",
        err(&check)
    );
    site.write(4);
    let explain = site.run(&["explain", site.dir(), "services.booking.targets.m1.slots"]).await;
    assert!(out(&explain).contains("slots = 4\nset at 10-site.jsonc:2\n"), "{}", out(&explain));
}

/// Document with one warning: its queue limit is longer than its deadline.
fn document_with_warning() -> String {
    document(3).replace(r#""targets""#, r#""queue_ms": 9000, "targets""#)
}

/// Guards against a script that takes warnings for errors or misses them, and against
/// findings that are not in the JSON output.
#[tokio::test(flavor = "multi_thread")]
async fn check_findings() {
    let site = Site::start("check-findings").await;
    let clean = site.run(&["check", site.dir(), "--json"]).await;
    let report: serde_json::Value = serde_json::from_str(&out(&clean)).unwrap();
    assert_eq!(clean.status.code(), Some(0));
    assert_eq!(report, serde_json::json!({"ok": true, "services": 1, "faults": [], "findings": []}));

    fs::write(site.folder.join("10-site.jsonc"), document_with_warning()).unwrap();
    let text = "queue_ms 9000 is longer than deadline_ms 5000 (default)";
    let warned = site.run(&["check", site.dir()]).await;
    assert_eq!(warned.status.code(), Some(3));
    assert_eq!(out(&warned), "valid: 1 services, 1 targets\n");
    assert!(err(&warned).contains("10-site.jsonc:2:21: warning: service \"booking\": "), "{}", err(&warned));
    assert!(err(&warned).contains(text), "{}", err(&warned));
    let warned = site.run(&["check", site.dir(), "--json"]).await;
    assert_eq!(warned.status.code(), Some(3));
    let report: serde_json::Value = serde_json::from_str(&out(&warned)).unwrap();
    assert_eq!((&report["ok"], &report["faults"]), (&true.into(), &serde_json::json!([])));
    let finding = &report["findings"][0];
    assert_eq!((&finding["kind"], &finding["severity"]), (&"contradictory_limits".into(), &"warning".into()));
    let location = (&finding["file"], &finding["line"], &finding["column"]);
    assert_eq!(location, (&"10-site.jsonc".into(), &2.into(), &21.into()));
    assert!(finding["message"].as_str().unwrap().contains(text), "{finding}");

    fs::write(site.folder.join("20-error.jsonc"), "{}").unwrap();
    let failed = site.run(&["check", site.dir(), "--json"]).await;
    assert_eq!(failed.status.code(), Some(1));
    let report: serde_json::Value = serde_json::from_str(&out(&failed)).unwrap();
    assert_eq!((&report["ok"], report["faults"].as_array().unwrap().len()), (&false.into(), 3));
    let severities: Vec<_> = report["findings"].as_array().unwrap().iter().map(|f| &f["severity"]).collect();
    assert_eq!(severities, ["warning", "error", "error", "error", "warning"]);
}

/// Guards against a check that shows another difference than `diff`, that counts a
/// difference as a finding, or that loses the findings when the store does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn check_against() {
    let site = Site::start("check-against").await;
    site.run(&["accept", site.dir(), "--change", "c1"]).await;
    let same = site.run(&["check", site.dir(), "--against", &site.store]).await;
    assert_eq!(same.status.code(), Some(0), "{}", err(&same));
    assert_eq!(out(&same), "valid: 1 services, 1 targets\nno difference from revision 1\n");

    site.write(5);
    let changed = site.run(&["check", site.dir(), "--against", &site.store]).await;
    let diff = site.run(&["diff", site.dir()]).await;
    assert_eq!(changed.status.code(), Some(0), "{}", err(&changed));
    assert_eq!(out(&changed), format!("valid: 1 services, 1 targets\n{}", out(&diff)));
    let changed = site.run(&["check", site.dir(), "--against", &site.store, "--json"]).await;
    let report: serde_json::Value = serde_json::from_str(&out(&changed)).unwrap();
    let diff = site.run(&["diff", site.dir(), "--json"]).await;
    assert_eq!(report["difference"], serde_json::from_str::<serde_json::Value>(&out(&diff)).unwrap());

    fs::write(site.folder.join("10-site.jsonc"), document_with_warning()).unwrap();
    store::set_faults(&site.store, &Faults { down: true, ..Faults::default() }).await.unwrap();
    let failed = site.run(&["check", site.dir(), "--against", &site.store]).await;
    assert_eq!(failed.status.code(), Some(1));
    assert!(err(&failed).contains("queue_ms 9000") && err(&failed).contains("503"), "{}", err(&failed));
}

/// Guards against an accept that is refused because of a warning, or that hides it.
#[tokio::test(flavor = "multi_thread")]
async fn accept_with_warnings() {
    let site = Site::start("accept-with-warnings").await;
    fs::write(site.folder.join("10-site.jsonc"), document_with_warning()).unwrap();
    let accepted = site.run(&["accept", site.dir(), "--change", "c1"]).await;
    assert_eq!(accepted.status.code(), Some(0));
    assert_eq!(out(&accepted), "accepted as revision 1 (change c1)\n");
    assert!(err(&accepted).contains("warning: service \"booking\": queue_ms 9000"), "{}", err(&accepted));
    let again = site.run(&["accept", site.dir(), "--change", "c1", "--json"]).await;
    let report: serde_json::Value = serde_json::from_str(&out(&again)).unwrap();
    assert_eq!((&report["made"], &report["warnings"][0]["severity"]), (&false.into(), &"warning".into()));

    site.write(0);
    let refused = site.run(&["accept", site.dir()]).await;
    assert_eq!(refused.status.code(), Some(1));
    assert!(out(&site.run(&["status"]).await).contains("revision 1"));
}
