//! A promise that a call was not run needs the evidence of all attempts.

use cranberryvalve_policy::execution::Execution;
use quickcheck::quickcheck;

const EVIDENCE: [Execution; 4] =
    [Execution::NotSent, Execution::Refused, Execution::Unknown, Execution::Ran];

fn attempts(numbers: &[u8]) -> Vec<Execution> {
    numbers.iter().map(|it| EVIDENCE[usize::from(*it) % EVIDENCE.len()]).collect()
}

fn total(attempts: &[Execution]) -> Execution {
    let mut execution = Execution::default();
    attempts.iter().for_each(|it| execution.record(*it));
    execution
}

quickcheck! {
    fn no_promise_after_an_attempt_that_may_have_run(numbers: Vec<u8>) -> bool {
        let attempts = attempts(&numbers);
        let may_have_run = attempts.iter().any(|it| matches!(it, Execution::Unknown | Execution::Ran));
        let execution = total(&attempts);
        execution.prove_not_run().is_none() == may_have_run
            && execution.may_have_run() == may_have_run
    }

    fn the_order_of_attempts_does_not_matter(numbers: Vec<u8>) -> bool {
        let mut attempts = attempts(&numbers);
        let forwards = total(&attempts);
        attempts.reverse();
        total(&attempts) == forwards
    }
}

#[test]
fn a_run_outweighs_all_else() {
    let attempts = [Execution::Ran, Execution::Unknown, Execution::Refused, Execution::NotSent];
    let totals: Vec<Execution> = (0..attempts.len()).map(|it| total(&attempts[it..])).collect();
    assert_eq!(totals, attempts);
}
