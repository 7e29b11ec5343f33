"""The gateway: data plane and duties of a host that only has a store."""
