"""Tests the build command of the deploy file."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
# Lists the modules of the package that are compiled while the gateway loads.
_LIST_COMPILED_MODULES = """
import importlib.machinery
compiled = []
compile_source = importlib.machinery.SourceFileLoader.source_to_code
def record(loader, data, path, **options):
    if loader.name.startswith("hillthread"):
        compiled.append(loader.name)
    return compile_source(loader, data, path, **options)
importlib.machinery.SourceFileLoader.source_to_code = record
import hillthread.programs.gateway
print(*compiled)
"""


class BuildTest(unittest.TestCase):
    # Guards against hosts that return late because each start compiles the
    # package, in directories that the process cannot write to.
    def test_start_after_build_compiles_no_module(self):
        with tempfile.TemporaryDirectory() as folder:
            checkout = pathlib.Path(folder)
            shutil.copytree(
                _ROOT / "hillthread",
                checkout / "hillthread",
                ignore=shutil.ignore_patterns("__pycache__"),
            )
            shutil.copy2(_ROOT / "requirements.txt", checkout)
            # The libraries count as installed; those of this test are used.
            (checkout / "target" / "deps").mkdir(parents=True)
            deploy = tomllib.loads(
                (_ROOT / "deploy" / "system.toml").read_text()
            )
            interpreter = pathlib.Path(sys.executable).parent
            environment = {
                **os.environ,
                "PATH": f"{interpreter}{os.pathsep}{os.environ['PATH']}",
            }
            subprocess.run(
                deploy["build"],
                shell=True,
                cwd=checkout,
                env=environment,
                check=True,
            )
            compiled = subprocess.run(
                [sys.executable, "-c", _LIST_COMPILED_MODULES],
                cwd=checkout,
                env={**environment, "PYTHONDONTWRITEBYTECODE": "1"},
                check=True,
                capture_output=True,
                text=True,
            ).stdout.split()
            self.assertEqual(compiled, [])


if __name__ == "__main__":
    unittest.main()
