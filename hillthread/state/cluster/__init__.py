"""Cluster state: membership, leases, claims, copies of the store's topics."""
