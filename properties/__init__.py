"""Properties checked by hypothesis against small oracles."""
