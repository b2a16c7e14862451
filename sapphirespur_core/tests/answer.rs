//! Answer framing under loss, repetition and reordering of frames.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use sapphirespur_core::answer::{
    AnswerLog, AnswerReader, FRAME_TIMEOUT, FrameAction, FrameKind, Recovery,
};
use sapphirespur_core::request::AttemptId;
use sapphirespur_core::time::Time;

const OWN: AttemptId = AttemptId { incarnation: 1, counter: 1 };
const OTHER: AttemptId = AttemptId { incarnation: 1, counter: 2 };
const NOW: Time = Time::from_micros(1_000_000);

macro_rules! cases {
    ($($name:ident: [$(($attempt:expr, $number:expr, $kind:ident)),*] => $action:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut reader = AnswerReader::new(NOW, OWN);
                let frames = [$(($attempt, $number, FrameKind::$kind)),*];
                let actions = frames.map(|(a, n, kind)| reader.on_frame(NOW, a, n, kind));
                assert_eq!(actions.last(), Some(&FrameAction::$action));
            }
        )*
    };
}

cases! {
    first_frame_is_delivered: [(OWN, 0, Content)] => Deliver;
    next_frame_is_delivered: [(OWN, 0, Content), (OWN, 1, Content)] => Deliver;
    repeated_frame_is_dropped: [(OWN, 0, Content), (OWN, 0, Content)] => Drop;
    gap_is_resumed: [(OWN, 0, Content), (OWN, 2, Content)] => Resume;
    frame_of_another_attempt_is_dropped: [(OTHER, 0, Content)] => Drop;
    end_of_another_attempt_is_dropped: [(OWN, 0, Content), (OTHER, 1, End)] => Drop;
    end_with_matching_count_completes: [(OWN, 0, Content), (OWN, 1, End)] => Complete;
    end_after_a_gap_is_resumed: [(OWN, 0, Content), (OWN, 2, End)] => Resume;
    end_with_lower_count_is_dropped: [(OWN, 0, Content), (OWN, 0, End)] => Drop;
    keep_alive_is_dropped: [(OWN, 0, KeepAlive)] => Drop;
    keep_alive_with_higher_number_is_resumed: [(OWN, 1, KeepAlive)] => Resume;
}

#[test]
fn interrupted_answer_is_given_up_after_three_resumes_without_progress() {
    let mut reader = AnswerReader::new(NOW, OWN);
    reader.on_frame(NOW, OWN, 0, FrameKind::Content);
    for _ in 0..3 {
        assert_eq!(reader.on_interrupted(NOW), Recovery::Resume { from: 1 });
    }
    assert_eq!(reader.on_interrupted(NOW), Recovery::GiveUp);
}

#[test]
fn delivered_frame_resets_the_resume_limit() {
    let mut reader = AnswerReader::new(NOW, OWN);
    for number in 0..20 {
        assert_eq!(reader.on_interrupted(NOW), Recovery::Resume { from: number });
        assert_eq!(reader.on_frame(NOW, OWN, number, FrameKind::Content), FrameAction::Deliver);
    }
}

#[test]
fn idle_deadline_counts_from_the_last_frame_of_the_own_attempt() {
    let mut reader = AnswerReader::new(NOW, OWN);
    let later = NOW + Duration::from_secs(1);
    reader.on_frame(later, OTHER, 0, FrameKind::KeepAlive);
    assert_eq!(reader.idle_deadline(), NOW + FRAME_TIMEOUT);
    reader.on_frame(later, OWN, 0, FrameKind::KeepAlive);
    assert_eq!(reader.idle_deadline(), later + FRAME_TIMEOUT);
}

/// A complete answer equals the written one, whichever frames are lost, repeated or reordered.
#[test]
fn complete_answer_equals_the_written_one() {
    fn property(count: u8, noise: Vec<(u8, u8)>) -> bool {
        let mut log = AnswerLog::new(usize::MAX);
        for number in 0..u64::from(count) {
            log.push(1, number);
        }

        let mut reader = AnswerReader::new(NOW, OWN);
        let mut read = Vec::new();
        let mut noise = noise.into_iter();
        let mut next = 0_u64;
        loop {
            // Loses or repeats a frame, sends one of another attempt, or sends the next one.
            let (attempt, number) = match noise.next() {
                Some((0..=63, _)) => (OWN, next + 1),
                Some((64..=127, back)) => (OWN, next.saturating_sub(u64::from(back % 3))),
                Some((128..=191, _)) => (OTHER, next),
                Some(_) | None => (OWN, next),
            };
            let kind = if number >= log.next() { FrameKind::End } else { FrameKind::Content };
            let number = number.min(log.next());
            match reader.on_frame(NOW, attempt, number, kind) {
                FrameAction::Deliver => {
                    read.push(log.get(number));
                    next = number + 1;
                }
                FrameAction::Drop => {}
                FrameAction::Resume => match reader.on_interrupted(NOW) {
                    Recovery::Resume { from } => next = from,
                    Recovery::GiveUp => return true,
                },
                FrameAction::Complete => break,
            }
        }

        read == (0..u64::from(count)).map(Some).collect::<Vec<_>>()
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(500)
        .quickcheck(property as fn(u8, Vec<(u8, u8)>) -> bool);
}

#[test]
fn log_retains_the_last_frames_within_its_byte_limit() {
    let mut log = AnswerLog::new(10);
    for number in 0..5 {
        assert_eq!(log.push(4, number), number);
    }

    assert_eq!(log.get(2), None);
    assert_eq!(log.get(3), Some(3));
    assert!(!log.can_resume(2));
    assert!(log.can_resume(3));
    assert!(log.can_resume(5));
    assert!(!log.can_resume(6));
}

#[test]
fn log_retains_a_last_frame_larger_than_its_byte_limit() {
    let mut log = AnswerLog::new(10);
    log.push(100, "large");
    assert_eq!(log.get(0), Some("large"));
}
