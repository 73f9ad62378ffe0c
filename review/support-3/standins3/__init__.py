"""Stand-ins of the users' platform for the scripts of review 3."""
