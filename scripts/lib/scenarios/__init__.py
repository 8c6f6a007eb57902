"""The measurement scenarios: one module each, with a function measure(rounds, seed)."""
