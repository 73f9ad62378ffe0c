"""Translation between the gateway and the users' platform."""
