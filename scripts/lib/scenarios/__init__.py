"""The measurements, one module each, with a function measure(rounds, seed)."""
