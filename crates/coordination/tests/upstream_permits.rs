//! Upstreams that name a rate limit get no more requests than it allows from all VMs together.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::permits::PERMIT_LIFETIME;
use cranberryvalve_coordination::permits::PermitIssuer;
use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::RateLimitNotice;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

fn request(limit_per_s: Option<f64>, age_ms: u64, incarnation: u64) -> PermitRequest {
    let notice = RateLimitNotice { limit_per_s, age: Duration::from_millis(age_ms) };
    PermitRequest { upstream: "engine-1".into(), incarnation, notice }
}

/// Lets VMs that always have a request ask for permits for a time, and use them at random moments of
/// their lifetime. Returns the moments at which requests were sent, in seconds.
fn send_times(vms: usize, limit_per_s: f64, seconds: u64, seed: u64) -> Vec<f64> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let start = Instant::now();
    let mut issuer = PermitIssuer::default();
    let mut asks_at_ms: Vec<u64> = (0..vms).map(|_| rng.random_range(0..1_000)).collect();
    let mut sent = Vec::new();
    for ms in 0..seconds * 1_000 {
        for asks_at_ms in &mut asks_at_ms {
            if *asks_at_ms != ms {
                continue;
            }
            let now = start + Duration::from_millis(ms);
            let request = request(Some(limit_per_s), rng.random_range(0..500), 1);
            *asks_at_ms = match issuer.decide(now, &request, 1.0) {
                PermitVerdict::Granted(lifetime) => {
                    let used_after_s = lifetime.as_secs_f64() * rng.random_range(0.0..1.0);
                    sent.push(ms as f64 / 1_000.0 + used_after_s);
                    ms + 5
                }
                PermitVerdict::NotBefore(delay) => ms + delay.as_millis() as u64 + 1,
                PermitVerdict::Lifted => panic!("the limit was not lifted"),
            };
        }
    }
    sent.sort_by(f64::total_cmp);
    sent
}

/// Returns the most requests in any window.
fn most_within(times_s: &[f64], window_s: f64) -> usize {
    let counts = times_s.iter().enumerate().map(|(index, start)| {
        times_s[index..].iter().take_while(|it| **it < start + window_s).count()
    });
    counts.max().unwrap_or_default()
}

#[test]
fn hundreds_of_vms_stay_within_a_limit() {
    for (seed, limit_per_s) in [(0, 0.4), (1, 1.0), (2, 2.5), (3, 17.0), (4, 90.0)] {
        let sent = send_times(340, limit_per_s, 20, seed);
        let most = most_within(&sent, 4.0);
        assert!(most as f64 <= 1.5 * 4.0 * limit_per_s + 5.0, "{limit_per_s}/s: {most}");
        let mean_per_s = sent.len() as f64 / 20.0;
        assert!(mean_per_s >= 0.8 * limit_per_s, "{limit_per_s}/s: {mean_per_s}");
    }
}

#[test]
fn latest_word_of_an_upstream_counts() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut issuer = PermitIssuer::default();
    let granted = PermitVerdict::Granted(PERMIT_LIFETIME);
    assert_eq!(issuer.decide(now, &request(Some(1.0), 0, 1), 1.0), granted);
    let later = now + Duration::from_millis(500);
    let wait = PermitVerdict::NotBefore(Duration::from_millis(500));
    // The upstream lifted the limit before it named it again.
    assert_eq!(issuer.decide(later, &request(None, 600, 1), 1.0), wait);
    assert_eq!(issuer.decide(later, &request(None, 0, 1), 1.0), PermitVerdict::Lifted);
    let outdated = request(Some(1.0), 50, 1);
    assert_eq!(issuer.decide(later, &outdated, 1.0), PermitVerdict::Lifted);
}

#[test]
fn later_start_of_an_upstream_begins_anew() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut issuer = PermitIssuer::default();
    let granted = PermitVerdict::Granted(PERMIT_LIFETIME);
    assert_eq!(issuer.decide(now, &request(Some(1.0), 200, 1), 1.0), granted);
    assert_eq!(issuer.decide(now, &request(Some(1.0), 0, 2), 1.0), granted);
    let verdict = issuer.decide(now, &request(Some(1.0), 100, 1), 1.0);
    assert!(matches!(verdict, PermitVerdict::NotBefore(_)), "{verdict:?}");
}

quickcheck! {
    /// Whatever limits VMs claim to have heard, permits stay within the highest of them.
    fn permits_stay_within_the_highest_limit(words: Vec<(u8, u8, u16)>) -> bool {
        let start = Instant::now();
        let mut issuer = PermitIssuer::default();
        let mut now = start;
        let (mut granted, mut highest): (f64, f64) = (0.0, 0.1);
        for (limit, age, pause_ms) in words {
            now += Duration::from_millis(u64::from(pause_ms % 700));
            let limit_per_s = f64::from(limit) / 10.0;
            highest = highest.max(limit_per_s);
            let request = request(Some(limit_per_s), u64::from(age), 1);
            let verdict = issuer.decide(now, &request, 1.0);
            granted += f64::from(u8::from(matches!(verdict, PermitVerdict::Granted(_))));
        }
        granted <= 1.0 + highest * (now - start).as_secs_f64() + 1e-6
    }
}
