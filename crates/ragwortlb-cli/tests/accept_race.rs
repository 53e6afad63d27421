//! Runs the command-line tool against the stand-in store: accepts, concurrent accepts,
//! lost answers, corrupt values and outages.

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
