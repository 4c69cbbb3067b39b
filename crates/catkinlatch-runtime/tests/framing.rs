//! How a response tells where its body ends.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_runtime::http::Framing;
use http::{Response, Version};
use test_case::test_case;

#[test_case(Version::HTTP_11, &[], Some(0) => Framing::Explicit; "a length")]
#[test_case(Version::HTTP_11, &[("transfer-encoding", "chunked")], None => Framing::Explicit; "chunks")]
#[test_case(Version::HTTP_11, &[("transfer-encoding", "gzip, Chunked")], None => Framing::Explicit; "chunks last")]
#[test_case(Version::HTTP_11, &[("transfer-encoding", "gzip")], None => Framing::Missing; "no chunks")]
#[test_case(Version::HTTP_11, &[], None => Framing::Missing; "nothing")]
#[test_case(Version::HTTP_11, &[("connection", "keep-alive")], None => Framing::Missing; "a connection that is kept")]
#[test_case(Version::HTTP_11, &[("connection", "x, Close")], None => Framing::Connection; "a connection that closes")]
#[test_case(Version::HTTP_10, &[], None => Framing::Connection; "a connection of the earlier protocol")]
fn the_head_tells_where_the_body_ends(
    version: Version,
    headers: &[(&str, &str)],
    length: Option<u64>,
) -> Framing {
    let mut response = Response::builder().version(version);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    Framing::new(&response.body(()).unwrap().into_parts().0, length)
}
