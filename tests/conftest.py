"""Define fixtures that all tests with real processes share."""

import pytest


@pytest.fixture
def context() -> dict:
    """Keep what the steps of one scenario tell each other."""
    return {}
