"""Small stand-ins for engines, services and the platform, for tests."""
