"""Tests of finding routes by host and path."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state.config import objects
from hillthread.state.config import route_index


def route(prefix, host="h.example"):
    """Returns a route named after its host and prefix."""
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
    def test_finds_the_same_route_as_a_linear_search(self, paths, rest):
        prefixes = {"/" + "".join(f"{x}/" for x in path) for path in paths}
        index = route_index.RouteIndex([route(p) for p in sorted(prefixes)])
        path = "/" + rest
        matching = [p for p in prefixes if path.startswith(p)]
        found = index.find("h.example", path)
        if not matching:
            self.assertIsNone(found)
        else:
            self.assertEqual(found.path_prefix, max(matching, key=len))
