"""Stand-ins of the platform, the back ends and the clients, for the scripts of the review."""
