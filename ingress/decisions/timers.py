"""The timers of a gateway, for its periodic work and for the retry of a failed discovery call."""

import random

import ingress.interface as api
from ingress.decisions.action_sink import ActionSink
from ingress.decisions.admission import Admission
from ingress.decisions.gossip_exchange import GossipExchange
from ingress.decisions.usage_counter import UsageCounter

TICK_TOKEN = 0  # token of the timer for the periodic work
DISCOVERY_TOKEN = 1  # token of the timer for the retry of a failed discovery call
# Minimum time between two reports of use: short compared with the duration of a burst, long compared with
# that of a request.
MIN_REPORT_PERIOD_S = 0.25
RECEIVE_RATE_MARGIN = 2  # ratio of the message rate that a gateway can receive to the rate sent to it
EVICTION_PERIOD_S = 60.0  # time between two evictions of idle customers
MIN_DISCOVERY_RETRY_SHARE = 0.1  # minimum delay of a discovery retry, as a share of the poll interval
MAX_DISCOVERY_RETRY_SHARE = 0.25  # maximum delay of a discovery retry, as a share of the poll interval


def gossip_period(settings: api.Settings) -> float:
    """Return the seconds between two gossip messages of a gateway.

    The messages of all gateways take up half of the rate that a gateway can receive.  The other half is a
    reserve for losses and bursts.
    """
    receive_rate = max(1.0, settings.gossip_receive_rate)
    return max(MIN_REPORT_PERIOD_S, RECEIVE_RATE_MARGIN * settings.instance_count / receive_rate)


def uses_counter(settings: api.Settings) -> bool:
    """Return whether the gateway reports use to the shared counter and not by gossip.

    Gossip is preferred while there are so few gateways that each can send it often: the reports of all peers
    contain more information than a count.
    """
    is_gossip_frequent = settings.gossip and gossip_period(settings) <= MIN_REPORT_PERIOD_S
    return settings.counter_enabled and not is_gossip_frequent


def report_period(settings: api.Settings) -> float:
    """Return the seconds between two reports of use, to the shared counter or by gossip."""
    return MIN_REPORT_PERIOD_S if uses_counter(settings) else gossip_period(settings)


class Timers:
    """Sets the timers of a gateway and does the work that is due when a timer fires."""

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        admission: Admission,
        counter: UsageCounter,
        gossip: GossipExchange,
        sink: ActionSink,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.admission = admission
        self.counter = counter
        self.gossip = gossip
        self.sink = sink
        self.tick_period = report_period(settings)
        """Seconds between two ticks, that is, firings of the timer for the periodic work."""
        self.last_eviction_at = 0.0
        """Time of the last eviction of idle customers (s)."""
        self.is_discovery_retry_set = False
        """Whether the timer for the retry of a failed discovery call is set."""

    def start(self) -> None:
        """Set the timer for the first tick, and start discovery if the endpoint list is polled.

        The delay of the first tick is random, so that the gateways of a fleet do not tick at the same time.
        """
        self.sink.emit(api.SetTimer(self.tick_period * self.rng.random(), TICK_TOKEN))
        if self.settings.poll_discovery:
            self.sink.emit(api.SubscribeEndpoints())

    def schedule_discovery_retry(self) -> None:
        """Set a timer for the retry of a failed discovery call, unless one is set.

        If each failure set its own timer, the failures would multiply the calls.
        """
        if self.is_discovery_retry_set:
            return
        self.is_discovery_retry_set = True
        delay_share = self.rng.uniform(MIN_DISCOVERY_RETRY_SHARE, MAX_DISCOVERY_RETRY_SHARE)
        self.sink.emit(api.SetTimer(delay_share * self.settings.max_poll_interval, DISCOVERY_TOKEN))

    def handle_timer(self, now: float, event: api.TimerFired) -> None:
        """Do the work that is due when a timer fires; ignore a timer with an unknown token."""
        if event.token == DISCOVERY_TOKEN:
            self.is_discovery_retry_set = False
            self.sink.emit(api.SubscribeEndpoints())
        elif event.token == TICK_TOKEN:
            self._run_periodic_work(now)

    def _run_periodic_work(self, now: float) -> None:
        self.sink.emit(api.SetTimer(self.tick_period, TICK_TOKEN))
        if now - self.last_eviction_at > EVICTION_PERIOD_S:
            self.last_eviction_at = now
            self.admission.evict_idle(now)
        self.counter.report_large_use(now)
        if not self.counter.is_enabled and self.settings.gossip:
            self.gossip.send_report()
