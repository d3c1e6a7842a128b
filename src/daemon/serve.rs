use crate::http::answer::OutBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

pub type Work = Pin<Box<dyn Future<Output = Response<OutBody>> + Send>>;
pub type Serve = Arc<dyn Fn(Request<Incoming>) -> Work + Send + Sync>;

const HEAD: Duration = Duration::from_secs(15);

pub async fn serve(socket: TcpListener, work: Serve) {
    loop {
        let Ok((tcp, _)) = socket.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = tcp.set_nodelay(true);
        let work = work.clone();
        tokio::spawn(async move {
            let service = service_fn(move |order| {
                let work = work(order);
                async move { Ok::<_, std::convert::Infallible>(work.await) }
            });
            let mut http = http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEAD);
            let _ = http.serve_connection(TokioIo::new(tcp), service).await;
        });
    }
}
