"""Check which refusals the policy benchmark counts as needless."""

from harness.needless import NeedlessRefusals, RefusalSample


def test_only_refusals_between_two_samples_with_a_free_slot_are_needless():
    count = NeedlessRefusals(slots=2)
    samples = [
        RefusalSample(0, is_free=True),
        RefusalSample(3, is_free=True),
        RefusalSample(5, is_free=False),
        RefusalSample(9, is_free=True),
    ]
    for before, after in zip(samples, samples[1:], strict=False):
        count.add(before, after)
    assert (count.refused, count.needless) == (9, 3)
    assert count.fraction == 3 / 9
