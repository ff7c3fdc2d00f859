"""Border models and HTTP handlers."""
