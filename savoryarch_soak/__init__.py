"""Randomized soak: the real programs as separate processes, and faults from outside of them.

``python -m savoryarch_soak --seed N --seconds S --instances K`` draws a schedule of faults from the
seed, plays it, and compares what clients and targets saw with what the product promises.
"""
