//! Implements the commands: one public function each.

use std::{
    path::Path,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eyre::{Result, WrapErr, eyre};
use ragwortlb::config::{Config, Folder, document::Value, merge::Item, revision::Digest};
use ragwortlb_rpc::store::{
    accept::{self, Accepted},
    fetch,
    http::HttpStore,
};
use serde::Serialize;
use similar::{ChangeTag, TextDiff};

use crate::{
    folder,
    report::{self, Accept, Check, Difference, Explanation, Finding, Instance, Status},
};

/// Time in which an instance must answer an HTTP request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Unchanged lines shown before and after a change.
const CONTEXT_LINES: usize = 3;

fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

fn validated(folder: &Folder) -> Result<Config> {
    folder.check().map_err(|diagnostics| eyre!("{diagnostics}"))
}

/// Result of validating a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// Neither errors nor warnings.
    Clean,
    /// Warnings only.
    Warnings,
    /// At least one error.
    Errors,
}

/// Validates a folder. A valid one is also compared with the revision that the store
/// `against` has accepted, if it is given.
pub async fn check(dir: &Path, against: Option<&str>, json: bool) -> Result<CheckResult> {
    let review = folder::read(dir)?.review();
    if !json && !review.findings.0.is_empty() {
        eprintln!("{}", review.findings);
    }
    let difference = match (against, &review.config) {
        (Some(store), Some(config)) => Some(store_difference(store, config).await),
        _ => None,
    };
    // The findings are printed also if the store does not answer.
    let (difference, store_error) = match difference.transpose() {
        Ok(difference) => (difference, None),
        Err(error) => (None, Some(error)),
    };
    if json {
        print_json(&Check::new(&review, difference))?;
    } else if let Some(config) = &review.config {
        let targets: usize = config.services.values().map(|service| service.targets.len()).sum();
        println!("valid: {} services, {targets} targets", config.services.len());
        if let Some(difference) = &difference {
            print_difference(difference);
        }
    }
    if let Some(error) = store_error {
        return Err(error);
    }
    Ok(match &review.config {
        None => CheckResult::Errors,
        Some(_) if review.findings.0.is_empty() => CheckResult::Clean,
        Some(_) => CheckResult::Warnings,
    })
}

/// Prints the merged configuration.
pub fn merge(dir: &Path) -> Result<()> {
    println!("{}", validated(&folder::read(dir)?)?.to_json());
    Ok(())
}

/// Prints which document and line set a value, and which earlier ones it overrides.
pub fn explain(dir: &Path, path: &str, json: bool) -> Result<()> {
    let merged = folder::read(dir)?.merge().map_err(|diagnostics| eyre!("{diagnostics}"))?;
    let leaf = match merged.find(path) {
        Some(Item::Leaf(leaf)) => leaf,
        Some(Item::Branch(branch)) => {
            let keys: Vec<&str> = branch.entries.keys().map(|key| &**key).collect();
            return Err(eyre!("{path} is a map, not a value; its keys are {}", keys.join(", ")));
        }
        None => return Err(eyre!("no document sets {path}; `ragwortlb merge` shows its default, if any")),
    };
    let explanation = Explanation {
        path: path.to_owned(),
        value: show(&leaf.value),
        set: report::location(&leaf.position),
        replaced: leaf.replaced.iter().map(report::location).collect(),
    };
    if json {
        return print_json(&explanation);
    }
    println!("{} = {}", explanation.path, explanation.value);
    println!("set at {}", explanation.set);
    for location in explanation.replaced.iter().rev() {
        println!("replaced {location}");
    }
    Ok(())
}

fn show(value: &Value) -> String {
    match value {
        Value::Bool(flag) => flag.to_string(),
        Value::Number(text) => text.to_string(),
        Value::String(text) => format!("{text:?}"),
        Value::Null | Value::List(_) | Value::Map(_) => value.kind().to_owned(),
    }
}

/// Prints the difference between a folder and the accepted revision.
pub async fn diff(store: &str, dir: &Path, json: bool) -> Result<()> {
    let config = validated(&folder::read(dir)?)?;
    let difference = store_difference(store, &config).await?;
    if json {
        return print_json(&difference);
    }
    print_difference(&difference);
    Ok(())
}

fn print_difference(difference: &Difference) {
    if !difference.changed {
        println!("no difference from revision {}", difference.revision);
    }
    for line in &difference.lines {
        println!("{line}");
    }
}

/// Difference between a configuration and the accepted revision.
async fn store_difference(store: &str, config: &Config) -> Result<Difference> {
    let (revision, accepted) = accepted_config(&HttpStore::new(store)?).await?;
    Ok(difference(revision, &accepted, &config.to_json()))
}

/// Number and canonical JSON of the accepted revision; zero and empty if there is none.
async fn accepted_config(store: &HttpStore) -> Result<(u64, String)> {
    let Some(stored) = fetch::head(store).await? else {
        return Ok((0, String::new()));
    };
    let revision = stored.head.revision;
    let bundle = fetch::bundle(store, stored.head, |_| None).await?;
    Ok((revision, validated(&bundle.folder)?.to_json()))
}

fn difference(revision: u64, accepted: &str, proposed: &str) -> Difference {
    let diff = TextDiff::from_lines(accepted, proposed);
    let mut lines = Vec::new();
    for group in diff.grouped_ops(CONTEXT_LINES) {
        for change in group.iter().flat_map(|op| diff.iter_changes(op)) {
            let sign = match change.tag() {
                ChangeTag::Delete => '-',
                ChangeTag::Insert => '+',
                ChangeTag::Equal => ' ',
            };
            lines.push(format!("{sign}{}", change.value().trim_end()));
        }
    }
    Difference { revision, changed: accepted != proposed, lines }
}

/// Accepts a folder as the next revision.
pub async fn accept(store: &str, dir: &Path, change: Option<String>, json: bool) -> Result<()> {
    let folder = folder::read(dir)?;
    let config = validated(&folder)?;
    // A valid folder has no errors, so all its findings are warnings.
    let warnings = folder.review().findings;
    if !warnings.0.is_empty() {
        eprintln!("{warnings}");
    }
    let store = HttpStore::new(store)?;
    let parent = fetch::head(&store).await?;
    let change = change.unwrap_or_else(|| new_change_id(&folder));
    let accepted = accept::accept(&store, &folder, parent.as_ref(), &change)
        .await
        .wrap_err("the folder may or may not have been accepted; run the same command again")?;
    let (head, made) = match accepted {
        Accepted::New(head) => (head, true),
        Accepted::Unchanged(head) => (head, false),
        Accepted::Superseded(head) => return Err(superseded(&store, head.revision, &config).await),
    };
    if json {
        let warnings = warnings.0.iter().map(Finding::from).collect();
        return print_json(&Accept {
            revision: head.revision,
            change: head.change.to_string(),
            made,
            warnings,
        });
    }
    let verb = if made { "accepted as" } else { "unchanged, already" };
    println!("{verb} revision {} (change {})", head.revision, head.change);
    Ok(())
}

/// Error for an accept that a concurrent one superseded, with the difference between
/// the two.
async fn superseded(store: &HttpStore, revision: u64, config: &Config) -> eyre::Report {
    let mut message = format!(
        "superseded by a concurrent accept: revision {revision} is accepted, this folder is not.\n\
         Compare them and accept again. The difference between that revision and this folder:"
    );
    match accepted_config(store).await {
        Ok((revision, accepted)) => {
            for line in difference(revision, &accepted, &config.to_json()).lines {
                message.push('\n');
                message.push_str(&line);
            }
        }
        Err(error) => message.push_str(&format!("\n(not available: {error})")),
    }
    eyre!(message)
}

/// Generates a short, unique identity for a change.
fn new_change_id(folder: &Folder) -> String {
    const DIGITS: usize = 16;
    // A system clock before the epoch also gives distinct values.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_else(|error| error.duration());
    let names: Vec<&str> = folder.files().iter().map(|file| &*file.name).collect();
    let seed = format!("{}-{}-{}", now.as_nanos(), std::process::id(), names.join("/"));
    Digest::of(seed.as_bytes()).as_str()[..DIGITS].to_owned()
}

/// Prints the accepted revision and the effective revision of each instance.
pub async fn status(store: &str, instances: &[String], json: bool) -> Result<()> {
    let mut status = Status::default();
    match fetch::head(&HttpStore::new(store)?).await {
        Ok(Some(stored)) => {
            status.revision = Some(stored.head.revision);
            status.digest = Some(stored.head.digest.to_string());
        }
        Ok(None) => {}
        Err(error) => status.store_error = Some(error.to_string()),
    }
    let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build()?;
    for address in instances {
        status.instances.push(instance(&client, address).await);
    }
    if json {
        print_json(&status)?
    } else {
        print_status(&status)
    }
    let failed = status.store_error.is_some() || status.instances.iter().any(|i| i.error.is_some());
    if failed { Err(eyre!("the store or an instance did not answer")) } else { Ok(()) }
}

async fn instance(client: &reqwest::Client, address: &str) -> Instance {
    let answer = client.get(format!("http://{address}/v1/status")).send().await;
    let state = match answer.and_then(reqwest::Response::error_for_status) {
        Ok(answer) => answer.json().await,
        Err(error) => Err(error),
    };
    match state {
        Ok(state) => Instance { address: address.to_owned(), state: Some(state), error: None },
        Err(error) => Instance { address: address.to_owned(), state: None, error: Some(error.to_string()) },
    }
}

fn print_status(status: &Status) {
    match (&status.revision, &status.store_error) {
        (_, Some(error)) => println!("store: {error}"),
        (Some(revision), None) => {
            println!("accepted: revision {revision}, digest {}", status.digest.as_deref().unwrap_or("-"));
        }
        (None, None) => println!("accepted: none"),
    }
    for instance in &status.instances {
        match (&instance.state, &instance.error) {
            (Some(state), _) => print_instance(&instance.address, state, status.revision),
            (None, error) => println!("{}: {}", instance.address, error.as_deref().unwrap_or("-")),
        }
    }
}

fn print_instance(address: &str, state: &serde_json::Value, accepted: Option<u64>) {
    let effective = state["effective_revision"].as_u64();
    let note = match (effective, accepted) {
        (Some(effective), Some(accepted)) if effective < accepted => " (behind)",
        (Some(effective), Some(accepted)) if effective > accepted => {
            " (ahead of the store, which may have been restored)"
        }
        _ => "",
    };
    // Fields that an instance of another version does not report are shown as unknown,
    // not as zero.
    let shown = |value: Option<u64>| value.map_or_else(|| "unknown".to_owned(), |value| value.to_string());
    let effective = shown(effective);
    let refused = shown(state["detail"]["counts"]["refused_revisions"].as_u64());
    let name = state["name"].as_str().unwrap_or("-");
    let zone = state["zone"].as_str().unwrap_or("-");
    let settled = match state["settled"].as_bool() {
        Some(true) => "settled",
        Some(false) => "changing",
        None => "settled state unknown",
    };
    println!("{address}: {name} in {zone}, revision {effective}{note}, {settled}, refused {refused}");
}

/// Starts the graceful shutdown of an instance.
pub async fn drain(address: &str, json: bool) -> Result<()> {
    let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build()?;
    let answer = client.post(format!("http://{address}/v1/drain")).send().await;
    answer
        .and_then(reqwest::Response::error_for_status)
        .wrap_err_with(|| format!("cannot drain {address}"))?;
    if json {
        return print_json(&serde_json::json!({"instance": address, "draining": true}));
    }
    println!("{address} is draining");
    Ok(())
}
