"""Benchmarks of costs and goals.

Each module prints one line of JSON last: ``goals`` with their bounds and, in most modules,
``slopes``, the costs from which `savoryarch_bench.capacity` computes the capacity tables.
"""
