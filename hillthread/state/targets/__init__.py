"""State of targets: membership, health, weights and requests to avoid."""
