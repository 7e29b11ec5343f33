"""Routing of requests and coordination between hosts."""
