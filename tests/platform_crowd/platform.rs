//! What the platform gives to the processes: settings, a configuration, and the list of runners.

use super::{MAX_BODY_BYTES, MAX_DESCRIPTORS, MEMORY_MB};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The settings file of a process.
pub fn settings(
    role: &str,
    ip: Ipv4Addr,
    base: u16,
    list: SocketAddr,
    dir: &str,
    seeds: &[Ipv4Addr],
) -> String {
    let seeds: String = seeds.iter().map(|s| format!("  - \"{s}:{}\"\n", base + 1)).collect();
    let bindings = match role {
        "router" => format!("  FrontHttp: \"{ip}:{}\"\n  Readiness: \"{ip}:{}\"\n", base + 2, base + 1),
        _ => format!("  ControlPlane: \"{ip}:{}\"\n", base + 1),
    };
    let (list_port, list_ip) = (list.port(), list.ip());
    format!(
        "NodeName: \"{role}-{ip}\"\nIp: \"{ip}\"\nZone: \"hall-a\"\nBindings:\n{bindings}EphemeralPorts:\n  - {base}\n  \
         - {base}\nSeedPeers:\n{seeds}Bootstrap: true\nDataDir: {dir}\nLimits:\n  MemoryMb: {MEMORY_MB}\n  \
         MaxFds: {MAX_DESCRIPTORS}\nFaultTolerance:\n  Machines: 1\nTimers:\n  GraceS: 8\nCloudApi:\n  \
         Address: \"{list_ip}:{list_port}\"\n  RatePerS: 40.0\n  MaxLagMs: 800\n"
    )
}

/// A configuration with one service and a route of each kind that is not a stream.
pub fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Vhost":"a.example","PathPrefix":"/{name}/","TimeoutMs":600000,"TargetLatencyMs":200,
            "Backend":"s","MaxRetries":2,"RouteType":"{kind}"}}"#
        )
    };
    let routes = [route("idem", "idempotent"), route("once", "non_idempotent")].join(",");
    format!(
        r#"{{"Revision":1,"RouteMap":[{routes}],"Backends":[{{"Name":"s","HealthCheck":"/health","MaxConnections":360}}],
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":{MAX_BODY_BYTES},"HeaderTimeoutMs":3000,"IdleTimeoutMs":600000}}}}"#
    )
}

/// Serves the list of runners: the one runner at `runner`.
pub async fn serve_list(socket: TcpListener, runner: SocketAddr) {
    let body = format!(
        r#"{{"Instances":[{{"Backend":"s","Address":"{runner}","Zone":"hall-a","Revision":"v1","CapacitySlots":300,
        "OperState":"up","ColdRemainingMs":0,"Id":"i-1"}}],"NextToken":null}}"#
    );
    let text =
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    while let Ok((mut tcp, _)) = socket.accept().await {
        let text = text.clone();
        tokio::spawn(async move {
            let mut head = [0; 4096];
            let _ = tcp.read(&mut head).await;
            let _ = tcp.write_all(text.as_bytes()).await;
        });
    }
}
