//! Request and response bodies of the etcd v3 JSON gateway, limited to the fields in use. The gateway writes 64-bit integers
//! as JSON strings, and keys and values in Base64.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};

/// Encodes bytes in Base64.
pub(crate) fn encode_bytes(bytes: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Decodes bytes from Base64. Returns `None` if `text` is not valid.
pub(crate) fn decode_bytes(text: &str) -> Option<Vec<u8>> {
    BASE64_STANDARD.decode(text).ok()
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct RangeResponse {
    #[serde(default)]
    pub(crate) kvs: Vec<KeyValue>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct KeyValue {
    #[serde(default)]
    pub(crate) value: String,
    #[serde(default)]
    pub(crate) mod_revision: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: String,
    pub(crate) value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) lease: Option<String>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: String,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    pub(crate) mod_revision: String,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<RequestOp>,
    pub(crate) failure: Vec<RequestOp>,
}

#[derive(Debug, Serialize)]
pub(crate) enum RequestOp {
    #[serde(rename = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "requestTxn")]
    Txn(TxnRequest),
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct TxnResponse {
    #[serde(default)]
    pub(crate) succeeded: bool,
    #[serde(default)]
    pub(crate) responses: Vec<ResponseOp>,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct ResponseOp {
    #[serde(default)]
    pub(crate) response_range: Option<RangeResponse>,
    #[serde(default)]
    pub(crate) response_txn: Option<TxnResponse>,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseGrantResponse {
    #[serde(rename = "ID")]
    pub(crate) id: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseKeepAliveRequest {
    #[serde(rename = "ID")]
    pub(crate) id: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseKeepAliveResponse {
    pub(crate) result: LeaseKeepAliveResult,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseKeepAliveResult {
    #[serde(rename = "TTL", default)]
    pub(crate) ttl: String,
}
