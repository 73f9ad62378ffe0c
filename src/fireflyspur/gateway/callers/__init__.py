"""Connections of callers."""
