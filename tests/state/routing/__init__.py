"""Tests of hillthread.state.routing."""
