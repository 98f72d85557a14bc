"""Share the room of a rank between organisations where a level refuses a part of it.

A level refuses the same fraction of all requests, so an organisation that asks for far
more than usual would take the room of the others.
"""

from persimmonhall.pooling.node_limits import NodeLimits
from persimmonhall.pooling.subject import subject_of
from persimmonhall.release.schema import Organisation


class FairShares:
    """Change the fraction of a rank that is admitted for each organisation."""

    def __init__(self, limits: NodeLimits | None = None):
        self._limits = limits

    def fraction_of(self, organisation: Organisation | None, fraction: float) -> float:
        """Return the fraction of an organisation where a rank gets another one."""
        if self._limits is None or organisation is None:
            return fraction
        share = self._limits.share_of(subject_of(organisation.name))
        return fair_fraction(fraction, share)


def fair_fraction(fraction: float, share: float) -> float:
    """Return the fraction of an organisation where `fraction` of a rank is admitted.

    It is in proportion to the share where little is admitted, and 1 for all
    organisations where everything is.
    """
    if fraction >= 1.0 or share == 1.0:
        return fraction
    return fraction / (fraction + (1.0 - fraction) / share)
