"""Code shared by the scripts and the process tests: processes, fleets, loads and statistics."""
