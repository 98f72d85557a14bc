"""Check that every example passes the programs' own checks."""

from pathlib import Path

import pytest

from persimmonhall.cli import control, node, operator
from persimmonhall.status import ExitStatus

EXAMPLES = Path(__file__).parents[2] / "examples"
DOCUMENTS = sorted(EXAMPLES.glob("*/[!cno]*.toml")) + [EXAMPLES / "vanua/cue.toml"]


@pytest.mark.parametrize("path", DOCUMENTS, ids=lambda p: p.name)
def test_example_document_passes_its_check(path):
    assert operator.main(["check", str(path)]) is ExitStatus.SUCCESS


@pytest.mark.parametrize("user", ["vanua", "hakepuu"])
@pytest.mark.parametrize(("program", "name"), [(node, "node"), (control, "control")])
def test_example_settings_pass_their_check(user, program, name):
    path = EXAMPLES / user / f"{name}.toml"
    assert program.main(["--settings", str(path), "--check"]) is ExitStatus.SUCCESS
