"""Load and experiment tool: drives the decisions in virtual time and checks the goals.

``python -m savoryarch_bench --seed N --seconds S``; see ``docs/BENCH.md``.
"""
