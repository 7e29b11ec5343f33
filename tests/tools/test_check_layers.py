"""Tests of the layer check: it must be able to fail."""

import pathlib
import tempfile
import unittest

from tools import check_layers


class CheckLayersTest(unittest.TestCase):
    def check(self, layer, line):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            for name in ("state", "coordination"):
                (root / "hillthread" / name).mkdir(parents=True)
                (root / "hillthread" / name / "thing.py").touch()
            path = root / "hillthread" / layer / "user.py"
            path.write_text(line + "\n")
            return len(check_layers.check_file(path, root))

    def test_lower_layers_may_be_imported_higher_may_not(self):
        up = "from hillthread.coordination import thing"
        down = "from hillthread.state import thing"
        self.assertEqual(self.check("state", up), 1)
        self.assertEqual(self.check("coordination", down), 0)

    def test_names_may_not_be_imported(self):
        line = "from hillthread.state.thing import Name"
        self.assertEqual(self.check("coordination", line), 1)
        self.assertEqual(self.check("state", "from typing import Any"), 0)
