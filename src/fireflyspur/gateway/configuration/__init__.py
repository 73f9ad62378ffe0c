"""Configuration in force, and how it is read from the store."""
