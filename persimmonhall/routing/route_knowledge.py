"""Group what a node has learned about the routes of the active release."""

from dataclasses import dataclass

from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.routing.route_origins import RouteOrigins


@dataclass(frozen=True)
class RouteKnowledge:
    """Hold what the entry and the gate of a node learn and both use."""

    graph: CallGraph
    levels: RouteLevels
    origins: RouteOrigins


def make_route_knowledge() -> RouteKnowledge:
    """Return the knowledge of a node that has just started."""
    graph = CallGraph()
    return RouteKnowledge(graph, RouteLevels(graph), RouteOrigins())
