"""Speaks the platform of the users: names, formats and calls, no decisions."""
