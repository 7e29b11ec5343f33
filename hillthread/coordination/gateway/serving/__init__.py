"""Serves the requests of callers: admission, routing, attempts, answers."""
