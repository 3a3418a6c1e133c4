//! Tests of which requests have the same digest.

use crate::retry::RequestDigest;

const OWN: Option<&str> = Some("o1");

#[test]
fn a_repeat_has_the_digest_of_the_first_request() {
    let of = || RequestDigest::of(OWN, "POST", "h", "/p?q=1", b"body");
    assert_eq!(of(), of());
}

#[test]
fn requests_that_differ_in_any_part_have_other_digests() {
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
fn a_digest_is_read_back_from_text_and_from_bytes() {
    let digest = RequestDigest::of(OWN, "POST", "h", "/p", b"body");
    let text = serde_json::to_string(&digest).expect("text");
    assert_eq!(text, format!("\"{digest}\""));
    assert_eq!(
        serde_json::from_str::<RequestDigest>(&text).expect("a digest"),
        digest
    );
    assert!(serde_json::from_str::<RequestDigest>("\"12\"").is_err());
    let bytes = postcard::to_stdvec(&digest).expect("bytes");
    assert_eq!(
        postcard::from_bytes::<RequestDigest>(&bytes).expect("a digest"),
        digest
    );
}
