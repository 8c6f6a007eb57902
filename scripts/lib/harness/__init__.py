"""What scripts/demo and scripts/measure share: processes, fleets, loads and statistics."""
