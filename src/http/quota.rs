//! Tenant quotas at admission: a request of a tenant with a quota takes a token before it enters the balancer of its
//! service.
#![deny(missing_docs)]

use crate::constraints::shares::QuotaDecision;
use crate::gate::order::RefusalReason;
use crate::gate::{BalancerTable, Refusal, RequestSpec};
use crate::kernel::time::Clock;
use tokio::sync::oneshot;

/// The `Retry-After`, in seconds, if no controller could count the tenant's quota.
const UNANSWERED_RETRY_AFTER_S: u64 = 1;

/// Waits for a token, at most until the request's `due`. A request without a tenant or a quota needs none. Fails if the
/// quota is used up or could not be counted.
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
        Some(decided) => admission_result(decided),
        None => admission_result(decision.await.unwrap_or(QuotaDecision::Unanswered)),
    }
}

/// Turns the decision on a quota into admission or a refusal.
pub fn admission_result(decision: QuotaDecision) -> Result<(), Refusal> {
    match decision {
        QuotaDecision::Granted => Ok(()),
        QuotaDecision::Blocked(wait) => Err(Refusal::after(RefusalReason::OverQuota, wait)),
        QuotaDecision::Unanswered => Err(Refusal::new(RefusalReason::QuotaUnknown, UNANSWERED_RETRY_AFTER_S)),
    }
}
