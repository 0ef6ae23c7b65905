"""run.py: the build's compiled copy is used only if its sources match those of the checkout."""

from __future__ import annotations

import os
import runpy
import shutil
import sys
from pathlib import Path

import pytest

_RUN = Path(__file__).resolve().parent.parent / "run.py"


@pytest.mark.parametrize("edited", [False, True])
def test_compiled_copy_is_used_only_if_sources_match(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, edited: bool
) -> None:
    shutil.copy(_RUN, tmp_path)
    source = tmp_path / "tealrill" / "cli.py"
    source.parent.mkdir()
    (source.parent / "__init__.py").write_text("")
    source.write_text("def main() -> None: ...\n")
    shutil.copytree(source.parent, tmp_path / "target" / "app" / "tealrill")
    if edited:
        os.utime(source, (1.0, 1.0))
    for name in [n for n in sys.modules if n.split(".")[0] == "tealrill"]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setattr(sys, "path", sys.path[:])
    monkeypatch.setattr(sys, "dont_write_bytecode", True)
    main = runpy.run_path(str(tmp_path / "run.py"))["main"]
    used = Path(sys.modules["tealrill.cli"].__file__ or "")
    for name in [n for n in sys.modules if n.split(".")[0] == "tealrill"]:
        del sys.modules[name]
    assert main.__module__ == "tealrill.cli"
    assert used.is_relative_to(tmp_path / "target" / "app") == (not edited)
