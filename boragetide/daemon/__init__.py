"""The daemon process and its runtime."""
