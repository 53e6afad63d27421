//! HTTP client of the platform's key-value service.

use std::{sync::Arc, time::Duration};

use ragwortlb::Error;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Entry, Lease, MAX_VALUE_BYTES, Store, StoreFuture, SwapOutcome};

/// Time in which the service must answer; a watch gets its wait in addition.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum length of an answer, in bytes; JSON escapes may double a value's length.
const MAX_ANSWER_BYTES: u64 = 2 * MAX_VALUE_BYTES as u64 + 1024;

/// Body of a compare-and-swap.
#[derive(Debug, Deserialize, Serialize)]
pub struct SwapBody {
    /// Version that the key must have; zero if it must not exist.
    pub version: u64,
    /// New value.
    pub value: String,
}

/// Answer to a compare-and-swap.
#[derive(Debug, Deserialize, Serialize)]
pub struct Written {
    /// Version of the key after the write.
    pub version: u64,
}

/// Body of a lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseBody {
    /// Name of the requested holder.
    pub holder: String,
    /// Duration, in milliseconds.
    pub time_ms: u64,
}

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base: Arc<str>,
    client: Client,
}

impl HttpStore {
    /// Creates a client for the service at a URL such as `http://127.0.0.1:7500`.
    ///
    /// # Errors
    ///
    /// The HTTP client could not be created.
    pub fn new(base: &str) -> Result<HttpStore, Error> {
        let client = Client::builder()
            .timeout(TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| Error::new("create an HTTP client", error.to_string()))?;
        Ok(HttpStore { base: base.trim_end_matches('/').into(), client })
    }

    fn url(&self, path: &str) -> String {
        format!("{}/v1/{path}", self.base)
    }

    async fn call(&self, step: &'static str, request: RequestBuilder) -> Result<Response, Error> {
        let response = request.send().await.map_err(|error| self.error(step, root_cause(&error)))?;
        let too_long = response.content_length().is_some_and(|length| length > MAX_ANSWER_BYTES);
        if too_long {
            return Err(self.error(step, "the answer exceeds the size limit".to_owned()));
        }
        Ok(response)
    }

    async fn read<T: DeserializeOwned>(&self, step: &'static str, response: Response) -> Result<T, Error> {
        let status = response.status();
        if !status.is_success() {
            return Err(self.error(step, format!("HTTP status {status}")));
        }
        let bytes = response.bytes().await.map_err(|error| self.error(step, root_cause(&error)))?;
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

/// Innermost cause of an error: the outer ones only name the failed request.
fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(next) = cause.source() {
        cause = next;
    }
    cause.to_string()
}

impl Store for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            let request = self.client.get(self.url(&format!("keys/{key}")));
            let response = self.call("read from the store", request).await?;
            self.read_entry("read from the store", response).await
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        version: u64,
        value: &'a str,
    ) -> StoreFuture<'a, SwapOutcome> {
        const STEP: &str = "write to the store";
        Box::pin(async move {
            if value.len() > MAX_VALUE_BYTES {
                let what =
                    format!("the value has {} bytes, more than the limit of {MAX_VALUE_BYTES}", value.len());
                return Err(self.error(STEP, what));
            }
            let body = SwapBody { version, value: value.to_owned() };
            let request = self.client.put(self.url(&format!("keys/{key}"))).json(&body);
            let response = self.call(STEP, request).await?;
            if matches!(response.status(), StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED) {
                return Ok(SwapOutcome::Conflict);
            }
            let written: Written = self.read(STEP, response).await?;
            Ok(SwapOutcome::Written(written.version))
        })
    }

    fn lease<'a>(&'a self, name: &'a str, holder: &'a str, time: Duration) -> StoreFuture<'a, Lease> {
        const STEP: &str = "acquire a lease from the store";
        Box::pin(async move {
            let body = LeaseBody { holder: holder.to_owned(), time_ms: time.as_millis() as u64 };
            let request = self.client.put(self.url(&format!("leases/{name}"))).json(&body);
            let response = self.call(STEP, request).await?;
            self.read(STEP, response).await
        })
    }

    fn watch<'a>(&'a self, key: &'a str, version: u64, wait: Duration) -> StoreFuture<'a, Option<Entry>> {
        const STEP: &str = "watch the store";
        Box::pin(async move {
            let path = format!("watches/{key}?version={version}&wait_ms={}", wait.as_millis());
            let request = self.client.get(self.url(&path)).timeout(wait + TIMEOUT);
            let response = self.call(STEP, request).await?;
            self.read_entry(STEP, response).await
        })
    }
}
