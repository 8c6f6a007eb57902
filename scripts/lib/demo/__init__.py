"""The steps of scripts/demo."""
