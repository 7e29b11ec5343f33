"""Sockets, HTTP and websockets, all through libraries."""
