"""Hypothesis state machines, checked against small oracles."""
