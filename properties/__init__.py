"""Property-based tests: Hypothesis state machines checked against test oracles."""
