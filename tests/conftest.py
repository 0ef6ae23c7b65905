"""Configuration of all tests: reproducible hypothesis examples and known failures."""

import pytest
from hypothesis import HealthCheck, settings

from tests import known_red

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strictly expected to fail."""
    try:
        entries = known_red.read()
        # A run of selected tests does not collect all listed ones.
        if config.args_source is not pytest.Config.ArgsSource.ARGS:
            known_red.check_names(entries, {item.nodeid for item in items})
    except known_red.KnownRedListError as error:
        raise pytest.UsageError(f"{known_red.KNOWN_RED_FILE.name}: {error}") from None
    by_test = {entry.test: entry for entry in entries}
    for item in items:
        entry = by_test.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.observed} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that failed as listed."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {report.wasxfail}")
