//! A stream is split into complete events, independent of its chunk boundaries.

use sapphirespur_core::edge::EventId::{self, NoEvent, Number, Unknown};
use sapphirespur_node::edge::event_buffer::EventBuffer;

/// Feeds the chunks and returns the events as text with their identifiers, and the number of bytes
/// left in the buffer.
fn split(chunks: &[&str]) -> (Vec<(String, EventId)>, usize) {
    let mut buf = EventBuffer::default();
    let mut events = Vec::new();
    for chunk in chunks {
        buf.push(chunk.as_bytes());
        while let Some(event) = buf.next_event() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, buf.len())
}

macro_rules! split_cases {
    ($($name:ident: $chunks:expr => [$(($text:expr, $id:expr)),*], $left_bytes:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let expected: Vec<(String, EventId)> = vec![$(($text.to_owned(), $id)),*];
                assert_eq!(split(&$chunks), (expected, $left_bytes));
            }
        )*
    };
}

split_cases! {
    complete_event_is_returned: ["id: 1\ndata: a\n\n"] => [("id: 1\ndata: a\n\n", Number(1))], 0;
    two_events_in_one_chunk_are_split: ["id: 1\n\nid: 2\n\n"] => [("id: 1\n\n", Number(1)), ("id: 2\n\n", Number(2))], 0;
    event_in_many_chunks_is_joined: ["i", "d: 1\nda", "ta: a", "\n", "\n"] => [("id: 1\ndata: a\n\n", Number(1))], 0;
    incomplete_event_stays_buffered: ["id: 1\n\nid: 2\nda"] => [("id: 1\n\n", Number(1))], 8;
    crlf_line_ends_are_accepted: ["id: 7\r\ndata: a\r\n\r\n"] => [("id: 7\r\ndata: a\r\n\r\n", Number(7))], 0;
    crlf_may_be_split_between_chunks: ["id: 7\r\n\r", "\n"] => [("id: 7\r\n\r\n", Number(7))], 0;
    id_is_found_after_other_fields: ["weight-versions: 2\nid: 3\n\n"] => [("weight-versions: 2\nid: 3\n\n", Number(3))], 0;
    missing_or_non_numeric_id_is_unknown: ["data: a\n\n", "id: x\n\n"] => [("data: a\n\n", Unknown), ("id: x\n\n", Unknown)], 0;
    id_with_a_spoilt_name_is_unknown: ["ie: 1\ndata: a\n\n"] => [("ie: 1\ndata: a\n\n", Unknown)], 0;
    head_of_a_response_is_unknown: ["HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"] => [("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", Unknown)], 0;
    comments_and_delays_are_no_event: [": a\r\n\r\n", "retry: 10\n:b\n\n"] => [(": a\r\n\r\n", NoEvent), ("retry: 10\n:b\n\n", NoEvent)], 0;
    space_after_colon_is_optional: ["id:4\n\n"] => [("id:4\n\n", Number(4))], 0;
    empty_chunk_has_no_event: [""] => [], 0;
}

properties! {
    fn events_do_not_depend_on_chunk_boundaries(sizes: Vec<u8>, count: u8) -> bool {
        let text: String =
            (1..=u64::from(count % 20)).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize))).collect();
        let mut chunks = Vec::new();
        let mut rest = text.as_str();
        for size in sizes {
            let (chunk, after) = rest.split_at(usize::from(size).min(rest.len()));
            chunks.push(chunk);
            rest = after;
        }
        chunks.push(rest);
        split(&chunks) == split(&[&text])
    }
}
