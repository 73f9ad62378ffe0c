"""The node as a whole: its parts, settings, metrics and stop."""
