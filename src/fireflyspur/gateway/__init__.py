"""Forwarding of requests from callers to endpoints by routes."""
