"""The gateway: events in, actions out.  It joins admission, choice of backend, retries and the counter."""

import random

import mulleinhall.interface as api
from mulleinhall.logic.admission import Admission, Customers
from mulleinhall.logic.backend import TrackedBackend
from mulleinhall.logic.balancer import LoadBalancer
from mulleinhall.logic.overload import AnswerTimes, OverloadGuard
from mulleinhall.logic.peers import PeerReports
from mulleinhall.logic.request import PendingRequest
from mulleinhall.logic.token_bucket import TokenBucket
from mulleinhall.logic.usage_counter import UsageCounter

PEER_PERIOD = 0.25  # s between two messages to peers; short beside any burst, long beside any request
MOST_PEER_TEXT = 250  # bytes of a message to peers
SWEEP_PERIOD = 60.0  # s between two looks for customers to forget
RETRY_SHARE = 0.15  # further attempts for each first one, on the mean
MOST_RETRIES_SAVED = 10.0  # of the retry budget
LOST_FACTOR, LOST_AIM_SHARE = 8.0, 0.7  # mean answer times, and of the aim: one out longer may be lost
SHED_BELOW = -0.1  # pressure below which there is room for what is beyond quotas but pays
LEAST_TIMEOUT = 1e-6  # s
TICK, DISCOVERY = 0, 1  # timer tokens


class Gateway:
    """The decisions of one gateway.  `handle` takes an event and returns the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.actions: list[api.Action] = []
        self.answer_times = AnswerTimes(settings)
        self.overload = OverloadGuard(self.answer_times, self.rng)
        self.balancer = LoadBalancer(settings, self.answer_times, self.rng)
        self.peers = PeerReports()
        # A receiver takes in only so many messages a second: half of that, for losses and bursts.
        peer_period = max(PEER_PERIOD, 2 * settings.gateways / max(1.0, settings.peer_rate))
        # Reports from all peers are worth more than a count, while they are few enough to come often.
        counting = settings.counter and not (settings.peers and peer_period <= PEER_PERIOD)
        self.period = PEER_PERIOD if counting else peer_period
        self.counter = UsageCounter(settings, self.rng, counting, self._emit)
        self.customers = Customers(settings, self.counter)
        self.admission = Admission(settings, self.counter, self.peers, self.period)
        self.requests: dict[str, PendingRequest] = {}
        self.attempts_out: dict[tuple[str, int], tuple[PendingRequest, TrackedBackend]] = {}
        self.retry_budget = TokenBucket(0.0, MOST_RETRIES_SAVED, 1.0, 0.0)
        self.first_waits: dict[str, float] = {}  # how long clients wait for a first try, by class
        self.born_at: float | None = None
        self.incarnation = 0  # this process's start, as told to peers (ms)
        self.asking_discovery = False
        self.swept_at = 0.0  # when idle customers were last dropped

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Takes an event at `now` (s, never less than before) and returns what to do about it."""
        self.actions = []
        if self.born_at is None:
            self._start(now)
        match event:
            case api.Request():
                self._request(now, event)
            case api.AttemptEnded():
                self._attempt_ended(now, event)
            case api.CounterReply():
                self._counter_replied(now, event)
            case api.PeerMessage():
                self._peer_reported(now, event)
            case api.BackendsChanged():
                self._backends_changed(now, event)
            case api.Timer(token=token):
                self._timer(now, token)
            case api.Abandoned(id=request_id):
                if request := self.requests.pop(request_id, None):
                    request.finished = True
            case api.StreamStarted(id=request_id):
                if request := self.requests.get(request_id):
                    request.deadline = float("inf")
        return self.actions

    def _emit(self, action: api.Action) -> None:
        self.actions.append(action)

    def _start(self, now: float) -> None:
        self.born_at = now
        self.incarnation = int(now * 1000)
        self.counter.answered_at = now  # the counter is thought to be there, but crowded
        self._emit(api.SetTimer(self.period * self.rng.random(), TICK))
        if self.settings.ask_discovery:
            self._emit(api.Subscribe())

    # Admission

    def _request(self, now: float, event: api.Request) -> None:
        plan = self.plans[event.plan]
        request_class = self.classes[event.request_class]
        customer = self.customers.find(now, event, plan, now - (self.born_at or 0.0))
        request = PendingRequest(event, request_class, customer, now)
        self.requests[event.id] = request
        customer.seen_at = now
        request.too_late = self._too_late(event, request_class)
        if request.too_late and not request_class.late_worth:
            self._finish(request)
        elif plan.rate and self._ask_counter(now, request):
            customer.waiting.append(request)
        else:
            self._decide(now, request)

    def _too_late(self, event: api.Request, request_class: api.RequestClass) -> bool:
        """Whether a client came again too late to be answered within the aim; its requests would take what
        others could use in time.  What a marked retry has left tells when it began, unless its wait is cut
        to that of a first try."""
        if not event.repeat:
            self.first_waits[request_class.name] = event.time_left
            return False
        first_wait = self.first_waits.get(request_class.name, 0.0)
        if abs(event.time_left - first_wait) <= self.settings.tick:
            return False
        elapsed = request_class.deadline - event.time_left
        return elapsed + self.answer_times.mean(request_class) > request_class.aim

    def _ask_counter(self, now: float, request: PendingRequest) -> bool:
        """Asks the counter about the request if that is of use; True if the request waits for an answer."""
        if not self.admission.wants_counter(now, request):
            return False
        short = self.admission.ceiling_short(now, request)
        return self.counter.ask(now, request.customer, request, short)

    def _decide(self, now: float, request: PendingRequest) -> None:
        """Inside the quota as far as is known: send.  Beyond it: refuse, or send where that pays."""
        if request.finished:
            self.counter.withdraw(request)
            return
        request.inside_quota = self.admission.inside_quota(now, request)
        pressure = self._pressure(now)
        plan = request.plan
        pays_beyond = plan.over_worth > plan.over_cost and pressure < SHED_BELOW
        admitted = request.inside_quota or pays_beyond
        if plan.ceiling_rate and not request.customer.under_ceiling(now, request.units):
            admitted = False
        rank = self.overload.rank(request)
        if not admitted or pressure > rank or not self._send(now, request):
            self._finish(request)

    def _pressure(self, now: float) -> float:
        """The share of requests to shed; below zero there is room."""
        return self.overload.pressure(now, *self.balancer.out_and_limits())

    def _finish(self, request: PendingRequest) -> None:
        """The final answer from here: refused if that does no harm, else failed."""
        request.finished = True
        self.counter.withdraw(request)
        self.requests.pop(request.id, None)
        if not request.may_refuse():
            self._emit(api.Fail(request.id))
            return
        # The whole bucket refills in this time, and the client may come back through another gateway.
        rate = request.plan.rate
        wait = request.units / rate if rate and self.settings.retry_after else 0.0
        self._emit(api.Refuse(request.id, wait))

    # Attempts

    def _send(self, now: float, request: PendingRequest) -> bool:
        """Sends one more attempt; False if no backend may get it."""
        backend = self.balancer.choose(request, now)
        if backend is None:
            return False
        if not request.sent:
            self._charge_first_attempt(now, request)
        # A repeat whose connection comes up late would be none to the backend: say until when it is one.
        windows = (sent_at + request.request_class.window - now
                   for _, sent_at in request.maybe_run if request.request_class.window)
        within = min(windows, default=0.0)
        number = len(request.attempts)
        request.attempts.append((backend, now))
        request.open_attempts[number] = backend
        request.maybe_run.append((backend, now))
        request.customer.open += 1
        key = request.id, number
        backend.attempts_out[key] = now
        self.overload.begin(now, key, request.request_class)
        self.attempts_out[key] = request, backend
        timeout = self._attempt_timeout(now, request)
        self._emit(api.Send(request.id, backend.info.id, max(timeout, LEAST_TIMEOUT), within))
        return True

    def _charge_first_attempt(self, now: float, request: PendingRequest) -> None:
        request.sent = True
        budget = self.retry_budget
        budget.level = min(budget.capacity, budget.level + RETRY_SHARE)
        if request.plan.ceiling_rate:
            request.charges += request.customer.ceiling.take(request.units)
        if request.inside_quota:
            self.counter.to_report[request.customer.key] = request.customer
            request.customer.charge(now, request, request.counted_units > 0 or request.sampled)
            request.counted_units = 0.0

    def _attempt_timeout(self, now: float, request: PendingRequest) -> float:
        """Seconds until an attempt is given up.  A connection that fell silent would hold its request to the
        end; while another attempt may follow and would still be in time, this one is given up once it is
        far past what answers take."""
        remaining = request.deadline - now
        request_class = request.request_class
        if request_class.semantics is api.Semantics.UNSAFE:
            return remaining
        if len(request.attempts) >= self.settings.max_attempts or self.retry_budget.level < 1:
            return remaining
        early = max(LOST_FACTOR * self.answer_times.mean(request_class), LOST_AIM_SHARE * request_class.aim)
        return early if early < remaining / 2 else remaining

    def _attempt_ended(self, now: float, event: api.AttemptEnded) -> None:
        key = event.id, event.attempt
        request, backend = self.attempts_out.pop(key, (None, None))
        if request is None or backend is None:
            return
        request.customer.open -= 1
        sent_at = backend.attempts_out.pop(key, now)
        request.open_attempts.pop(event.attempt, None)
        self.overload.end(now, key)
        if event.outcome.never_ran:
            request.maybe_run.remove((backend, sent_at))
        self._learn(now, event, request, backend, sent_at)
        if event.outcome not in (api.Outcome.MOOT, api.Outcome.CONNECT_FAILED):
            request.reached_backend = True
        if event.finished or request.finished:
            request.finished = True
            self.requests.pop(event.id, None)
        elif not request.open_attempts:
            self._retry(now, request, event.outcome.never_ran)
        if request.finished and event.outcome is api.Outcome.MOOT and not request.reached_backend:
            # No backend ever got it: a customer whose clients leave early does not pay for that.
            request.customer.refund(request)
            self.counter.to_report[request.customer.key] = request.customer

    def _learn(self, now: float, event: api.AttemptEnded, request: PendingRequest, backend: TrackedBackend,
               sent_at: float) -> None:
        """What an outcome tells of the backend, of answer times, and of the request's true units."""
        request_class = request.request_class
        mean = self.answer_times.mean(request_class)
        if event.outcome is api.Outcome.OK:
            backend.failures = 0
            backend.unreachable = False
            backend.answered(now, event.latency, mean, request_class.aim)
            self.answer_times.record(request_class, event.latency)
            self.balancer.record_answer(now)
            if event.settled and request.inside_quota:
                request.customer.settle(event.settled - request.units)
                self.counter.to_report[request.customer.key] = request.customer
        elif event.outcome not in (api.Outcome.CANCELLED, api.Outcome.MOOT):
            if event.outcome is api.Outcome.TIMEOUT and backend.heard_at <= sent_at:
                backend.answered(now, max(event.latency, request_class.aim), mean, request_class.aim)
            backend.failed(now, event.outcome, self.balancer.patience)

    def _retry(self, now: float, request: PendingRequest, never_ran: bool) -> None:
        """Sends a further attempt, or finishes the request.  Retries on top of a jam make it worse, so they
        keep to spare room and to a budget.  Those that replace what never ran are outside the budget: a
        release makes many of these at once, and they bring no work."""
        in_time = now + self.answer_times.mean(request.request_class) < request.deadline
        useful = in_time and (never_ran or self.retry_budget.level >= 1)
        if useful and self._pressure(now) < 0 and self._send(now, request):
            self.retry_budget.take(0.0 if never_ran else 1.0)
        else:
            self._finish(request)

    # Counter, peers, discovery, timers

    def _counter_replied(self, now: float, event: api.CounterReply) -> None:
        customer = self.counter.answered(now, event, self.born_at or 0.0)
        if customer is None:
            return
        waiting, customer.waiting = customer.waiting, []
        for request in waiting:
            self._decide(now, request)
        if event.outcome is api.Outcome.OK:
            self.counter.correct(now, customer, event.total)

    def _peer_reported(self, now: float, event: api.PeerMessage) -> None:
        for customer_hash, units in self.peers.read(event, now, self.incarnation):
            if customer := self.customers.by_hash.get(customer_hash):
                customer.estimate.record_others_use(now, units)

    def _backends_changed(self, now: float, event: api.BackendsChanged) -> None:
        self.balancer.change(event, now)
        # One more call for each failed one at most: two would flood the list's service.
        if event.kind is api.ListKind.UNAVAILABLE and not self.asking_discovery:
            self.asking_discovery = True
            wait = self.rng.uniform(0.1, 0.25) * self.settings.ask_within
            self._emit(api.SetTimer(wait, DISCOVERY))

    def _timer(self, now: float, token: int) -> None:
        if token == DISCOVERY:
            self.asking_discovery = False
            self._emit(api.Subscribe())
        if token != TICK:
            return
        self._emit(api.SetTimer(self.period, TICK))
        if now - self.swept_at > SWEEP_PERIOD:
            self.swept_at = now
            self.customers.forget_idle(now)
        self.counter.report_large_use(now)
        if not self.counter.enabled and self.settings.peers:
            self._tell_peers()

    def _tell_peers(self) -> None:
        """Reports running totals, the largest unreported use first, as far as one message holds them."""
        text = str(self.incarnation)
        for customer in sorted(self.customers.by_key.values(), key=lambda c: -abs(c.count.unreported)):
            row = f" {customer.hash:x}:{round(customer.used * 10)}"
            if not customer.count.unreported or len(text) + len(row) > MOST_PEER_TEXT:
                break
            text += row
            customer.count.unreported = 0.0
        self._emit(api.TellPeers(text))
