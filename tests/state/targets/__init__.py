"""Tests of hillthread.state.targets."""
