"""Check which requests a gate starts, queues or refuses."""

from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.messages import Outcome, Refuse, Start
from persimmonhall.document.schema import Worth
from tests.builders import make_ticket


def test_highest_worth_starts_first_and_lowest_is_refused():
    core = AdmissionCore(slots=1, max_queued=1)
    assert core.arrive(make_ticket(1), 0.0) == [Start(1)]
    assert core.arrive(make_ticket(2, worth=Worth.INTERNAL), 0.0) == []
    [verdict] = core.arrive(make_ticket(3, worth=Worth.CRITICAL), 0.0)
    assert isinstance(verdict, Refuse)
    assert verdict.ticket == 2
    assert core.finish(1, Outcome.DONE, 1.0) == [Start(3)]
