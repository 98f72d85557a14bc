"""Report the failing tests that KNOWN-RED.txt lists apart from new failures."""

import inspect
import re
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
ENTRY = re.compile(r"^ *test: (.+)(?:\n *failure: (.+))?", re.MULTILINE)
FAILURE_TEXTS = dict(ENTRY.findall(KNOWN_RED.read_text()))
VIRTUAL_CLOCK = "autojump_clock"
RESULTS = dict.fromkeys(FAILURE_TEXTS, "not run")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    is_whole_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    missing = RESULTS.keys() - {item.nodeid for item in items}
    if is_whole_run and missing and not config.getoption("lf", False):
        raise pytest.UsageError(f"KNOWN-RED.txt lists missing tests: {sorted(missing)}")
    for item in items:
        check_clock(item)


def check_clock(item):
    """Refuse a virtual clock that only a fixture asks for: pytest-trio ignores it."""
    is_virtual = VIRTUAL_CLOCK in item.fixturenames
    if is_virtual and VIRTUAL_CLOCK not in inspect.signature(item.function).parameters:
        raise pytest.UsageError(f"{item.nodeid} must request {VIRTUAL_CLOCK} itself")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    report = yield
    test = item.nodeid
    if test in RESULTS and (report.when == "call" or not report.passed):
        error = call.excinfo.exconly().partition("\n")[0] if call.excinfo else ""
        RESULTS[test] = f"{report.outcome} {error}".strip()
        is_known = FAILURE_TEXTS[test] in report.longreprtext
        if report.when == "call" and report.failed and is_known:
            report.outcome, report.wasxfail = "skipped", KNOWN_RED.name
    return report


def pytest_terminal_summary(terminalreporter):
    terminalreporter.section("known failing tests")
    for test, result in RESULTS.items():
        terminalreporter.write_line(f"{test}: {result}")
