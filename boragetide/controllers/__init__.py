"""Controllers: state machines that apply messages, one per kind of state."""
