"""The fault soak of the gateway: real processes, faults from outside."""
