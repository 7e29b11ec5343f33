"""Checks that CI runs."""
