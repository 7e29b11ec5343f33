"""Sockets, HTTP and websockets, implemented with libraries."""
