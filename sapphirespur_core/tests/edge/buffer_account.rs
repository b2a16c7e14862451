//! Responses without end leave memory for others.

use sapphirespur_core::edge::BufferAccount;

/// Limit of the account, and the piece by which a message grows, in bytes: those of the smallest VM.
const LIMIT: usize = 22 * 1024 * 1024;
const PIECE: usize = 16 * 1024;

/// Lets `count` messages grow in turn until none may any more; returns the account and what each holds.
fn fill(count: usize) -> (BufferAccount, Vec<usize>) {
    let mut account = BufferAccount::default();
    let mut messages = vec![0; count];
    loop {
        let mut has_grown = false;
        for own in &mut messages {
            if account.try_grow(LIMIT, *own, PIECE) {
                *own += PIECE;
                has_grown = true;
            }
        }
        if !has_grown {
            return (account, messages);
        }
    }
}

macro_rules! room_for_others {
    ($($name:ident: $count:expr;)*) => {
        $(
            // LOST: responses without end fill the memory for responses, and sound ones are ended for them.
            #[test]
            fn $name() {
                let (mut account, messages) = fill($count);
                assert_eq!(account.held(), messages.iter().sum::<usize>());
                let free = LIMIT - account.held();
                assert!(free >= LIMIT / (1 + 2 * $count) - PIECE, "{free}");
                assert!(account.try_grow(LIMIT, 0, free / 2), "a sound response");
            }
        )*
    };
}

room_for_others! {
    one_response_without_end_leaves_a_third: 1;
    ten_responses_without_end_leave_room: 10;
    two_hundred_responses_without_end_leave_room: 200;
    three_hundred_responses_without_end_leave_room: 300;
}

// Guards against a response that is refused for small ones, or that can never be as large as the router allows.
#[test]
fn response_alone_may_hold_two_thirds_of_the_limit() {
    let (account, _) = fill(1);
    assert!(account.held() > LIMIT / 3 * 2 - PIECE, "{}", account.held());
    assert_eq!(account.highest(), account.held());
}

// Guards against a large response that keeps what small ones need: the largest stops growing first.
#[test]
fn largest_response_stops_first() {
    let (mut account, messages) = fill(4);
    assert!(!account.try_grow(LIMIT, messages[0], PIECE));
    assert!(account.try_grow(LIMIT, PIECE, PIECE), "one that has just begun");
}

properties! {
    // Guards against bytes that are counted twice or never, and against more than the limit.
    fn limit_holds_for_any_messages(steps: Vec<(u8, u16, bool)>) -> bool {
        let mut account = BufferAccount::default();
        let mut messages = [0_usize; 8];
        steps.into_iter().all(|(index, bytes, ends)| {
            let own = &mut messages[usize::from(index) % 8];
            let bytes = usize::from(bytes) * 256;
            if ends {
                account.release(std::mem::take(own));
            } else if account.try_grow(LIMIT, *own, bytes) {
                *own += bytes;
            }
            account.held() == messages.iter().sum::<usize>() && account.highest() <= LIMIT
        })
    }
}
