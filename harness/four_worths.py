"""Mix requests of four worths to one service and print the results."""

DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/publish/warnings"
method = "POST"
worth = "critical"
deadline_ms = 3000

[[requests]]
path = "/publish/*"
method = "POST"
worth = "customer"

[[requests]]
path = "/segments/*"
worth = "standard"
idempotent = true

[[requests]]
path = "/archive/*"
worth = "internal"
idempotent = true
"""

NODES = {"suva-cue-1": "suva", "suva-cue-2": "suva", "nadi-cue-1": "nadi"}
REQUEST_MIX = {
    "critical": ("POST", "/publish/warnings", 0.1),
    "customer": ("POST", "/publish/segment", 0.2),
    "standard": ("GET", "/segments/7", 0.3),
    "internal": ("GET", "/archive/7", 0.4),
}
HEADINGS = (
    f"{'phase':<8} {'worth':<10} {'sent':>6} {'whole':>6} {'p50 ms':>8} {'p99 ms':>8}"
)


def make_requests(per_second: float) -> list[dict]:
    """Divide a request rate among the four worths."""
    return [
        {
            "name": worth,
            "service": "cue",
            "method": method,
            "path": path,
            "per_second": per_second * share,
        }
        for worth, (method, path, share) in REQUEST_MIX.items()
    ]


def print_table(figures: dict) -> None:
    """Print goodput by phase and worth."""
    print(HEADINGS)
    for phase, rows in figures["phases"].items():
        for worth, row in rows.items():
            latency = row["latency_ms"]
            print(
                f"{phase:<8} {worth:<10} {row['sent']:>6} {row['good']:>6} "
                f"{latency['p50']:>8.1f} {latency['p99']:>8.1f}  {row['reasons'] or ''}"
            )
