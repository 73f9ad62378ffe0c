"""Exchange between the nodes of a fleet."""
