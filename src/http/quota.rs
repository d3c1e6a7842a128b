//! A request of a tenant with a quota takes a token before it enters its gate.
#![deny(missing_docs)]

use crate::constraints::shares::QuotaDecision;
use crate::gate::order::RefusalReason;
use crate::gate::{BalancerTable, Refusal, RequestSpec};
use crate::kernel::time::Clock;
use tokio::sync::oneshot;

/// What a client is told to wait whose tenant's quota nobody could count.
const UNANSWERED_RETRY_S: u64 = 1;

/// Waits for a token, at most until the request's due. Requests without a tenant or without a quota need none.
pub async fn take_token(
    table: &BalancerTable,
    clock: &dyn Clock,
    order: &RequestSpec,
) -> Result<(), Refusal> {
    let Some(tenant) = order.credential.as_ref().map(|credential| &credential.tenant) else { return Ok(()) };
    if tenant.quota.is_none() {
        return Ok(());
    }
    let (told, decision) = oneshot::channel();
    let wake = Box::new(move |decision| told.send(decision).is_ok());
    let at_once = table.quota.lock().unwrap().request(clock.now(), &tenant.name, order.start_deadline, wake);
    match at_once {
        Some(decided) => outcome(decided),
        None => outcome(decision.await.unwrap_or(QuotaDecision::Unanswered)),
    }
}

/// What a request is told that gets no token.
pub fn outcome(decision: QuotaDecision) -> Result<(), Refusal> {
    match decision {
        QuotaDecision::Granted => Ok(()),
        QuotaDecision::Blocked(wait) => Err(Refusal::after(RefusalReason::OverQuota, wait)),
        QuotaDecision::Unanswered => Err(Refusal::new(RefusalReason::QuotaUnknown, UNANSWERED_RETRY_S)),
    }
}
