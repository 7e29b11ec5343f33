"""Targets: which there are, how they stand, and what runs on them."""
