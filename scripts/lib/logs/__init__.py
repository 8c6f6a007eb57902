"""Reads the daemons' log lines."""
