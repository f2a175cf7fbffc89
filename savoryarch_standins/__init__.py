"""Stand-ins for targets and for the platform, used by tests, benchmarks and the demonstration."""
