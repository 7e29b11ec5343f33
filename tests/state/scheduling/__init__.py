"""Tests of hillthread.state.scheduling."""
