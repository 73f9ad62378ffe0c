"""Endpoints: what is known of them, and what they may get."""
