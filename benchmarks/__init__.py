"""Measurements: load on real processes, and replay of traces."""
