"""Remember the requests that a backend server answered lately."""

from collections import OrderedDict

from persimmonhall.ids import Fingerprint

PROVEN_S = 60.0
MAX_PROVEN = 10_000


class ProvenRequests:
    """Hold when each request was last answered, the newest of a bounded number."""

    def __init__(self, max_requests: int = MAX_PROVEN):
        self._max_requests = max_requests
        self._answered: OrderedDict[Fingerprint, float] = OrderedDict()

    def add(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a request was answered."""
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > self._max_requests:
            self._answered.popitem(last=False)

    def holds(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request was answered lately."""
        answered = self._answered.get(fingerprint)
        return answered is not None and now - answered <= PROVEN_S
