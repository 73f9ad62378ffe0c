"""Requests and their attempts at endpoints."""
