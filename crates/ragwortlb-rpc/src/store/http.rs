//! The platform's service over HTTP.

use std::{sync::Arc, time::Duration};

use ragwortlb::Error;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Entry, Lease, MAX_VALUE_BYTES, Pending, Store, Swap};

/// Time after which a call is given up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Longest answer, in bytes; a value may double when it is escaped.
const MAX_ANSWER_BYTES: u64 = 2 * MAX_VALUE_BYTES as u64 + 1024;

/// Body of a compare-and-swap.
#[derive(Debug, Deserialize, Serialize)]
pub struct SwapBody {
    /// Version that the key must have.
    pub version: u64,
    /// New value.
    pub value: String,
}

/// Answer to a compare-and-swap.
#[derive(Debug, Deserialize, Serialize)]
pub struct Written {
    /// Version of the key now.
    pub version: u64,
}

/// Body of a lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseBody {
    /// Who wants it.
    pub holder: String,
    /// For how long, in milliseconds.
    pub time_ms: u64,
}

/// Client of the service.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base: Arc<str>,
    client: Client,
}

impl HttpStore {
    /// Client of the service at a URL such as `http://127.0.0.1:7500`.
    ///
    /// # Errors
    ///
    /// No HTTP client could be made.
    pub fn new(base: &str) -> Result<HttpStore, Error> {
        let client = Client::builder()
            .timeout(TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| Error::new("make a client", error.to_string()))?;
        Ok(HttpStore { base: base.trim_end_matches('/').into(), client })
    }

    fn url(&self, path: &str) -> String {
        format!("{}/v1/{path}", self.base)
    }

    async fn call(&self, step: &'static str, request: RequestBuilder) -> Result<Response, Error> {
        let response = request.send().await.map_err(|error| self.error(step, root(&error)))?;
        let too_long = response.content_length().is_some_and(|length| length > MAX_ANSWER_BYTES);
        if too_long {
            return Err(self.error(step, "the answer is too long".to_owned()));
        }
        Ok(response)
    }

    async fn read<T: DeserializeOwned>(&self, step: &'static str, response: Response) -> Result<T, Error> {
        let status = response.status();
        if !status.is_success() {
            return Err(self.error(step, format!("status {status}")));
        }
        let bytes = response.bytes().await.map_err(|error| self.error(step, root(&error)))?;
        serde_json::from_slice(&bytes).map_err(|error| self.error(step, error.to_string()))
    }

    async fn read_entry(&self, step: &'static str, response: Response) -> Result<Option<Entry>, Error> {
        match response.status() {
            StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
            _ => self.read(step, response).await.map(Some),
        }
    }

    fn error(&self, step: &'static str, what: String) -> Error {
        Error::new(step, what).with_peer(self.base.clone())
    }
}

/// Innermost cause, which says most.
fn root(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(next) = cause.source() {
        cause = next;
    }
    cause.to_string()
}

impl Store for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> Pending<'a, Option<Entry>> {
        Box::pin(async move {
            let request = self.client.get(self.url(&format!("keys/{key}")));
            let response = self.call("read from the store", request).await?;
            self.read_entry("read from the store", response).await
        })
    }

    fn compare_and_swap<'a>(&'a self, key: &'a str, version: u64, value: &'a str) -> Pending<'a, Swap> {
        const STEP: &str = "write to the store";
        Box::pin(async move {
            if value.len() > MAX_VALUE_BYTES {
                let what = format!("a value of {} bytes, over the limit of {MAX_VALUE_BYTES}", value.len());
                return Err(self.error(STEP, what));
            }
            let body = SwapBody { version, value: value.to_owned() };
            let request = self.client.put(self.url(&format!("keys/{key}"))).json(&body);
            let response = self.call(STEP, request).await?;
            if matches!(response.status(), StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED) {
                return Ok(Swap::Conflict);
            }
            let written: Written = self.read(STEP, response).await?;
            Ok(Swap::Written(written.version))
        })
    }

    fn lease<'a>(&'a self, name: &'a str, holder: &'a str, time: Duration) -> Pending<'a, Lease> {
        const STEP: &str = "take a lease";
        Box::pin(async move {
            let body = LeaseBody { holder: holder.to_owned(), time_ms: time.as_millis() as u64 };
            let request = self.client.put(self.url(&format!("leases/{name}"))).json(&body);
            let response = self.call(STEP, request).await?;
            self.read(STEP, response).await
        })
    }

    fn watch<'a>(&'a self, key: &'a str, version: u64, wait: Duration) -> Pending<'a, Option<Entry>> {
        const STEP: &str = "watch the store";
        Box::pin(async move {
            let path = format!("watches/{key}?version={version}&wait_ms={}", wait.as_millis());
            let request = self.client.get(self.url(&path)).timeout(wait + TIMEOUT);
            let response = self.call(STEP, request).await?;
            self.read_entry(STEP, response).await
        })
    }
}
