"""Define how a control VM declines a request."""

from dataclasses import dataclass

from persimmonhall.errors import ErrorKind, Ran


@dataclass(frozen=True)
class Declined:
    """Report why a request could not be served."""

    kind: ErrorKind
    detail: str
    ran: Ran
