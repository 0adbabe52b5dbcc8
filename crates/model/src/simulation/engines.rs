//! Attempts at the engines.

use std::time::Duration;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::RequestId;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::ReportedLoad;
use cranberryvalve_policy::scheduler::SchedulerEvent;

use super::Outcome;
use super::SimEvent;
use super::Simulation;
use super::deployment::engine_name;
use crate::engine::Job;
use crate::engine::Output;
use crate::engine::SLOTS;
use crate::vm::SendCommand;

/// Minimum number of gaps between events for a stream to give a sample of its engine's decode pace.
const MIN_PACE_GAPS: usize = 8;

/// Minimum number of event gaps from which a sample is taken of a shorter stream.
const MIN_SHORT_PACE_GAPS: usize = 4;

/// Time since a prefix was last used within which another prefill of it counts as recomputation.
const RECOMPUTE_WINDOW: Duration = Duration::from_secs(8);

impl Simulation<'_> {
    pub(super) fn on_engine_arrival(&mut self, order: SendCommand) {
        let (number, attempt, engine) = (order.id as usize, order.attempt, order.engine);
        let request = &self.requests[number];
        if request.outcome.is_some() || request.attempt != attempt {
            return;
        }
        let tier = self.load.traffic[request.kind].tier;
        let can_fetch = self.fleet.has_remote_cache_fetch;
        let source = order.prefix_source.filter(|it| can_fetch && !self.engines[*it].is_down);
        let fetchable_prefixes =
            source.map_or(0, |it| self.engines[it].cached_prefixes(&request.prompt));
        let prompt = request.prompt.clone();
        let job = Job { number, tier, prompt, tokens: request.tokens, fetchable_prefixes };
        if self.engines[engine].is_down || !self.engines[engine].accept(job) {
            self.end_attempt(number, attempt, AttemptEnd::Refused { misdirected: false });
            return;
        }
        self.start_step(engine);
    }

    pub(super) fn start_step(&mut self, engine: usize) {
        if self.steps[engine].is_some() || self.engines[engine].is_idle() {
            return;
        }
        let (time, outputs) = self.engines[engine].step();
        self.count_recomputed(engine);
        self.steps[engine] = Some(outputs);
        self.step_numbers[engine] += 1;
        let number = self.step_numbers[engine];
        self.schedule(self.now + time, SimEvent::StepEnd { engine, number });
    }

    /// Counts the tokens of prefixes that are prefilled although some engine used them recently.
    fn count_recomputed(&mut self, engine: usize) {
        for prefix in std::mem::take(&mut self.engines[engine].prefix_uses) {
            let last = self.last_use.insert(prefix.hash, self.now);
            let is_recent = last.is_some_and(|it| self.now - it < RECOMPUTE_WINDOW);
            if !prefix.is_hit && is_recent {
                self.recomputed_tokens += u64::from(prefix.tokens);
            }
        }
    }

    pub(super) fn on_step_end(&mut self, engine: usize) {
        let outputs = self.steps[engine].take().unwrap_or_default();
        for output in outputs {
            match output {
                Output::Event(number) => self.on_event(number, engine),
                Output::Complete(number) => self.on_complete(number, engine),
            }
        }
        self.start_step(engine);
    }

    pub(super) fn on_event(&mut self, number: usize, engine: usize) {
        let now = self.now;
        let request = &mut self.requests[number];
        if request.outcome.is_some() {
            return;
        }
        if let Some(last) = request.last_event.replace(now) {
            request.longest_gap = request.longest_gap.max(now - last);
            request.gaps.push(now - last);
        }
        if request.first_event.is_none() {
            request.first_event = Some(now);
            let (vm, attempt) = (request.vm, request.attempt);
            let instant = self.instant();
            let actions = self.vms[vm].on_first_event(instant, number as RequestId, attempt);
            self.report_loads(vm, Some(engine));
            self.carry_out(actions);
        }
    }

    pub(super) fn on_complete(&mut self, number: usize, engine: usize) {
        let request = &mut self.requests[number];
        if request.outcome.is_some() {
            return;
        }
        request.outcome = Some(Outcome::Complete);
        let (vm, attempt) = (request.vm, request.attempt);
        let now = self.start + self.now;
        let gaps = &mut request.gaps;
        let upstream = engine_name(engine);
        if gaps.len() >= MIN_PACE_GAPS {
            let median = gaps.len() / 2;
            let event_gap = *gaps.select_nth_unstable(median).1;
            self.vms[vm].handle(now, SchedulerEvent::StreamMeasured { upstream, event_gap });
        } else if gaps.len() >= MIN_SHORT_PACE_GAPS {
            let event_gap = *gaps.select_nth_unstable(1).1;
            self.vms[vm].handle(now, SchedulerEvent::ShortStreamMeasured { upstream, event_gap });
        }
        let (running, waiting) = self.engines[engine].load();
        let load = ReportedLoad {
            running: running as u32,
            waiting: waiting as u32,
            slots: SLOTS as u32,
            work_time_percent: self.fleet.reports_work_time.then_some(100),
        };
        let report = SchedulerEvent::LoadReported { upstream: engine_name(engine), load };
        self.vms[vm].handle(now, report);
        let actions =
            self.vms[vm].on_attempt_end(now, number as RequestId, attempt, AttemptEnd::Complete);
        self.carry_out(actions);
    }

    pub(super) fn end_attempt(&mut self, number: usize, attempt: Attempt, end: AttemptEnd) {
        let request = &mut self.requests[number];
        if request.outcome.is_some() || request.attempt != attempt {
            return;
        }
        request.engine = None;
        let vm = request.vm;
        let now = self.instant();
        let actions = self.vms[vm].on_attempt_end(now, number as RequestId, attempt, end);
        self.carry_out(actions);
    }
}
