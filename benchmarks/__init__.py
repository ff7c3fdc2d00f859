"""Benchmarks: load on real processes, and replay on a virtual clock."""
