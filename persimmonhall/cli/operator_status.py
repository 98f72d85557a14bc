"""Collect the status of every control VM and format it as a table."""

from returns.result import Failure, Result, Success

from persimmonhall.control.admin_client import AdminClient
from persimmonhall.errors import ErrorKind, Refusal, refuse

COLUMNS = (
    "name",
    "role",
    "term",
    "index",
    "commit",
    "snapshot",
    "match",
    "claims",
    "documents",
    "elections",
    "sync_p99_ms",
    "storage",
)


async def gather_status(client: AdminClient) -> Result[list[dict], Refusal]:
    """Return one row per control VM, with the index up to which its log matches."""
    rows = []
    failure = None
    for address, result in await client.get_each("/status"):
        match result:
            case Success(status):
                rows.append({"address": str(address), **status})
            case Failure(refusal):
                failure = refusal
                row = {"role": "no answer", "why": refusal.detail}
                rows.append({"address": str(address), **row})
    if all("why" in row for row in rows):
        why = failure.detail if failure is not None else "no control VM is configured"
        return Failure(refuse(ErrorKind.NO_QUORUM, f"no control VM answered: {why}"))
    match_indexes = _match_indexes(rows)
    return Success(
        [{**row, "match": match_indexes.get(row.get("name"), "")} for row in rows]
    )


def _match_indexes(rows: list[dict]) -> dict[str, int]:
    leaders = [row for row in rows if row["role"] == "leader"]
    newest = max(leaders, key=lambda row: row["term"], default=None)
    return newest["matches"] if newest is not None else {}


def format_status_table(rows: list[dict]) -> str:
    """Format the rows as a table; the last line names the leader."""
    cells = [COLUMNS] + [tuple(str(r.get(c, "-")) for c in COLUMNS) for r in rows]
    widths = [max(len(row[n]) for row in cells) for n in range(len(COLUMNS))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        for row in cells
    ]
    lines += [f"{r['address']}: no answer: {r['why']}" for r in rows if "why" in r]
    leaders = [row["name"] for row in rows if row["role"] == "leader"]
    lines.append(f"leader: {', '.join(leaders) or 'none; no change is accepted'}")
    return "\n".join(line.rstrip() for line in lines)
