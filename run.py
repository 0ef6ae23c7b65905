"""Start tealrill from a checkout, with the libraries that the build installed in target/deps.

Compiling the sources at each start is slow on a share of a core, and there is no disk for a
bytecode cache. So the build makes a compiled copy in target/app. It is used if its sources have the
same paths, sizes and modification times as those of the checkout.
"""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
_COMPILED_ROOT = _ROOT / "target" / "app"


def _source_files(root: Path) -> set[tuple[str, int, int]]:
    """Return the path, size and modification time of each source file."""
    files = set()
    for path in (root / "tealrill").rglob("*.py"):
        status = path.stat()
        files.add((str(path.relative_to(root)), status.st_size, status.st_mtime_ns))
    return files


_APP_ROOT = _COMPILED_ROOT if _source_files(_COMPILED_ROOT) == _source_files(_ROOT) else _ROOT
sys.path[:0] = [str(_APP_ROOT), str(_ROOT / "target" / "deps")]

from tealrill.cli import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    main()
