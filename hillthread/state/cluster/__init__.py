"""Hosts: membership, leases, what they read from the store and each other."""
