"""Show the organisations of the active release as a collector sums them."""

from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.cli.node_client import organisations_status
from persimmonhall.errors import ErrorKind, Refusal, refuse

COLUMNS = (
    "organisation",
    "asked",
    "admitted",
    "refused_by_quota",
    "refused_otherwise",
    "quota",
    "burst",
    "fraction",
    "share",
)


async def read_organisations(node: Address) -> Result[object, Refusal]:
    """Return the status of a collector; name the collector if the node is none."""
    match await organisations_status(node):
        case Failure() as failure:
            return failure
        case Success(status):
            pass
    if status["is_collector"]:
        return Success(status)
    collector = status["collector"]
    detail = (
        f"this node reports to the collector {collector}: ask that node"
        if collector is not None
        else "the active release has no organisations"
    )
    return Failure(refuse(ErrorKind.NOT_FOUND, detail))


def format_organisations(status: dict) -> str:
    """Format the organisations as a table, in requests per second."""
    rows = status["organisations"]
    cells = [COLUMNS] + [tuple(str(row[c]) for c in COLUMNS) for row in rows]
    widths = [max(len(row[n]) for row in cells) for n in range(len(COLUMNS))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        for row in cells
    ]
    lines.append(f"collector: {status['collector']}")
    return "\n".join(line.rstrip() for line in lines)
