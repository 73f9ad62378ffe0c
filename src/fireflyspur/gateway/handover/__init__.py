"""Requests that one node hands over to another one."""
