"""Label selectors in the syntax of Kubernetes: `a=b,c!=d,e in (f,g),h,!i`."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import functools
import re

from hillthread import errors

__all__ = ["Selector", "parse_selector"]

_MAX_CACHED_SELECTORS = 4096
_NAME = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_EXISTS = re.compile(rf"^(!?)\s*({_NAME})$")
_EQUALS = re.compile(rf"^({_NAME})\s*(==|=|!=)\s*({_NAME}|)$")
_IN_SET = re.compile(rf"^({_NAME})\s+(in|notin)\s+\(([^()]*)\)$")
_COMMA_OUTSIDE_SET = re.compile(r",(?![^(]*\))")


@dataclasses.dataclass(frozen=True, slots=True)
class Exists:
    """Requires a label, or its absence if `negated`."""

    key: str
    negated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OneOf:
    """Requires a label value in `values`, or not in them if `negated`."""

    key: str
    values: frozenset[str]
    negated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Selector:
    """A conjunction of requirements; an empty selector matches all labels.

    Attributes:
        text: The selector as written.
        requirements: Requirements that must all be met.
    """

    text: str
    requirements: tuple[Exists | OneOf, ...]

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Returns whether `labels` meet every requirement."""
        return all(_is_met(each, labels) for each in self.requirements)


@functools.lru_cache(maxsize=_MAX_CACHED_SELECTORS)
def parse_selector(text: str) -> Selector:
    """Returns the selector written in `text`.

    Results are cached, because each request is matched against the selectors
    of routes.

    Raises:
        SelectorError: A term is not in the selector syntax.
    """
    if not text.strip():
        return Selector(text, ())
    terms = _COMMA_OUTSIDE_SET.split(text)
    return Selector(text, tuple(_parse_term(term.strip()) for term in terms))


def _parse_term(term: str) -> Exists | OneOf:
    if found := _EXISTS.match(term):
        return Exists(found[2], negated=found[1] == "!")
    if found := _EQUALS.match(term):
        return OneOf(found[1], frozenset([found[3]]), negated=found[2] == "!=")
    if found := _IN_SET.match(term):
        values = frozenset(value.strip() for value in found[3].split(","))
        return OneOf(found[1], values, negated=found[2] == "notin")
    raise errors.SelectorError(
        f"Selector term {term!r} is invalid.",
        "Write terms such as a=b, a!=b, a in (b,c), a notin (b,c), a or !a.",
    )


def _is_met(requirement: Exists | OneOf, labels: Mapping[str, str]) -> bool:
    match requirement:
        case Exists(key, negated):
            return (key in labels) != negated
        case OneOf(key, values, negated):
            return (labels.get(key) in values) != negated
