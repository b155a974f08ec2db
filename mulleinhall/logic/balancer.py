"""The choice of a backend for an attempt."""

import random
from zlib import crc32

import mulleinhall.interface as api
from mulleinhall.logic.backend import TrackedBackend
from mulleinhall.logic.overload import AnswerTimes
from mulleinhall.logic.request import PendingRequest

SUBSET_SIZE = 12  # backends that a gateway prefers: few enough to learn of each, many enough to lose some
COLD_MARGIN = 0.7  # of what a cold backend bears, all gateways together
LEAST_HEALTHY = 0.5  # of the backends: ejection never leaves fewer


def ring_marks(name: str) -> tuple[int, int]:
    """The positions of a name on the two rings.  Checksums of one name with different prefixes would keep
    neighbours together; a multiplication (Knuth) does not."""
    mark = crc32(name.encode())
    return mark, mark * 0x9E3779B1 & 0xFFFFFFFF


class LoadBalancer:
    """All backends, and what is known of them together."""

    def __init__(self, settings: api.Settings, answer_times: AnswerTimes, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.answer_times = answer_times
        self.backends: dict[str, TrackedBackend] = {}
        self.patience = max(c.aim for c in settings.classes)
        self.typical = 0.0  # answers a second from here for a unit of weight, when warm
        self.done, self.done_at = 0.0, 0.0  # answers a second from here, smoothed over a cold time
        self.ready: list[TrackedBackend] = []
        # The place of each gateway in each ring, by number.
        marks, numbers = [ring_marks(str(n)) for n in range(settings.gateways)], range(settings.gateways)
        orders = [sorted(numbers, key=lambda n: marks[n][ring]) for ring in (0, 1)]
        self.places = [{number: place for place, number in enumerate(order)} for order in orders]
        self.shared: set[str] = set()  # the backends that were shared out last
        self.subset: list[TrackedBackend] = []

    def change(self, event: api.BackendsChanged, now: float) -> None:
        """Applies a change of the list."""
        if event.kind is api.ListKind.UNAVAILABLE:
            return
        named = {info.id for info in event.backends}
        if event.kind is not api.ListKind.UPDATE:
            for backend in self.backends.values():
                backend.ready = backend.ready and backend.info.id in named
        for info in event.backends:
            if info.id not in self.backends:
                self.backends[info.id] = TrackedBackend(info, now, self.rng.random(), ring_marks(info.id))
            backend = self.backends[info.id]
            if info.started != backend.info.started:
                backend.restarted(now, self.rng.random())
            backend.info, backend.ready = info, info.readiness is api.Readiness.READY
        for name in [n for n, b in self.backends.items() if not b.ready and not b.attempts_out]:
            if self.backends[name].info.readiness is api.Readiness.GONE or name not in named:
                del self.backends[name]
        self.ready = [b for b in self.backends.values() if b.ready]
        self._share_out()

    def _share_out(self) -> None:
        """Which backends each gateway prefers, and so how many share each backend.  In each of two rings it
        prefers those that come next after its place, half a subset.  Places are at equal distances, or some
        backends would be preferred by three times as many as others.  With one ring, gateways that share a
        backend would share most of the others too."""
        if self.shared == (shared := {b.info.id for b in self.ready}):
            return
        self.shared, count = shared, len(self.ready)
        gateways, share = self.settings.gateways, min(SUBSET_SIZE, count)
        rings = [sorted(self.ready, key=lambda b: (b.marks[ring], b.info.id)) for ring in (0, 1)]
        for backend in self.ready:
            backend.holders = 0
        for number in range(gateways):
            subset: list[TrackedBackend] = []
            for order, places, want in zip(rings, self.places, (share // 2, share), strict=True):
                at = places[number] * count // gateways
                while len(subset) < want:
                    if order[at % count] not in subset:
                        subset.append(order[at % count])
                    at += 1
            for backend in subset:
                backend.holders += 1
            if number == self.settings.number:
                self.subset = subset
        for backend in self.ready:
            backend.preferred = backend in self.subset

    def record_answer(self, now: float) -> None:
        """An answer came: the rate of answers from here."""
        span = max(self.settings.cold_time / 4, 1.0)
        self.done = self.done * max(0.0, 1 - (now - self.done_at) / span) + 1.0 / span
        self.done_at = now

    def cold_ok(self, backend: TrackedBackend, now: float, request: PendingRequest) -> bool:
        """Whether a cold backend may get the request.  One that all gateways fill at once falls over, so
        each that prefers it has a part: what backends carry when warm, by what a cold one bears, over as
        many as share it."""
        s = self.settings
        if not backend.cold(now, s):
            return True
        if not backend.preferred:
            return False
        warm = sum(x.info.weight for x in self.ready if not x.cold(now, s))
        if warm >= max(1e-6, LEAST_HEALTHY * sum(x.info.weight for x in self.ready)):
            self.typical = self.done / warm  # when most are cold, what was typical before still holds
        share = s.cold_share + (1 - s.cold_share) * (now - backend.info.started) / max(s.cold_time, 1e-6)
        typical = self.typical * backend.info.weight * s.gateways / backend.holders
        least = 0.5 / (s.fall_time * backend.holders)
        budget = backend.cold_budget
        budget.rate = max(least, COLD_MARGIN * s.fall_factor * min(1.0, share) * typical)
        free, work = len(backend.attempts_out) < max(1.0, budget.rate), self.answer_times.work(request)
        return free and budget.fits(now, work, max(1.0, work))

    def out_and_limits(self) -> tuple[int, float]:
        """Attempts out, and the sum of the limits, over all backends that are ready."""
        return sum(len(b.attempts_out) for b in self.ready), sum(b.limit for b in self.ready)

    def choose(self, request: PendingRequest, now: float) -> TrackedBackend | None:
        """The backend for one more attempt: from the subset, else from all."""
        return self._best(request, now, self.subset) or self._best(request, now, self.ready)

    def _best(self, request: PendingRequest, now: float,
              candidates: list[TrackedBackend]) -> TrackedBackend | None:
        tried = {backend.info.id for backend, _ in request.attempts}
        usable = [b for b in candidates if request.may_send(b, now, self.settings)]
        slow = self.answer_times.slowest(self.patience)
        healthy = [b for b in usable if not b.stalled(now, slow) and not b.ejected(now)]
        if len(healthy) < LEAST_HEALTHY * len(usable):
            # The cause is likely shared.  One that refuses connections at once would still draw all.
            healthy = [b for b in usable if b in healthy or not b.unreachable]
        best: TrackedBackend | None = None
        best_load, mean = float("inf"), self.answer_times.mean(request.request_class)
        for backend in healthy:
            if backend.info.id in tried and len(usable) > len(tried):
                continue
            # A jam sends no answers, so nothing would tell of it but what is out for too long.
            if backend.silent_for(now) > self.patience:
                backend.cut_limit(now, self.patience / 4)
            if backend.full():
                continue
            jitter = self.rng.expovariate(1.0)
            load = backend.load(now, mean, self.patience, self.settings.zone, jitter)
            if load < best_load and self.cold_ok(backend, now, request):
                best, best_load = backend, load
        if best is not None and best.cold(now, self.settings):
            best.cold_budget.take(self.answer_times.work(request))
        return best
