use std::time::Duration;

use stoatstep_calls::{Band, LargeMessage, MessageNumber, Uplink};

const MS: Duration = Duration::from_millis(1);
const NOW: Duration = Duration::from_secs(1);

fn answer(bytes: usize, band: Band, due: Duration) -> LargeMessage {
    LargeMessage { bytes, band, due }
}

/// A link of 9 Mbit/s, of which 1,012,500 bytes per second are usable.
fn slow_link() -> Uplink {
    Uplink::new(Some(1_125_000.0))
}

#[test]
fn chunks_follow_the_rate_of_the_link() {
    let mut link = slow_link();
    let chunk = link.chunk_bytes();
    assert!((8_000..8_200).contains(&chunk), "{chunk}");
    let now = MS * 1_000;
    assert_eq!(link.until_free(now), Duration::ZERO);
    link.record_sent(chunk, now);
    let wait = link.until_free(now);
    assert!(wait > MS * 5 && wait < MS * 8, "{wait:?}");
    assert_eq!(link.until_free(now + MS * 8), Duration::ZERO);
}

/// Downloads of 90 KB arrive faster than the link can send them. The first ones must be
/// accepted. A download that would be late must be refused before its target works on it,
/// with the time after which there is room.
#[test]
fn answers_that_the_link_cannot_deliver_in_time_are_refused() {
    let mut link = slow_link();
    let (run, objective) = (MS * 100, MS * 600);
    let mut accepted = 0;
    let after = loop {
        match link.check_capacity(90_000.0, run, objective, Band::InTime, NOW) {
            Ok(()) => link.expect_answer(accepted, 90_000.0, Band::InTime, NOW),
            Err(after) => break after,
        }
        accepted += 1;
        assert!(accepted < 100, "nothing is refused");
    };
    assert_eq!(accepted, 6, "six times 89 ms");
    assert!(after < MS * 89, "{after:?}");
    link.answer_completed(0);
    assert_eq!(
        link.check_capacity(90_000.0, run, objective, Band::InTime, NOW),
        Ok(())
    );
}

#[test]
fn small_answers_are_never_refused_for_the_link() {
    let mut link = slow_link();
    for attempt in 0..20 {
        link.expect_answer(attempt, 90_000.0, Band::InTime, NOW);
    }
    assert!(
        link.check_capacity(90_000.0, MS, MS * 600, Band::InTime, NOW)
            .is_err()
    );
    assert_eq!(
        link.check_capacity(5_000.0, MS, MS * 600, Band::InTime, NOW),
        Ok(())
    );
}

/// An answer that takes longer than its objective even on an idle link must be accepted: a
/// late answer is better than none, and no other answer waits.
#[test]
fn an_idle_link_accepts_an_answer_of_any_size() {
    let mut link = slow_link();
    assert_eq!(
        link.check_capacity(5_000_000.0, MS, MS * 600, Band::InTime, NOW),
        Ok(())
    );
    let queued = link.record_queued(answer(90_000, Band::InTime, NOW * 5));
    assert!(
        link.check_capacity(5_000_000.0, MS, MS * 600, Band::InTime, NOW)
            .is_err()
    );
    link.record_chunk(queued, 90_000);
    assert_eq!(
        link.check_capacity(5_000_000.0, MS, MS * 600, Band::InTime, NOW),
        Ok(())
    );
}

#[test]
fn a_link_of_unknown_rate_delays_nothing() {
    let mut link = Uplink::new(None);
    link.record_sent(50_000_000, MS);
    assert_eq!(link.until_free(MS), Duration::ZERO);
    link.expect_answer(1, 5e9, Band::InTime, NOW);
    assert_eq!(link.backlog(Band::Late), Duration::ZERO);
    assert_eq!(link.check_capacity(5e9, MS, MS, Band::InTime, NOW), Ok(()));
}

/// Sends all queued messages at the rate of the link, and returns when each was sent.
fn send_all(link: &mut Uplink, messages: &[(MessageNumber, usize)]) -> Vec<Duration> {
    let mut rest: Vec<usize> = messages.iter().map(|(_, bytes)| *bytes).collect();
    let mut sent_at = vec![Duration::ZERO; messages.len()];
    let mut now = NOW;
    while let Some(next) = link.next(|_| true, now) {
        let chunk = link.chunk_bytes();
        let at = messages.iter().position(|(number, _)| *number == next);
        let at = at.expect("a queued message");
        let bytes = chunk.min(rest[at]);
        rest[at] -= bytes;
        link.record_chunk(next, bytes);
        now += Duration::from_secs_f64(f64::from(u32::try_from(bytes).unwrap()) / 1_012_500.0);
        sent_at[at] = now;
    }
    sent_at
}

/// Guards against late answers that wait behind those in time until their callers have left.
#[test]
fn a_late_answer_is_sent_before_it_is_due() {
    let mut link = slow_link();
    let late = link.record_queued(answer(100_000, Band::Late, NOW + MS * 2_000));
    let mut messages = vec![(late, 100_000)];
    for _ in 0..60 {
        let in_time = link.record_queued(answer(50_000, Band::InTime, NOW + MS * 4_000));
        messages.push((in_time, 50_000));
    }
    let sent_at = send_all(&mut link, &messages);
    assert!(sent_at[0] < NOW + MS * 2_000, "{:?}", sent_at[0]);
    assert!(
        sent_at[0] > NOW + MS * 1_500,
        "others went first: {:?}",
        sent_at[0]
    );
}

/// Guards against answers that can't be sent in time any more and delay those that can.
#[test]
fn an_answer_that_cannot_be_sent_before_it_is_due_delays_no_other() {
    let mut link = slow_link();
    let hopeless = link.record_queued(answer(900_000, Band::Late, NOW + MS * 500));
    let small = link.record_queued(answer(200_000, Band::Late, NOW + MS * 450));
    let in_time = link.record_queued(answer(50_000, Band::InTime, NOW + MS * 4_000));
    let sent_at = send_all(
        &mut link,
        &[(hopeless, 900_000), (small, 200_000), (in_time, 50_000)],
    );
    assert!(sent_at[1] < NOW + MS * 450, "{sent_at:?}");
    assert!(sent_at[2] < NOW + MS * 450, "{sent_at:?}");
}

#[test]
fn with_slack_answers_in_time_and_smaller_ones_go_first() {
    let mut link = slow_link();
    let due = NOW + MS * 10_000;
    let late = link.record_queued(answer(50_000, Band::Late, due));
    let large = link.record_queued(answer(200_000, Band::InTime, due));
    let small = link.record_queued(answer(50_000, Band::InTime, due));
    let sent_at = send_all(
        &mut link,
        &[(late, 50_000), (large, 200_000), (small, 50_000)],
    );
    assert!(
        sent_at[2] < sent_at[1] && sent_at[1] < sent_at[0],
        "{sent_at:?}"
    );
}

/// Guards against answers in time that are admitted although late ones are due before them.
#[test]
fn an_answer_in_time_waits_for_late_ones_that_are_due() {
    let (run, objective) = (MS * 100, MS * 600);
    let mut link = slow_link();
    let check = |link: &Uplink| link.check_capacity(90_000.0, run, objective, Band::InTime, NOW);
    link.record_queued(answer(600_000, Band::Late, NOW + MS * 3_000));
    assert_eq!(check(&link), Ok(()));
    link.record_queued(answer(600_000, Band::Late, NOW + MS * 700));
    let after = check(&link).expect_err("the link is taken");
    assert!(after < MS * 100, "{after:?}");
}
