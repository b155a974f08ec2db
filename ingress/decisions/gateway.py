"""The gateway, which builds the parts of the decision module and passes each event to its handler."""

import random
from collections.abc import Callable
from typing import Any

import ingress.interface as api
from ingress.decisions.action_sink import ActionSink
from ingress.decisions.admission import Admission
from ingress.decisions.answer_times import AnswerTimes
from ingress.decisions.attempt_outcomes import AttemptOutcomeHandler, OutcomeRecorder
from ingress.decisions.attempts import AttemptTracker
from ingress.decisions.balancer import LoadBalancer
from ingress.decisions.final_answers import FinalAnswers
from ingress.decisions.gossip_exchange import GossipExchange
from ingress.decisions.overload import OverloadDetector
from ingress.decisions.peer_reports import PeerReports
from ingress.decisions.process_start import ProcessStart
from ingress.decisions.request import PendingRequest
from ingress.decisions.request_decision import RequestDecision
from ingress.decisions.request_intake import RequestIntake
from ingress.decisions.request_ranking import RequestRanking
from ingress.decisions.retry_policy import RetryPolicy
from ingress.decisions.timers import Timers, report_period, uses_counter
from ingress.decisions.usage_counter import UsageCounter


class Gateway:
    """The decisions of one gateway: `handle` takes an event and returns the actions that follow from it."""

    def __init__(self, settings: api.Settings, seed: int, max_customers: int | None = None) -> None:
        """Create a gateway that keeps state of `max_customers` at most; None sets no limit."""
        self.settings = settings
        self.max_customers = max_customers
        self.rng = random.Random(seed)
        """The only source of randomness, which all parts of the gateway use."""
        self.sink = ActionSink()
        self.process_start = ProcessStart()
        self.requests: dict[str, PendingRequest] = {}
        """The requests that have no final answer yet, by id."""
        self._build_load_control()
        self._build_quota()
        self._build_attempts()
        self._build_intake()
        self.gossip = GossipExchange(self.peer_reports, self.admission, self.process_start, self.sink)
        self.timers = Timers(settings, self.rng, self.admission, self.counter, self.gossip, self.sink)
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            api.Request: self.request_intake.receive_request,
            api.RequestCancelled: self.request_intake.cancel_request,
            api.StreamStarted: self.request_intake.record_stream_start,
            api.AttemptEnded: self.outcome_handler.handle_attempt_end,
            api.CounterReply: self.request_decision.handle_counter_reply,
            api.GossipReceived: self.gossip.receive_report,
            api.EndpointUpdate: self._update_endpoints,
            api.TimerFired: self.timers.handle_timer,
        }
        """The handlers by the type of event; other events, such as `HealthCheckEnded`, cause no action."""

    def _build_load_control(self) -> None:
        self.answer_times = AnswerTimes(self.settings)
        self.balancer = LoadBalancer(self.settings, self.answer_times, self.rng)
        self.overload_detector = OverloadDetector(self.balancer.load_totals)
        self.request_ranking = RequestRanking(self.answer_times, self.rng)
        self.retry_policy = RetryPolicy(self.settings, self.answer_times, self.overload_detector)

    def _build_quota(self) -> None:
        self.peer_reports = PeerReports(report_period(self.settings))
        self.counter = UsageCounter(self.settings, self.rng, uses_counter(self.settings), self.sink.emit)
        self.admission = Admission(self.settings, self.counter, self.peer_reports, self.max_customers)

    def _build_attempts(self) -> None:
        self.final_answers = FinalAnswers(self.settings, self.requests, self.counter, self.sink)
        self.attempt_tracker = AttemptTracker(
            self.balancer, self.overload_detector, self.retry_policy, self.counter, self.sink
        )
        self.outcome_handler = AttemptOutcomeHandler(
            self.requests,
            self.attempt_tracker,
            OutcomeRecorder(self.balancer, self.answer_times, self.counter),
            self.retry_policy,
            self.counter,
            self.final_answers,
        )

    def _build_intake(self) -> None:
        self.request_decision = RequestDecision(
            self.admission,
            self.counter,
            self.overload_detector,
            self.request_ranking,
            self.attempt_tracker,
            self.final_answers,
            self.process_start,
        )
        self.request_intake = RequestIntake(
            self.settings,
            self.requests,
            self.admission,
            self.counter,
            self.answer_times,
            self.request_decision,
            self.final_answers,
            self.process_start,
        )

    @property
    def actions(self) -> list[api.Action]:
        """The actions for the latest event; if its handler failed, those decided before the error."""
        return self.sink.actions

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle an event that occurred at `now` (s, never decreases); return the resulting actions."""
        self.sink.begin_event()
        if not self.process_start.is_known:
            self._start_process(now)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        return self.sink.actions

    def _start_process(self, now: float) -> None:
        self.process_start.record_first_event(now)
        # Until the first reply, the counter is assumed to be up but overloaded.
        self.counter.last_success_at = now
        self.timers.start()

    def _update_endpoints(self, now: float, event: api.EndpointUpdate) -> None:
        self.balancer.apply_update(event, now)
        if event.kind is api.EndpointUpdateKind.UNAVAILABLE:
            self.timers.schedule_discovery_retry()
