"""The daemon's process."""
