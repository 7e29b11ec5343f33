"""Tests of hillthread.state.config."""
