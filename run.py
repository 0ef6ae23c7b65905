"""Start tealrill from a checkout, with the libraries that the build installed in target/deps.

Compiling the sources at each start is slow on a share of a core, and there is no disk for a
bytecode cache. So the build makes a compiled copy in target/app. It is used if its sources have the
same paths, sizes and modification times as those of the checkout.
"""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
_BUILT = _ROOT / "target" / "app"


def _sources(root: Path) -> set[tuple[str, int, int]]:
    """Return the path, size and modification time of each source file."""
    found = set()
    for path in (root / "tealrill").rglob("*.py"):
        status = path.stat()
        found.add((str(path.relative_to(root)), status.st_size, status.st_mtime_ns))
    return found


_APP = _BUILT if _sources(_BUILT) == _sources(_ROOT) else _ROOT
sys.path[:0] = [str(_APP), str(_ROOT / "target" / "deps")]

from tealrill.cli import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    main()
