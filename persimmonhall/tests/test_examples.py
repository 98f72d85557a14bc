"""Test that every example passes the checks of the programs."""

from pathlib import Path

import pytest

from persimmonhall.cli import control, node, operator
from persimmonhall.membership.backend_watch import parse_announcement
from persimmonhall.status import ExitStatus

EXAMPLES = Path(__file__).parents[2] / "examples"
SETTINGS = {"node.toml", "control.toml", "operator.toml"}
DOCUMENT_PATHS = [
    p for p in sorted(EXAMPLES.glob("*/*.toml")) if p.name not in SETTINGS
]
ANNOUNCEMENTS = [
    line
    for path in sorted(EXAMPLES.glob("*/announcements.txt"))
    for line in path.read_text().splitlines()
    if line.startswith("{")
]


@pytest.mark.parametrize("path", DOCUMENT_PATHS, ids=lambda p: p.name)
def test_example_document_passes_its_check(path):
    assert operator.main(["check", str(path)]) is ExitStatus.SUCCESS


@pytest.mark.parametrize("user", ["vanua", "hakepuu"])
@pytest.mark.parametrize(("program", "name"), [(node, "node"), (control, "control")])
def test_example_settings_pass_their_check(user, program, name):
    path = EXAMPLES / user / f"{name}.toml"
    assert program.main(["--settings", str(path), "--check"]) is ExitStatus.SUCCESS


@pytest.mark.parametrize("line", ANNOUNCEMENTS)
def test_example_announcement_is_valid(line):
    assert parse_announcement(line.encode()).unwrap().slots > 0


def test_each_user_has_four_services():
    assert (len(DOCUMENT_PATHS), len(ANNOUNCEMENTS)) == (8, 8)
