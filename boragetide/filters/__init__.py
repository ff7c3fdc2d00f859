"""The chain of steps that every request passes."""
