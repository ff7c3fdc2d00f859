"""HTTP API: models of the request bodies and request handlers."""
