"""Test the checks of settings files."""

import pytest

from persimmonhall.cli import control, load, node
from persimmonhall.status import ExitStatus

NODE = """\
[node]
name = "suva-cue-1"
zone = "suva"
callers = "127.0.0.1:8080"
local = "127.0.0.1:8081"
frames = "127.0.0.1:8082"

[peers]
control = ["127.0.0.1:9000"]
"""


def test_good_settings_pass_the_check(tmp_path, capsys):
    path = tmp_path / "node.toml"
    path.write_text(NODE)
    assert node.main(["--settings", str(path), "--check"]) is ExitStatus.SUCCESS
    assert "ok" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ('zone = "suva"', 'zone = "suva"\nzonne = "x"', "line 4: node.zonne: unknown"),
        ('zone = "suva"', "zone = 5", "line 3: node.zone: must be a string"),
        ('frames = "127.0.0.1:8082"', "", "line 1: node.frames: missing key"),
        ("127.0.0.1:8081", "localhost:8081", "line 5: node.local: 'localhost' is not"),
        ("127.0.0.1:8081", "127.0.0.1:99999", "line 5: node.local: port 99999"),
        ("[peers]", "[peers", "not valid TOML"),
    ],
)
def test_bad_settings_give_one_line_and_status_2(tmp_path, capsys, old, new, said):
    path = tmp_path / "node.toml"
    path.write_text(NODE.replace(old, new))
    assert node.main(["--settings", str(path)]) is ExitStatus.USAGE
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert str(path) in error
    assert said in error


@pytest.mark.parametrize("program", [node, control, load])
def test_missing_settings_file_is_a_usage_error(tmp_path, capsys, program):
    path = tmp_path / "missing.toml"
    assert program.main(["--settings", str(path)]) is ExitStatus.USAGE
    assert "cannot be read" in capsys.readouterr().err
