"""Starts tealrill from a checkout, with the libraries that the build put under target/deps.

A process that starts on a share of a core feels it when sources are compiled anew, and there is no
disk to keep what was compiled. So the build makes a compiled copy under target/app, which is used
as long as it is the copy of these very sources.
"""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
_BUILT = _ROOT / "target" / "app"


def _sources(root: Path) -> set[tuple[str, int, int]]:
    """Each source's name, size and time of change."""
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
