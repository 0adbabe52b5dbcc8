//! Requests of a run, drawn at random.

use std::collections::HashMap;
use std::time::Duration;

use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::PromptPart;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::Request;
use crate::fleet::Fleet;
use crate::load::Load;
use crate::load::Traffic;

/// Standard deviation of the natural logarithm of prompt and response sizes.
const SIZE_LOG_DEVIATION: f64 = 0.8;

/// Number of tokens in one event of a stream.
const TOKENS_PER_EVENT: f64 = 4.0;

/// Draws the requests of a run at random, with Poisson arrivals of each kind of traffic.
pub(super) fn requests(fleet: &Fleet, load: &Load, seed: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut parents = HashMap::new();
    for (kind, traffic) in load.traffic.iter().enumerate() {
        let mut at = Duration::ZERO;
        loop {
            let rate =
                traffic.requests_per_s * load.rate_factor(traffic.name, at).max(f64::MIN_POSITIVE);
            let uniform: f64 = rng.random();
            at += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if at >= load.duration {
                break;
            }
            let number = requests.len();
            requests.push(Request {
                kind,
                vm: rng.random_range(0..fleet.vms),
                arrived: at,
                prompt: prompt(
                    traffic,
                    kind,
                    number,
                    load.hot_prefix_share,
                    &mut rng,
                    &mut parents,
                ),
                tokens: (draw_size(&mut rng, traffic.mean_events) * TOKENS_PER_EVENT).max(1.0)
                    as u32,
                attempt: 0,
                engine: None,
                first_event: None,
                last_event: None,
                longest_gap: Duration::ZERO,
                gaps: Vec::new(),
                outcome: None,
            });
        }
    }
    requests
}

/// Draws a prompt at random. A shared part always follows the same variant of the part before it,
/// its parent, so that equal parts have equal prefixes.
fn prompt(
    traffic: &Traffic,
    kind: usize,
    number: usize,
    hot_prefix_share: f64,
    rng: &mut Pcg64Mcg,
    parents: &mut HashMap<(usize, usize, u64), u64>,
) -> Prompt {
    let mut variants = Vec::new();
    // Nothing is drawn without a hot prefix, which keeps the random sequence of those loads.
    let is_hot = hot_prefix_share > 0.0 && rng.random_bool(hot_prefix_share);
    for (level, shared) in traffic.shared_parts.iter().enumerate().rev() {
        let drawn = if is_hot { 0 } else { rng.random_range(0..shared.variants) };
        let variant = match variants.last() {
            None => drawn,
            Some(child) => *parents.entry((kind, level, *child)).or_insert(drawn),
        };
        variants.push(variant);
    }
    variants.reverse();
    let shared = traffic.shared_parts.iter().zip(&variants).enumerate();
    let mut parts: Vec<PromptPart> = shared
        .map(|(level, (part, variant))| PromptPart {
            id: (kind as u64 + 1) << 48 | (level as u64 + 1) << 40 | variant,
            tokens: part.tokens,
        })
        .collect();
    let unique_tokens = draw_size(rng, traffic.mean_unique_tokens).max(1.0) as u32;
    parts.push(PromptPart { id: u64::MAX - number as u64, tokens: unique_tokens });
    let input_tokens = parts.iter().map(|it| it.tokens).sum();
    Prompt { input_tokens, output_tokens: 0, parts }
}

/// Draws a size from a log-normal distribution with this mean, by the transform of Box and Muller
/// (1958).
fn draw_size(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIZE_LOG_DEVIATION * normal - SIZE_LOG_DEVIATION * SIZE_LOG_DEVIATION / 2.0).exp()
}
