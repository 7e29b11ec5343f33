"""Routing: prompts, load, cached prefixes, and the choice of a target."""
