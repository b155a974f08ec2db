"""Use of the shared counter: which requests to ask about, and what its totals tell.

Each customer has a count to which every gateway adds the units it sends on.  The total shows how much of
the quota is left.  A crowded counter bears fewer calls than there are requests, so each gateway asks about a
share of them that follows how well the counter answers."""

import random
from collections.abc import Callable

import mulleinhall.interface as api
from mulleinhall.logic.ceiling import LEAST_REPORTED
from mulleinhall.logic.common import NEVER, SLOW_SMOOTHING
from mulleinhall.logic.customer import Customer
from mulleinhall.logic.request import PendingRequest

EPOCH = 30.0  # s: a counter name serves this long; half of the longest life a name may have
ASK_DECREASE, ASK_INCREASE = 0.2, 0.02  # of the share asked about: after a failure, after a quick answer
LEAST_ASKED = 0.05  # of what would be asked: goes to a counter that fails, to see it come back
QUICK = 0.6  # of the time-out: a counter that answers sooner can take more; the way there may take half
EXACT, INEXACT = 0.1, 0.25  # bursts that a count may pass its ends by; the second where it is crowded
DOUBTFUL_SHARE = 0.2  # of a request's units: a slice that holds less makes it doubtful
DEBT_TIMEOUTS = 10.0  # time-outs that a count has stood in debt before the debt is written off


class UsageCounter:
    """The calls of one gateway to the counter, and what it learned from the answers."""

    def __init__(self, settings: api.Settings, rng: random.Random, enabled: bool,
                 emit: Callable[[api.Action], None]) -> None:
        self.settings = settings
        self.rng = rng
        self.enabled = enabled
        self.emit = emit
        self.calls_out: dict[int, tuple[Customer, float]] = {}  # by name: for whom, units added
        self.answered_at = NEVER
        self.ask_share = 0.5  # of the questions that go to the counter
        self.mean_stake = 0.0  # what a request may cost beyond its quota
        self.room_odds = {p.name: 0.5 for p in settings.plans}  # share of the answers that showed room
        self.to_report: dict[str, Customer] = {}  # customers with use that the counter was not told

    # Which requests to ask about

    def doubtful(self, request: PendingRequest) -> bool:
        """Whether the slice holds next to nothing of it: it is likelier than others to be beyond its quota,
        and a retry, which was refused just now, more likely so than not."""
        return request.customer.slice.level < DOUBTFUL_SHARE * request.units

    def pays(self, plan: api.Plan) -> bool:
        """Whether a request of which nothing is known pays on the mean."""
        return self.room_odds[plan.name] > plan.over_cost / (1 + plan.over_cost)

    def pays_unasked(self, request: PendingRequest) -> bool:
        """Whether a request that is not asked about pays on the mean.  The plan's odds are good where most
        customers keep to their quota, but one that floods all gateways comes back soon at each of them."""
        if not self.pays(request.plan) or request.returned_early:
            return False
        return not (request.is_retry and self.doubtful(request))

    def ask(self, now: float, customer: Customer, request: PendingRequest | None = None,
            ceiling_short: bool = False) -> bool:
        """Adds this gateway's use to the customer's count and asks for the total; False if not now.

        Two gateways that ask at once would be told of the same room.  So the units of a request that waits
        for the answer are counted with the call, and the later call sees the earlier one.  A request whose
        slice of the ceiling is short (`ceiling_short`) is refused for certain unless it asks."""
        if not self.enabled:
            return False
        count = customer.count
        if count.asked_at != NEVER:
            return request is not None  # the answer of the call that is out serves this request as well
        if request is not None and not self._sample(customer, request, ceiling_short):
            return False
        self._choose_name(now, customer)
        count.asked_at = now
        self.to_report.pop(customer.key, None)
        self.calls_out[count.name] = customer, count.unreported
        self.emit(api.Count(count.name, round(count.unreported, 3), 2 * EPOCH))
        return True

    def _sample(self, customer: Customer, request: PendingRequest, ceiling_short: bool) -> bool:
        """Whether the request is asked about; each question stands for those like it that are not."""
        probability = self._ask_probability(request)
        stands_for_others = customer.thin and self.pays(request.plan)
        if not ceiling_short and self.rng.random() >= probability:
            request.sampled = stands_for_others
            return False
        weight = probability if stands_for_others and not ceiling_short else 1.0
        request.counted_units = request.units / weight
        customer.count.unreported += request.counted_units
        return True

    def _ask_probability(self, request: PendingRequest) -> float:
        """A few requests hold most of what may be lost beyond a quota: what has more at stake is asked about
        first, and so is what is doubtful."""
        plan = request.plan
        stake = plan.over_cost * plan.price * request.request_class.worth * request.units
        self.mean_stake += (stake - self.mean_stake) * (SLOW_SMOOTHING if self.mean_stake else 1.0)
        share = self.ask_share * (2.0 if self.doubtful(request) else 1.0)
        by_stake = self.ask_share + (1 - self.ask_share) * stake / max(self.mean_stake, 1e-9)
        return min(1.0, max(LEAST_ASKED, share * by_stake))

    def _choose_name(self, now: float, customer: Customer) -> None:
        """The name of the customer's count at this time: a count lives shorter than its name may."""
        offset = customer.hash % 1000 / 1000
        index = int(now / EPOCH + offset)
        name = customer.hash << 24 | index & 0xFFFFFF
        count = customer.count
        if name != count.name:
            count.name = name
            count.started_at = (index - offset) * EPOCH
            count.own_total = 0.0
            count.others_total = 0.0
            count.renewed = True

    def withdraw(self, request: PendingRequest) -> None:
        """Units that were counted but not sent on are taken back.  If what is refused drained the count as
        well, a customer far beyond its quota would be refused nearly all of it."""
        if request.counted_units:
            request.customer.count.unreported -= request.counted_units
            self.to_report[request.customer.key] = request.customer
        request.counted_units = 0.0

    def report_large_use(self, now: float) -> None:
        """Tells the counter of use that has grown large without a question."""
        for customer in list(self.to_report.values()) if self.enabled else ():
            if abs(customer.count.unreported) > LEAST_REPORTED * customer.plan.burst:
                self.ask(now, customer)

    # What an answer tells

    def answered(self, now: float, event: api.CounterReply, born_at: float) -> Customer | None:
        """Learns from an answer; returns the customer whose requests waited for it."""
        customer, added = self.calls_out.pop(event.name, (None, 0.0))
        if customer is None:
            return None
        customer.count.asked_at = NEVER
        if event.outcome is api.Outcome.OK:
            self._learn(now, event, customer, added, born_at)
        else:
            self._failed(event, customer, added)
        return customer

    def _failed(self, event: api.CounterReply, customer: Customer, added: float) -> None:
        """Hundreds of gateways that ask more than a counter can take would get no answer at all, and each
        question holds a request.  So each asks less when a call fails, and more when one is quick."""
        self.ask_share = max(LEAST_ASKED, self.ask_share * (1 - ASK_DECREASE))
        if event.outcome is api.Outcome.TIMEOUT:  # added, most likely: a late call is still worked on
            customer.count.unreported -= added
            customer.count.own_total += added

    def _learn(self, now: float, event: api.CounterReply, customer: Customer, added: float,
               born_at: float) -> None:
        self.answered_at = now
        if event.latency < QUICK * self.settings.counter_timeout:
            self.ask_share = min(1.0, self.ask_share + ASK_INCREASE)
        plan, count, estimate = customer.plan, customer.count, customer.estimate
        count.unreported -= added
        count.own_total += added
        others = event.total - count.own_total
        increase = others - count.others_total
        # The others take back what they asked for and then refused; a larger fall means a lost count.
        lost = increase < -self.settings.most_units * customer.spread
        level = self._level(now, customer, event.total)
        if plan.ceiling_rate:
            counted = sum(request.counted_units for request in customer.waiting)
            used = count.own_total + count.unreported - counted
            known_since = max(count.started_at, born_at)
            customer.ceiling.follow(now, count.name, known_since, others, increase, used, lost)
        since = count.started_at if estimate.reported_at == NEVER else estimate.reported_at
        estimate.others_rate = max(0.0, increase) / max(now - since, estimate.lifetime)
        estimate.reset(now, level)
        for request in customer.waiting:
            room = estimate.level(now) >= request.units
            self.room_odds[plan.name] += SLOW_SMOOTHING * (room - self.room_odds[plan.name])
        count.others_total = max(others, 0.0)

    def _level(self, now: float, customer: Customer, total: float) -> float:
        """What the whole bucket holds by the count's `total`, the waiting requests not taken off.

        A count that begins anew shows a full bucket, also where the last one was used up; what is known to
        be gone is carried over."""
        count, plan, estimate = customer.count, customer.plan, customer.estimate
        waiting = sum(request.units for request in customer.waiting if request.counted_units)
        used = total + count.unreported - waiting
        level = plan.burst + plan.rate * (now - count.started_at) - used
        if count.renewed and estimate.fresh(now):
            gone = max(0.0, level - max(0.0, estimate.level(now)))
            count.unreported += gone
            level -= gone
        count.renewed = False
        return level

    def correct(self, now: float, customer: Customer, total: float) -> None:
        """Keeps a count inside the ends of the bucket: idle time would add up to credit, and what is sent
        beyond the quota to debt.  It is corrected at once, so that few gateways do it twice."""
        plan, count = customer.plan, customer.count
        level = plan.burst + plan.rate * (now - count.started_at) - total - count.unreported
        slack = min(1 - self.ask_share + EXACT, INEXACT) * plan.burst
        # What others have asked for and are about to be refused is no debt: a debt lasts.
        if level >= -slack / 2:
            count.in_debt_since = now
        lasting = now - count.in_debt_since > DEBT_TIMEOUTS * self.settings.counter_timeout
        if lasting or level > plan.burst + 2 * slack:
            count.unreported += level - (plan.burst if level > 0 else 0.0)
            count.in_debt_since = now
        if abs(count.unreported) > LEAST_REPORTED * plan.burst:
            self.ask(now, customer)
