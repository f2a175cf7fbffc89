"""Randomized soak test: the real programs as separate processes, with injected faults.

``python -m savoryarch_soak --seed N --seconds S --instances K`` generates a schedule of faults from
the seed, injects them under load, and checks the observations of clients and targets against the
product's promises.
"""
