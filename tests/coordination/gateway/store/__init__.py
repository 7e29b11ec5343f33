"""Tests of what a gateway reads from the store."""
