"""Check that only the platform adapter uses the names of the platform."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[1] / "persimmonhall"
ADAPTER = PACKAGE / "platform"
PLATFORM_NAMES = re.compile(
    r"(?i:X-(Attempt-Id|Deadline-Ms|Expected-Instance|Caller-Service|Server-Stamp"
    r"|Not-Executed)|Server-(Limit|Leaving))|configuration\.(replace|read)|instances\.(heartbeat|deregister)"
    r"|routeKind|weightedServices|maxAttempts|seedNodes|applicationAddress"
    r"|(?i:payoff|manifest|work unit|fence number|status check)"
)


def test_names_of_the_platform_stay_in_the_adapter():
    """Find no name or term of the platform outside the adapter."""
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if ADAPTER not in path.parents
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_adapter_uses_no_sockets_clocks_or_randomness():
    """Keep sockets, clocks and randomness out of the adapter."""
    imports = re.compile(r"^(?:import|from) (socket|random|time)\b", re.MULTILINE)
    for path in ADAPTER.glob("*.py"):
        assert imports.findall(path.read_text()) == [], path.name
