"""Encode the requests of nodes about departures and decode the replies."""

from persimmonhall.control.declined import Declined
from persimmonhall.departure.messages import (
    DepartureRecorded,
    Departures,
    ListDepartures,
    RecordDeparture,
)
from persimmonhall.release.watch_messages import SCHEMA
from persimmonhall.wire.codec import UnionCodec

DEPARTURE_REQUESTS = UnionCodec(SCHEMA.Ask, (RecordDeparture, ListDepartures))
DEPARTURE_REPLIES = UnionCodec(SCHEMA.Reply, (DepartureRecorded, Departures, Declined))
