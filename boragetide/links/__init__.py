"""Connections to other instances and to backend servers."""
