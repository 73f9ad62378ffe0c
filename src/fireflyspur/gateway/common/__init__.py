"""What all packages of the gateway use."""
