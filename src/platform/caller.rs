//! The protocol of the platform's clients: the parameters of a request are in its headers.

use crate::fleet::config::{Route, RouteKind};
use crate::fleet::tenants::KeyDigest;
use crate::gate::order::TokenCounts;
use crate::kernel::time::Span;
use crate::protocol::{CallerProtocol, RequestParams, adapter_name};
use hyper::header::HeaderMap;

/// The least time that a client of a stream waits for the first event.
const MIN_FIRST_EVENT_WAIT_MS: u64 = 2000;

/// The request header that carries a tenant's API key and nothing else.
const KEY_HEADER: &str = "api-key";

/// The protocol of the platform's clients.
pub struct PlatformCaller;

/// The trimmed value of a header; `None` if it is absent or no text.
fn header_text<'a>(headers: &'a HeaderMap, key: &str) -> Option<&'a str> {
    headers.get(key).and_then(|v| v.to_str().ok()).map(|t| t.trim())
}

/// The parts of a prompt, `id:tokens` separated by commas with hexadecimal ids; `None` if one is malformed.
fn prompt_parts(text: &str) -> Option<Vec<(u64, u32)>> {
    let one = |row: &str| {
        let (id, n) = row.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, n.parse().ok()?))
    };
    text.split(',').filter(|r| !r.trim().is_empty()).map(one).collect()
}

impl CallerProtocol for PlatformCaller {
    fn take_api_key(&self, headers: &mut HeaderMap) -> Option<KeyDigest> {
        let key = headers.remove(KEY_HEADER)?;
        Some(KeyDigest::of(key.as_bytes()))
    }

    fn read_params(
        &self,
        headers: &HeaderMap,
        _body: &[u8],
        _assistant: bool,
    ) -> Result<RequestParams, &'static str> {
        let mut out = RequestParams {
            last: header_text(headers, "last-event-id").map(|t| t.to_string()),
            ..RequestParams::default()
        };
        if let Some(ms) = header_text(headers, "x-deadline-ms") {
            let Some(ms) = ms.parse::<f64>().ok().filter(|n| n.is_finite()) else {
                return Err("X-Deadline-Ms is no number of milliseconds; send one");
            };
            out.due = Some(Span((ms.max(0.0) * 1000.0) as u64));
        }
        if let Some(name) = header_text(headers, "x-model") {
            match name.split_once('/') {
                Some((model, adapter)) => {
                    out.model = model.into();
                    out.adapter = adapter_name(model, adapter).0.into();
                }
                None => out.model = name.into(),
            }
        }
        if let Some((prompt, most)) = header_text(headers, "x-token-count").and_then(|t| t.split_once(',')) {
            let num = |t: &str| t.trim().parse().unwrap_or(0);
            out.size = TokenCounts { prompt: num(prompt), output: num(most) };
        }
        if let Some(rows) = header_text(headers, "x-prompt-prefix").and_then(prompt_parts) {
            out.parts = rows.into();
        }
        Ok(out)
    }

    fn retry_after(&self, wait: Span) -> String {
        format!("{:.2}", (wait.0.max(50_000)) as f64 / 1e6)
    }

    fn deadline_covers_body(&self) -> bool {
        true
    }

    fn max_wait(&self, left: Span, route: &Route) -> Span {
        let silence = Span::ms(MIN_FIRST_EVENT_WAIT_MS.max(route.aim_ms * 4).max(route.gap_ms * 8));
        let most = if route.kind == RouteKind::Stream { left.min(silence) } else { left };
        Span(most.0 * 45 / 100)
    }
}
