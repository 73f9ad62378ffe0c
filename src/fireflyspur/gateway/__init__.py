"""Routing of requests from callers to endpoints."""
