"""Comparison of placement policies in virtual time."""
