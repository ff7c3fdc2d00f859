"""State machines, one per kind of state."""
