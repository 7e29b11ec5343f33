"""Routing of requests and coordination between hosts.

Two programs share this package: the router with its control process, and the
gateway, which is below `gateway/`.
"""
