//! Tests how much memory the bodies of requests take, and which of them are given up.

use std::future::pending;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use ntex::http::Payload;
use ntex::util::Bytes;
use stoatstep_body::Memory;
use stoatstep_http::{BodyError, BodyMemory, read_payload};
use tokio::time::{sleep, timeout};

const LARGEST: usize = 4 << 20;

fn memory() -> BodyMemory {
    BodyMemory::new(Memory::new(1 << 20), Memory::new(6 << 20), LARGEST)
}

/// A body that arrives in these parts; one that stalls never ends.
fn payload(parts: &[usize], stalls: bool) -> Payload {
    let parts: Vec<_> = parts
        .iter()
        .map(|len| Ok(Bytes::from(vec![b'x'; *len])))
        .collect();
    let parts = stream::iter(parts);
    if stalls {
        Payload::from_stream(parts.chain(stream::once(pending())))
    } else {
        Payload::from_stream(parts)
    }
}

async fn len(
    parts: &[usize],
    stated: Option<u64>,
    memory: &BodyMemory,
) -> Result<usize, BodyError> {
    let body = read_payload(&mut payload(parts, false), stated, memory).await;
    body.map(|it| it.len())
}

#[tokio::test]
async fn a_body_is_read_in_whatever_parts_it_arrives() {
    let memory = memory();
    assert_eq!(len(&[1000], Some(1000), &memory).await, Ok(1000));
    assert_eq!(len(&[], Some(0), &memory).await, Ok(0));
    assert_eq!(len(&vec![1; 5000], None, &memory).await, Ok(5000));
    assert_eq!(
        len(&[500_000, 1, 499_999], None, &memory).await,
        Ok(1_000_000)
    );
    let body = read_payload(&mut payload(&[70_000; 3], false), Some(210_000), &memory).await;
    let body = body.expect("it fits");
    assert_eq!((body.len(), memory.used()), (210_000, 210_000));
    drop(body);
    assert_eq!(memory.used(), 0);
}

/// Guards against a body over the limit that is read, whether it was announced or not.
#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let memory = memory();
    let too_large = Err(BodyError::TooLarge);
    assert_eq!(len(&[], Some(LARGEST as u64 + 1), &memory).await, too_large);
    assert_eq!(len(&[1 << 20; 5], None, &memory).await, too_large);
    assert_eq!(memory.used(), 0);
}

/// Guards against large bodies that fill the memory, and against small ones that wait for them.
#[tokio::test]
async fn without_memory_a_body_is_refused_and_a_small_one_is_read() {
    let memory = memory();
    let first = read_payload(
        &mut payload(&[LARGEST], false),
        Some(LARGEST as u64),
        &memory,
    )
    .await;
    let no_memory = Err(BodyError::NoMemory);
    assert_eq!(
        len(&[LARGEST], Some(LARGEST as u64), &memory).await,
        no_memory
    );
    assert_eq!(len(&[1 << 20; 4], None, &memory).await, no_memory);
    assert_eq!(len(&[1000], Some(1000), &memory).await, Ok(1000));
    drop(first);
    assert_eq!(
        len(&[LARGEST], Some(LARGEST as u64), &memory).await,
        Ok(LARGEST)
    );
}

/// Guards against a body that stops short and keeps others from being read.
#[tokio::test]
async fn a_body_that_has_stopped_makes_room_for_another() {
    let memory = memory();
    let mut stopped = payload(&[LARGEST - 1], true);
    let stopped = read_payload(&mut stopped, Some(LARGEST as u64), &memory);
    let other = async {
        let stated = Some(LARGEST as u64);
        assert_eq!(
            len(&[LARGEST], stated, &memory).await,
            Err(BodyError::NoMemory)
        );
        sleep(Duration::from_millis(1100)).await;
        len(&[LARGEST], stated, &memory).await
    };
    let both = timeout(Duration::from_secs(10), async {
        tokio::join!(stopped, other)
    })
    .await;
    let (stopped, other) = both.expect("neither waits for the other");
    assert_eq!(stopped.map(|it| it.len()), Err(BodyError::Stalled));
    assert_eq!(other, Ok(LARGEST));
}
