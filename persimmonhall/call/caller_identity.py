"""Recognise the attempts of one caller, which carry ids of their own."""

import xxhash

from persimmonhall.admission.returns import Caller, RequestDigest
from persimmonhall.call.in_flight_request import InFlightRequest


def caller_of(request: InFlightRequest) -> Caller | None:
    """Identify the caller of an organisation by its route, request line and deadline.

    None without an organisation, and if the caller does not state how long it waits:
    its attempts can't be told from those of others who ask for the same thing.
    """
    organisation = request.organisation
    if organisation is None or request.caller_timeout_s is None:
        return None
    text = b"%s\n%s\n%s" % (
        request.route.name.encode(),
        organisation.name.encode(),
        request.head.partition(b"\r\n")[0],
    )
    digest = RequestDigest(xxhash.xxh3_64_intdigest(text))
    return Caller(digest, request.caller_deadline, request.caller_timeout_s)
