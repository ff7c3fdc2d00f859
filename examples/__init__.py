"""Runnable examples: two backend servers and a demonstration."""
