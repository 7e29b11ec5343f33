"""Tests of hillthread.state.quotas."""
