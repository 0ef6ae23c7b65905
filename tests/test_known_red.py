"""The list of tests that are known to fail: its format, and the entries that are refused."""

from __future__ import annotations

import pytest

from tests.known_red import KnownRed, KnownRedListError, check_names, parse

LINE = "tests/test_a.py::test_b | pytest test_a.py, seed 7 | late by 2 s | 41"


def test_parse_returns_entries_and_ignores_comments_and_blank_lines() -> None:
    assert parse(f"# nothing\n\n{LINE}\n") == [
        KnownRed("tests/test_a.py::test_b", "pytest test_a.py, seed 7", "late by 2 s", "41")
    ]
    assert parse("") == []


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_a.py::test_b",
        "a | b",
        "a | b | 41",
        "a |  | c | 41",
        "a | b |  | 41",
        "a | b | c | ",
        " | b | c | 41",
        LINE + " | x",
    ],
)
def test_parse_refuses_malformed_line(text: str) -> None:
    with pytest.raises(KnownRedListError, match="not"):
        parse(text)


def test_parse_refuses_fourth_entry() -> None:
    assert len(parse("\n".join([LINE] * 3))) == 3
    with pytest.raises(KnownRedListError, match="at most 3 allowed"):
        parse("\n".join([LINE] * 4))


def test_check_names_refuses_unknown_test() -> None:
    check_names(parse(LINE), {"tests/test_a.py::test_b"})
    with pytest.raises(KnownRedListError, match="test_b"):
        check_names(parse(LINE), {"tests/test_a.py::test_c"})
