//! HTTP/1.1 listeners: one for the admin address, and one for clients with the configured limits.

use crate::fleet::config::Limits;
use crate::http::answer::{AnswerBody, timeout_answer};
use crate::http::client::ClientConnection;
use crate::http::client_connections::ClientConnections;
use crate::http::client_stream::ClientStream;
use crate::http::request_body::RequestBody;
use crate::http::served_body::ServedBody;
use crate::kernel::fault::{Fault, Kind};
use error_stack::Report;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The future that answers one request.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Response<AnswerBody>> + Send>>;
/// Answers the requests of a listener.
pub type RequestHandler = Arc<dyn Fn(Request<RequestBody>) -> AnswerFuture + Send + Sync>;

/// The limits on the connections of operators and of the platform.
const ADMIN_LIMITS: Limits =
    Limits { head_bytes: 64 << 10, body_bytes: 8 << 20, head_ms: 15_000, idle_ms: 15_000 };
/// How often the limits on these connections are applied.
const ADMIN_SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens at `addr`. Fails if the address can't be bound; `what` names the setting in the fault.
pub async fn bind(addr: SocketAddr, what: &str) -> Result<TcpListener, Report<Fault>> {
    let remedy = "free the port or set another";
    let make = |e: &std::io::Error| Fault::new(Kind::Net, format!("{what} {addr}"), e.to_string(), remedy);
    TcpListener::bind(addr).await.map_err(|e| Report::new(make(&e)))
}

/// The next connection.
async fn accept(socket: &TcpListener) -> TcpStream {
    loop {
        if let Ok((tcp, _)) = socket.accept().await {
            let _ = tcp.set_nodelay(true);
            return tcp;
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Serves the admin address; expires connections that are over the limits in `connections`.
pub async fn serve_admin(socket: TcpListener, handler: RequestHandler, connections: Arc<ClientConnections>) {
    let mut sweep = tokio::time::interval(ADMIN_SWEEP_PERIOD);
    let serving = serve_clients(socket, handler, connections.clone());
    tokio::pin!(serving);
    loop {
        tokio::select! {
            _ = &mut serving => return,
            _ = sweep.tick() => connections.sweep(ADMIN_LIMITS),
        }
    }
}

/// Serves clients, within the limits that `clients` holds.
pub async fn serve_clients(socket: TcpListener, handler: RequestHandler, clients: Arc<ClientConnections>) {
    loop {
        let tcp = accept(&socket).await;
        if let Some(connection) = clients.admit().await {
            tokio::spawn(serve_client(tcp, handler.clone(), connection));
        }
    }
}

async fn serve_client(tcp: TcpStream, handler: RequestHandler, connection: Arc<ClientConnection>) {
    let mut http = http1::Builder::new();
    http.max_buf_size(connection.head_buffer());
    let io = TokioIo::new(ClientStream::new(tcp, connection.clone()));
    let service = service_fn(move |request| answer(request, handler.clone(), connection.clone()));
    let _ = http.serve_connection(io, service).await;
}

async fn answer(
    request: Request<Incoming>,
    handler: RequestHandler,
    connection: Arc<ClientConnection>,
) -> Result<Response<ServedBody>, Infallible> {
    if request.version() == Version::HTTP_10 {
        connection.set_ended_by_close();
    }
    let may_serve = connection.begin_request();
    let request = request.map(|incoming| RequestBody::new(incoming, connection.clone()));
    let mut response = match may_serve {
        true => handler(request).await,
        false => timeout_answer(),
    };
    if connection.is_cut() {
        response = timeout_answer();
    }
    if connection.is_outgrown() || connection.closes_after_answer() {
        response.headers_mut().insert("connection", HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| ServedBody::new(body, connection)))
}
