"""Tests of hillthread.state.cluster."""
