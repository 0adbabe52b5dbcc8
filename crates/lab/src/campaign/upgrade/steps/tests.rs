//! Upgrades are reproducible and end on the new program.

use super::Program;
use super::Steps;

#[test]
fn all_vms_end_on_the_new_program() {
    for seed in 0..400 {
        let vms = 1 + (seed / 4) as usize % 5;
        let steps = Steps::from_seed(seed, vms);
        assert_eq!(steps, Steps::from_seed(seed, vms));
        assert!(steps.list.is_sorted_by_key(|it| it.at), "seed {seed}");
        for vm in 0..vms {
            let last = steps.list.iter().rfind(|it| it.vm == vm).expect("each VM has steps");
            assert_eq!(last.program, Program::New, "seed {seed}, VM {vm}");
        }
        assert!(steps.list.iter().all(|it| it.at < steps.length), "seed {seed}");
    }
}
