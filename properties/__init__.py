"""Property tests against small oracles."""
