#!/usr/bin/env bash
# Checks that the stand-ins and the scripts of all cases compile. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
from pathlib import Path

for path in sorted(Path().rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
