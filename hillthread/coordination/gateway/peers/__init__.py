"""Notices and topics that gateway hosts exchange with each other."""
