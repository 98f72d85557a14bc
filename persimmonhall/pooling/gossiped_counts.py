"""Carry pooled counts in the datagrams of membership."""

import random

import trio

from persimmonhall.events import EventLog
from persimmonhall.ids import NodeName
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.messages import ReportTopic
from persimmonhall.membership.table import MemberTable
from persimmonhall.pooling.pooled_counts import PooledCounts
from persimmonhall.pooling.subject import QuotaBounds
from persimmonhall.settings import OrganisationsSection


def make_pooled_counts(
    table: MemberTable,
    section: OrganisationsSection,
    rng: random.Random,
    gossiper: Gossiper,
    log: EventLog,
) -> PooledCounts:
    """Build the counts of a node and connect them with the gossiper."""
    bounds = QuotaBounds(
        section.quota_window_s, section.quota_overshoot, section.quota_slack
    )
    now = trio.current_time()
    counts = PooledCounts(table, bounds, rng, gossiper.send_report, log, now)

    def handle_counts(sender: NodeName, payload: bytes) -> None:
        counts.handle_counts(sender, payload, trio.current_time())

    def handle_totals(sender: NodeName, payload: bytes) -> None:
        counts.handle_totals(sender, payload, trio.current_time())

    gossiper.set_report_handler(ReportTopic.COUNTS, handle_counts)
    gossiper.set_report_handler(ReportTopic.TOTALS, handle_totals)
    return counts
