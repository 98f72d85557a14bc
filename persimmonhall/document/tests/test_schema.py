"""Test that document validation reports every problem."""

import pytest
from returns.result import Failure, Success

from persimmonhall.document.schema import Worth, parse_document
from tests.builders import CUE_DOCUMENT

WARNINGS = 'path = "/publish/warnings"\n'


def test_rules_assign_worth_to_requests():
    document = parse_document(CUE_DOCUMENT).unwrap()
    assert document.rule_for("POST", "/publish/warnings").worth is Worth.CRITICAL
    assert document.rule_for("GET", "/segments/7?full=1").worth is Worth.STANDARD
    assert document.rule_for("GET", "/publish/warnings") is None


@pytest.mark.parametrize(
    ("old", "new", "line", "key"),
    [
        ('team = "publishing"', "team = 7", 2, "team"),
        ('team = "publishing"', 'team = "publishing"\nsurprise = 1', 3, "surprise"),
        ('worth = "critical"', 'worth = "vital"', 7, "requests.0.worth"),
        ("deadline_ms = 3000", "deadline_ms = 0", 8, "requests.0.deadline_ms"),
        (
            "deadline_ms = 3000",
            "resend_window_s = 59",
            8,
            "requests.0.resend_window_s",
        ),
        ('path = "/segments/*"', 'path = "segments"', 11, "requests.1.path"),
        ('path = "/segments/*"', "", 10, "requests.1.path"),
        (
            'path = "/segments/*"',
            'path = "/publish/warnings"\nmethod = "POST"',
            10,
            "1",
        ),
        ("idempotent = true", "idempotent = ", 13, "(file)"),
    ],
)
def test_problem_names_line_and_key(old, new, line, key):
    match parse_document(CUE_DOCUMENT.replace(old, new)):
        case Failure(problems):
            assert any(p.line == line and key in p.key for p in problems), problems
        case Success():
            pytest.fail("accepted")
