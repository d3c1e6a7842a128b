//! Forwards a request by the newest routes: one that a change moves before it has run is admitted anew.

use super::answer::{AnswerBody, coded_answer, refusal_answer};
use super::client_request::ClientRequest;
use super::forward::{ForwardJob, Readmission, forward};
use super::quota::take_token;
use super::request_service::RequestService;
use crate::forwarding::RequestFlow;
use crate::gate::order::RefusalReason;
use crate::gate::readmission::CountedTenants;
use crate::gate::{Refusal, RequestSpec};
use crate::kernel::ids::Name;
use hyper::Response;
use std::sync::Arc;
use tokio::sync::oneshot;

/// The text for a request whose body is over the limit of its route.
pub(super) fn too_large_text(body_kb: u64) -> String {
    format!("the body is over {body_kb} KB; send a smaller one")
}

impl RequestService {
    /// The answer to a refusal.
    pub(super) fn refusal(&self, refusal: &Refusal) -> Response<AnswerBody> {
        refusal_answer(&*self.protocols.caller, refusal)
    }

    /// Counts a final refusal at the balancer of the service.
    pub(super) fn count_final(&self, service: &Name, refusal: &Refusal) {
        if let (Some(counter), Some(balancer)) = (refusal.final_counter(), self.table.get(service)) {
            balancer.lock().unwrap().count(counter);
        }
    }

    /// Waits for a token of the tenant's quota, unless it has counted the request already.
    pub(super) async fn count_request(
        &self,
        spec: &RequestSpec,
        counted: &mut CountedTenants,
    ) -> Result<(), Refusal> {
        if !counted.add(spec) {
            return Ok(());
        }
        take_token(&self.table, &*self.clock, spec).await
    }

    /// Forwards an admitted request until its answer has ended. The head of the answer goes to `response_tx`.
    pub(super) async fn forward_by_newest_routes(
        self: Arc<RequestService>,
        request: ClientRequest,
        spec: RequestSpec,
        mut counted: CountedTenants,
        mut response_tx: oneshot::Sender<Response<AnswerBody>>,
    ) {
        let mut flow = RequestFlow::new(spec);
        loop {
            let Some(balancer) = self.table.get(&flow.spec.service) else {
                let refusal = self.refusal(&Refusal::new(RefusalReason::StaleConfiguration, 1));
                return drop(response_tx.send(refusal));
            };
            let job = ForwardJob {
                flow,
                forwarded: request.forwarded.clone(),
                answer_memory: self.answer_memory.clone(),
                protocols: self.protocols.clone(),
            };
            let (pool, clock) = (self.pool.clone(), self.clock.clone());
            let Some(moved) = forward(balancer, pool, clock, job, response_tx).await else { return };
            let Readmission { carried, response_tx: waiting_tx } = moved;
            response_tx = waiting_tx;
            let readmitted = tokio::select! {
                readmitted = self.readmit(&request, &carried.spec, &mut counted) => readmitted,
                _ = response_tx.closed() => return,
            };
            match readmitted {
                Ok(spec) => flow = RequestFlow::readmitted(spec, carried),
                Err(answer) => return drop(response_tx.send(*answer)),
            }
        }
    }

    /// Admits a request by the newest routes that earlier ones admitted as `earlier`. It keeps its id, its deadlines and how
    /// long it has waited; everything else is decided anew.
    async fn readmit(
        &self,
        request: &ClientRequest,
        earlier: &RequestSpec,
        counted: &mut CountedTenants,
    ) -> Result<RequestSpec, Box<Response<AnswerBody>>> {
        let refused = |refusal: &Refusal| Box::new(self.refusal(refusal));
        let admitted = match self.table.readmit(self.clock.now(), earlier) {
            Ok(admitted) => admitted,
            Err(reason) => {
                let retry_s = u64::from(reason == RefusalReason::StaleConfiguration);
                let refusal = Refusal::new(reason, retry_s);
                self.count_final(&earlier.service, &refusal);
                return Err(refused(&refusal));
            }
        };
        let body_kb = admitted.row().route.body_kb;
        if request.body_bytes() > (body_kb as usize) << 10 {
            let text = too_large_text(body_kb);
            return Err(Box::new(coded_answer(413, "body-too-large", &text, 0, "refused")));
        }
        let spec = self.request_spec(request, admitted)?.after(earlier);
        self.count_request(&spec, counted).await.map_err(|over| refused(&over))?;
        Ok(spec)
    }
}
