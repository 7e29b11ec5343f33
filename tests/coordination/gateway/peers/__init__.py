"""Tests of the exchange of topics and notices between hosts."""
