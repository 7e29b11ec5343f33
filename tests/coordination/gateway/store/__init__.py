"""Tests of the topics that a gateway host follows in the store."""
