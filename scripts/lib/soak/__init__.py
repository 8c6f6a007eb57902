"""The fault soak: real daemons on the platform's protocols, faults from outside, promises judged from outside."""
