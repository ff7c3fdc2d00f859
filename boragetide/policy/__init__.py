"""Decision logic as pure functions, without input or output."""
