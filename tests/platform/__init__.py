"""Tests of the adapter."""
