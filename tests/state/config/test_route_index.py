"""Tests of finding routes."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state.config import objects
from hillthread.state.config import route_index


def route(prefix, host="h.example"):
    """Returns a route named after its prefix."""
    return objects.Route(
        name=f"{host}{prefix}", host=host, path_prefix=prefix, pool_selector=""
    )


class RouteIndexTest(unittest.TestCase):
    def test_longest_prefix_of_the_host(self):
        index = route_index.RouteIndex(
            [route("/a/"), route("/a/b/"), route("/a/", "other.example")]
        )
        self.assertEqual(
            index.find("H.example:80", "/a/b/c").name[-5:], "/a/b/"
        )
        self.assertEqual(index.find("h.example", "/a/bc").name, "h.example/a/")
        self.assertEqual(
            index.find("other.example", "/a/b/").name, "other.example/a/"
        )
        self.assertIsNone(index.find("h.example", "/ab"))
        self.assertIsNone(index.find("none.example", "/a/"))

    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.sampled_from("ab"), max_size=4),
            max_size=6,
        ),
        strategies.text("ab/", max_size=10),
    )
    def test_same_as_trying_all(self, paths, rest):
        prefixes = {"/" + "".join(f"{x}/" for x in path) for path in paths}
        index = route_index.RouteIndex([route(p) for p in sorted(prefixes)])
        path = "/" + rest
        fitting = [p for p in prefixes if path.startswith(p)]
        found = index.find("h.example", path)
        if not fitting:
            self.assertIsNone(found)
        else:
            self.assertEqual(found.path_prefix, max(fitting, key=len))
