//! The client's side of HTTP/1.1 in tests: the text of a request, and reading and taking apart answers.

use super::LONG;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The bytes of a GET request; `more` are further header lines.
pub fn request_text(id: &str, path: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n{more}\r\n")
}

/// Reads until the connection ends, in order or by a reset.
pub async fn read_to_end(link: &mut TcpStream) -> String {
    let mut out = Vec::new();
    let read = tokio::time::timeout(LONG, link.read_to_end(&mut out)).await;
    assert!(read.is_ok(), "no end after {:?}", String::from_utf8_lossy(&out));
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one answer with a `Content-Length` from a connection that stays open.
pub async fn read_answer(link: &mut TcpStream) -> String {
    let mut out = Vec::new();
    let work = async {
        loop {
            let text = String::from_utf8_lossy(&out).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n")
                && header(head, "content-length").is_some_and(|n| n.parse() == Ok(body.len()))
            {
                return text;
            }
            if link.read_buf(&mut out).await.unwrap_or(0) == 0 {
                return text;
            }
        }
    };
    tokio::time::timeout(LONG, work).await.expect("an answer")
}

/// The value of the first header line named `key`, in any case of letters.
pub fn header<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let head = text.split("\r\n\r\n").next()?;
    let rows = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    rows.filter(|(k, _)| k.eq_ignore_ascii_case(key)).map(|(_, v)| v.trim()).next()
}

/// The status of an answer; 0 if it has none.
pub fn status(text: &str) -> u16 {
    text.split(' ').nth(1).and_then(|t| t.parse().ok()).unwrap_or(0)
}

/// The body of an answer, if its framing says that it is complete.
pub fn body(text: &str) -> Option<String> {
    let (head, mut raw) = text.split_once("\r\n\r\n")?;
    if let Some(n) = header(head, "content-length") {
        return (n.parse() == Ok(raw.len())).then(|| raw.to_string());
    }
    header(head, "transfer-encoding")?;
    let mut out = String::new();
    loop {
        let (size, more) = raw.split_once("\r\n")?;
        let n = usize::from_str_radix(size, 16).ok()?;
        if n == 0 {
            return (more == "\r\n").then_some(out);
        }
        out.push_str(more.get(..n)?);
        raw = more.get(n..)?.strip_prefix("\r\n")?;
    }
}
