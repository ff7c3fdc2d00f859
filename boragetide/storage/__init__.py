"""Journals and snapshots on disk."""
