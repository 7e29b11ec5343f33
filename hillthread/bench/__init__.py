"""Workloads, comparisons and cost measurements."""
