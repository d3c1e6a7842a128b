//! The size of a request head.

use hyper::Request;

/// The size of a request head as it was received, in bytes, without optional white space around values.
pub fn head_bytes<B>(request: &Request<B>) -> u64 {
    const LINE: usize = "  HTTP/1.1\r\n".len();
    const HEADER: usize = ": \r\n".len();
    const END: usize = "\r\n".len();
    let target = request.uri().path_and_query().map_or(0, |p| p.as_str().len());
    let first = request.method().as_str().len() + target + LINE;
    let rows = request.headers().iter().map(|(k, v)| k.as_str().len() + v.len() + HEADER);
    (first + rows.sum::<usize>() + END) as u64
}
