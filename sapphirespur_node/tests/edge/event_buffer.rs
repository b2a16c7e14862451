//! Splitting a stream into whole events, however it is cut into pieces.

use quickcheck::quickcheck;
use sapphirespur_node::edge::event_buffer::EventBuffer;

/// Feeds the pieces and returns the events as text with their identifiers.
fn split(pieces: &[&str]) -> (Vec<(String, Option<u64>)>, usize) {
    let mut buf = EventBuffer::default();
    let mut events = Vec::new();
    for piece in pieces {
        buf.push(piece.as_bytes());
        while let Some(event) = buf.next_event() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, buf.len())
}

macro_rules! splits {
    ($($name:ident: $pieces:expr => [$(($text:expr, $id:expr)),*], $left:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let expected: Vec<(String, Option<u64>)> = vec![$(($text.to_owned(), $id)),*];
                assert_eq!(split(&$pieces), (expected, $left));
            }
        )*
    };
}

splits! {
    a_whole_event: ["id: 1\ndata: a\n\n"] => [("id: 1\ndata: a\n\n", Some(1))], 0;
    two_events_in_one_piece: ["id: 1\n\nid: 2\n\n"] => [("id: 1\n\n", Some(1)), ("id: 2\n\n", Some(2))], 0;
    an_event_in_many_pieces: ["i", "d: 1\nda", "ta: a", "\n", "\n"] => [("id: 1\ndata: a\n\n", Some(1))], 0;
    half_an_event_is_left: ["id: 1\n\nid: 2\nda"] => [("id: 1\n\n", Some(1))], 8;
    lines_may_end_with_a_return: ["id: 7\r\ndata: a\r\n\r\n"] => [("id: 7\r\ndata: a\r\n\r\n", Some(7))], 0;
    a_return_may_come_in_the_next_piece: ["id: 7\r\n\r", "\n"] => [("id: 7\r\n\r\n", Some(7))], 0;
    another_line_may_come_first: ["weight-versions: 2\nid: 3\n\n"] => [("weight-versions: 2\nid: 3\n\n", Some(3))], 0;
    an_event_without_a_number: ["data: a\n\n", "id: x\n\n"] => [("data: a\n\n", None), ("id: x\n\n", None)], 0;
    no_space_behind_the_colon: ["id:4\n\n"] => [("id:4\n\n", Some(4))], 0;
    nothing: [""] => [], 0;
}

quickcheck! {
    fn pieces_make_no_difference(sizes: Vec<u8>, count: u8) -> bool {
        let text: String =
            (1..=u64::from(count % 20)).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize))).collect();
        let mut pieces = Vec::new();
        let mut rest = text.as_str();
        for size in sizes {
            let (piece, after) = rest.split_at(usize::from(size).min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        split(&pieces) == split(&[&text])
    }
}
