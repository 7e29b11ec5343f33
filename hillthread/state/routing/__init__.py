"""Routing: prompt prefixes, load, cache contents, choice of a target."""
