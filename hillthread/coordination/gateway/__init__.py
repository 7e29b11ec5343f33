"""The gateway: a host whose only dependency is the platform's store."""
