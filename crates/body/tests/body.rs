//! Tests of bodies and of the memory that they share.

use stoatstep_body::{Body, BodyBuilder, Memory};

fn built(stated: Option<usize>, parts: &[usize]) -> Body {
    let mut builder = BodyBuilder::new(stated);
    let mut next = 0u8;
    for len in parts {
        let part: Vec<u8> = (0..*len)
            .map(|_| {
                next = next.wrapping_add(1);
                next
            })
            .collect();
        let allocated = builder.allocated_with(part.len());
        builder.push(&part);
        assert_eq!(builder.allocated_with(0), allocated);
    }
    builder.finish(None)
}

#[test]
fn parts_of_any_size_make_the_same_body() {
    let whole = built(Some(200_000), &[200_000]);
    assert_eq!(whole.len(), 200_000);
    assert_eq!(built(None, &vec![1; 200_000]), whole);
    assert_eq!(built(None, &[70_000, 0, 130_000]), whole);
    let bytes = whole.to_bytes();
    assert_eq!(bytes.len(), 200_000);
    assert_eq!(Body::from(bytes), whole);
}

#[test]
fn a_body_of_stated_length_allocates_no_more() {
    let mut builder = BodyBuilder::new(Some(100_000));
    assert_eq!(builder.allocated_with(100_000), 100_000);
    builder.push(&vec![1; 100_000]);
    assert_eq!(builder.allocated_with(0), 100_000);
}

#[test]
fn a_share_leaves_the_rest_to_others() {
    let memory = Memory::new(100);
    let (requests, answers) = (memory.share(70), memory.share(60));
    let request = requests.lease(70).expect("nothing is leased");
    assert!(requests.lease(1).is_none(), "its share is used up");
    assert!(answers.lease(31).is_none(), "not as much is left");
    let answer = answers.lease(30).expect("as much is left");
    assert_eq!(memory.used(), 100);
    drop(request);
    assert_eq!((memory.used(), requests.used()), (30, 0));
    drop(answer);
    assert_eq!(memory.used(), 0);
}

#[test]
fn a_lease_that_cannot_grow_stays_as_it_is() {
    let memory = Memory::new(100);
    let mut lease = memory.lease(40).expect("nothing is leased");
    assert!(!lease.resize(101));
    assert_eq!((lease.bytes(), memory.used()), (40, 40));
    assert!(lease.resize(90) && lease.resize(20));
    assert_eq!(memory.used(), 20);
}

#[test]
fn clones_of_a_body_hold_its_lease() {
    let memory = Memory::new(100);
    let body = Body::new(vec![vec![0; 10].into()], memory.lease(10));
    let clone = body.clone();
    drop(body);
    assert_eq!(memory.used(), 10);
    drop(clone);
    assert_eq!(memory.used(), 0);
}
