"""Measurements: replayed traces and loads against real daemons."""
