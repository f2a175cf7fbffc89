"""The root decision: routes each event to the decisions that it concerns."""
