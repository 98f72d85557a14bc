"""Check which refusals the policy benchmark counts as needless."""

from harness.needless import NeedlessCount, Sample


def test_only_refusals_between_two_samples_with_a_free_slot_are_needless():
    count = NeedlessCount(slots=2)
    samples = [
        Sample(0, is_free=True),
        Sample(3, is_free=True),
        Sample(5, is_free=False),
        Sample(9, is_free=True),
    ]
    for before, after in zip(samples, samples[1:], strict=False):
        count.add(before, after)
    assert (count.refused, count.needless) == (9, 3)
    assert count.share == 3 / 9
