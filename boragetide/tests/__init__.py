"""Tests, one module per module."""
