"""Pure decisions."""
