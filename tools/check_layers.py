"""Checks the layer rule, and that modules are imported and not names.

Exits 1 and names each line that breaks a rule.
"""

from __future__ import annotations

import ast
import pathlib
import sys
from typing import NamedTuple

__all__ = ["main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = "hillthread"
_ORDER = (
    "state",
    "protocol",
    "transport",
    "platform",
    "coordination",
    "standin",
    "bench",
    "programs",
)
_NAMES_ALLOWED = frozenset(
    ["__future__", "collections.abc", "typing", "typing_extensions"]
)


class Violation(NamedTuple):
    """One line that breaks a rule."""

    path: pathlib.Path
    line: int
    message: str


def check_file(path: pathlib.Path, root: pathlib.Path) -> list[Violation]:
    """Returns the violations in one file."""
    tree = ast.parse(path.read_text())
    imports = [
        node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)
    ]
    found = []
    for node in imports:
        module = node.module or ""
        for alias in node.names:
            if not _is_module(module, alias.name, root):
                found.append(
                    Violation(
                        path,
                        node.lineno,
                        f"import the module, not {alias.name} of {module}",
                    )
                )
            if _breaks_layers(path, module, alias.name, root):
                found.append(
                    Violation(
                        path,
                        node.lineno,
                        f"{module}.{alias.name} is of a higher layer",
                    )
                )
    return found


def main() -> int:
    """Returns the exit code after checking the whole tree."""
    found = [
        violation
        for folder in (PACKAGE, "tests", "tools")
        for path in sorted((ROOT / folder).rglob("*.py"))
        for violation in check_file(path, ROOT)
    ]
    for each in found:
        where = each.path.relative_to(ROOT)
        print(f"{where}:{each.line}: {each.message}")
    return 1 if found else 0


def _is_module(module: str, name: str, root: pathlib.Path) -> bool:
    if module in _NAMES_ALLOWED:
        return True
    if module.partition(".")[0] not in (PACKAGE, "tests"):
        return not name[:1].isupper()
    folder = root.joinpath(*module.split("."))
    return (folder / f"{name}.py").exists() or (folder / name).is_dir()


def _breaks_layers(
    path: pathlib.Path, module: str, name: str, root: pathlib.Path
) -> bool:
    own = _layer(path.relative_to(root).with_suffix("").parts)
    other = _layer((*module.split("."), name))
    if own is None or other is None:
        return False
    return _ORDER.index(other) > _ORDER.index(own)


def _layer(parts: tuple[str, ...]) -> str | None:
    if len(parts) < 2 or parts[0] != PACKAGE:
        return None
    return parts[1] if parts[1] in _ORDER else None


if __name__ == "__main__":
    sys.exit(main())
