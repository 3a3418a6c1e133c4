//! Tests of which requests have the same digest.

use crate::retry::RequestDigest;

const OWN: Option<&str> = Some("o1");

#[test]
fn a_repeat_has_the_digest_of_the_first_request() {
    let of = || RequestDigest::of(OWN, "POST", "h", "/p?q=1", b"body");
    assert_eq!(of(), of());
}

#[test]
fn requests_that_differ_in_any_part_have_different_digests() {
    let all = [
        RequestDigest::of(OWN, "POST", "h", "/p", b"body"),
        RequestDigest::of(Some("o2"), "POST", "h", "/p", b"body"),
        RequestDigest::of(None, "POST", "h", "/p", b"body"),
        RequestDigest::of(OWN, "PUT", "h", "/p", b"body"),
        RequestDigest::of(OWN, "POST", "h/", "p", b"body"),
        RequestDigest::of(OWN, "POST", "h", "/p", b"bod"),
        RequestDigest::of(OWN, "POST", "h", "/pb", b"ody"),
    ];
    for (n, one) in all.iter().enumerate() {
        assert!(!all[n + 1..].contains(one), "{one}");
    }
}

#[test]
fn digest_round_trips_through_text_and_bytes() {
    let digest = RequestDigest::of(OWN, "POST", "h", "/p", b"body");
    let text = serde_json::to_string(&digest).expect("a digest serialises to JSON");
    assert_eq!(text, format!("\"{digest}\""));
    assert_eq!(
        serde_json::from_str::<RequestDigest>(&text).expect("JSON of a digest"),
        digest
    );
    assert!(serde_json::from_str::<RequestDigest>("\"12\"").is_err());
    let bytes = postcard::to_stdvec(&digest).expect("a digest serialises to postcard");
    assert_eq!(
        postcard::from_bytes::<RequestDigest>(&bytes).expect("postcard bytes of a digest"),
        digest
    );
}
