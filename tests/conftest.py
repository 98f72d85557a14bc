"""Fixtures shared by all tests with real processes."""

import pytest


@pytest.fixture
def context() -> dict:
    """Return the values that the steps of one scenario share."""
    return {}
