"""Runs all tests with unittest and prints a closing line with the totals.

Tests listed in KNOWN-RED.txt may fail: they are printed and passed over. One
that is listed and passes fails the run, so that the list stays true.
"""

from __future__ import annotations

import pathlib
import sys
import unittest

__all__ = ["main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red(path: pathlib.Path) -> set[str]:
    """Returns the ids of the tests that are known to fail."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split(",")[0].strip() for line in lines if line.strip()}


def main() -> int:
    """Returns the exit code."""
    sys.path.insert(0, str(ROOT))
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern, top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed = {test.id() for test, _ in result.failures + result.errors}
    known = read_known_red(KNOWN_RED)
    for name in sorted(failed & known):
        print(f"known red: {name}")
    for name in sorted(known - failed):
        print(f"listed in {KNOWN_RED.name} but it passes: {name}")
    bad = len(failed - known) + len(known - failed)
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {bad} failed, {skipped} skipped")
    return 1 if bad or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
