"""The list of tests that are known to fail: what it may hold, and what fails the run."""

from __future__ import annotations

import pytest

from tests.known_red import KnownRed, KnownRedListError, check_names, parse

LINE = "tests/test_a.py::test_b | a cause | 41"


def test_entries_are_read_and_comments_are_not() -> None:
    assert parse(f"# nothing\n\n{LINE}\n") == [KnownRed("tests/test_a.py::test_b", "a cause", "41")]
    assert parse("") == []


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b", "a | b", "a |  | 41", LINE + " | x"])
def test_a_malformed_line_is_refused(text: str) -> None:
    with pytest.raises(KnownRedListError, match="not"):
        parse(text)


def test_a_fourth_entry_is_refused() -> None:
    assert len(parse("\n".join([LINE] * 3))) == 3
    with pytest.raises(KnownRedListError, match="3 at the most"):
        parse("\n".join([LINE] * 4))


def test_an_entry_that_names_no_test_is_refused() -> None:
    check_names(parse(LINE), {"tests/test_a.py::test_b"})
    with pytest.raises(KnownRedListError, match="test_b"):
        check_names(parse(LINE), {"tests/test_a.py::test_c"})
