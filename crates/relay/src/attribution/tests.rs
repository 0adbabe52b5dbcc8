//! Attribution comes before anything that a response states.

use super::Position;
use super::Verdict;
use super::classify;
use super::classify_forwarded;
use crate::dialect::Rejection;
use crate::dialect::ResponseFacts;

const CALL: &str = "c1";

const FACTS: ResponseFacts<'_> =
    ResponseFacts { request_id: None, names_several: false, rejection: None, is_signed: false };

const REJECTIONS: [Option<Rejection>; 3] =
    [None, Some(Rejection::NotRun), Some(Rejection::Misdirected)];

#[test]
fn nothing_in_a_stray_response_is_believed() {
    for status in [200, 400, 421, 429, 500, 503] {
        for rejection in REJECTIONS {
            for position in [Position::First, Position::Later] {
                let facts =
                    ResponseFacts { request_id: Some("c0"), rejection, is_signed: true, ..FACTS };
                assert_eq!(classify(status, facts, Some(CALL), position), Verdict::Stray);
                assert_eq!(classify(status, facts, None, position), Verdict::Stray);
            }
            let facts = ResponseFacts { request_id: None, rejection, is_signed: true, ..FACTS };
            assert_eq!(classify(status, facts, Some(CALL), Position::Later), Verdict::Nameless);
            assert_eq!(classify(status, facts, None, Position::Later), Verdict::Nameless);
        }
    }
}

#[test]
fn a_rejection_of_the_call_itself_is_believed() {
    for (rejection, misdirected) in [(Rejection::NotRun, false), (Rejection::Misdirected, true)] {
        let not_run = Verdict::NotRun { misdirected };
        let facts = ResponseFacts {
            request_id: Some(CALL),
            rejection: Some(rejection),
            is_signed: false,
            ..FACTS
        };
        assert_eq!(classify(503, facts, Some(CALL), Position::Later), not_run);
        let nameless = ResponseFacts { request_id: None, ..facts };
        assert_eq!(classify(503, nameless, Some(CALL), Position::First), not_run);
    }
}

#[test]
fn a_success_is_signed_and_names_the_call() {
    let facts = ResponseFacts { request_id: Some(CALL), rejection: None, is_signed: true, ..FACTS };
    assert_eq!(classify(200, facts, Some(CALL), Position::Later), Verdict::Match);
    let unsigned = ResponseFacts { is_signed: false, ..facts };
    assert_eq!(classify(200, unsigned, Some(CALL), Position::First), Verdict::Invalid);
    let nameless = ResponseFacts { request_id: None, ..facts };
    assert_eq!(classify(200, nameless, Some(CALL), Position::First), Verdict::Invalid);
    assert_eq!(classify(500, unsigned, Some(CALL), Position::Later), Verdict::Match);
}

#[test]
fn a_contradictory_response_is_not_believed() {
    let rejected =
        ResponseFacts { request_id: Some(CALL), rejection: Some(Rejection::NotRun), ..FACTS };
    for position in [Position::First, Position::Later] {
        let several = ResponseFacts { names_several: true, ..rejected };
        assert_eq!(classify(503, several, Some(CALL), position), Verdict::Invalid);
        let signed = ResponseFacts { is_signed: true, ..rejected };
        assert_eq!(classify(200, signed, Some(CALL), position), Verdict::Invalid);
    }
}

#[test]
fn a_promise_needs_a_rejection() {
    for status in [408, 429, 503] {
        for (request_id, position) in
            [(Some(CALL), Position::First), (Some(CALL), Position::Later), (None, Position::First)]
        {
            for is_signed in [false, true] {
                let facts = ResponseFacts { request_id, rejection: None, is_signed, ..FACTS };
                assert_eq!(classify(status, facts, Some(CALL), position), Verdict::Unattested);
            }
        }
    }
}

#[test]
fn a_vm_promises_only_for_itself() {
    for status in [408, 429, 503] {
        let classify = |facts, is_attested| {
            classify_forwarded(status, facts, Some(CALL), Position::First, is_attested)
        };
        assert_eq!(classify(FACTS, true), Verdict::NotRun { misdirected: false });
        assert_eq!(classify(FACTS, false), Verdict::Unattested);
        let signed = ResponseFacts { is_signed: true, ..FACTS };
        assert_eq!(classify(signed, true), Verdict::Unattested);
        let relayed = ResponseFacts { request_id: Some(CALL), ..FACTS };
        assert_eq!(classify(relayed, true), Verdict::Unattested);
    }
    let failed = classify_forwarded(502, FACTS, Some(CALL), Position::First, true);
    assert_eq!(failed, Verdict::Match);
}
