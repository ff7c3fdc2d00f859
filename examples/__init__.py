"""Runnable examples: a backend server and a demonstration."""
