"""The files and packages that the architecture page names."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Final

import pytest

_ROOT: Final = Path(__file__).parent.parent
_PAGE: Final = (_ROOT / "docs" / "architecture.md").read_text()
_PATHS: Final = sorted(set(re.findall(r"`((?:tealrill|tests|deploy|tools)/[\w./-]*)`", _PAGE)))


@pytest.mark.parametrize("name", _PATHS)
def test_named_file_exists(name: str) -> None:
    assert (_ROOT / name).exists()


def test_all_packages_are_named() -> None:
    packages = {path.parent.name for path in (_ROOT / "tealrill").glob("*/__init__.py")}
    assert [name for name in sorted(packages) if f"{name}/" not in _PAGE] == []
